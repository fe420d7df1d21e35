package inflight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The model: routers send requests to servers over links that hold what is sent, in the
// sender's kernel or acknowledged, and heal; servers leave; routers know of it after a while,
// each at its own time. Virtual time; the product's decision.

// bound is the users' shortest on requests that reach a server after its leaving, and heard
// the longest time in which a router in time hears of it.
const (
	bound = 2 * time.Second
	heard = 800 * time.Millisecond
)

// world is one draw of the model for one link and its server.
type world struct {
	holds, heals time.Duration
	acknowledges bool
	// left is when the server leaves, known when the router knows.
	left, known time.Duration
	// answers is how long the server takes for an answer.
	answers time.Duration
}

func draw(r *rand.Rand) world {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	w := world{holds: between(0, 5*time.Second), acknowledges: r.IntN(2) == 0, left: between(0, 10*time.Second), answers: between(5*time.Millisecond, 6*time.Second)}
	w.heals = w.holds + between(100*time.Millisecond, 8*time.Second)
	w.known = w.left + between(10*time.Millisecond, heard)
	return w
}

// arrival is when what was sent at the moment reaches the server, if it is not revoked.
func (w world) arrival(sent time.Duration) time.Duration {
	if sent >= w.holds && sent < w.heals {
		return w.heals
	}
	return sent
}

// look is what the router sees of an attempt at the moment.
func (w world) look(sent, now time.Duration) Look {
	arrived := now >= w.arrival(sent)
	l := Look{Answered: arrived && now >= w.arrival(sent)+w.answers}
	if !arrived && !w.acknowledges {
		l.Pending = 1
	}
	if now >= w.known {
		l.Left = after(w.known)
	}
	return l
}

// reaches follows an attempt until it is revoked, answered or past its limit, and returns when
// its request reaches the server, and whether it does.
func (w world) reaches(sent, limit, phase time.Duration) (time.Duration, bool) {
	a := Begin(&defaults, after(sent), 1)
	for now := sent + phase; now < sent+limit; now += every {
		if v := a.Look(after(now), w.look(sent, now)); v == Stalled || v == ServerLeft {
			return w.arrival(sent), w.arrival(sent) <= now
		}
	}
	return w.arrival(sent), w.arrival(sent) <= sent+limit
}

// Pattern: a fleet of 3 to 300 routers, a path from each to a server that holds and heals, and
// servers that leave, by the store. No request that was sent before its router knew reaches a
// server later than the bound after that was known, and none later than a second after bytes
// that lie still could have been revoked. A fleet that revokes nothing breaks it in each size.
func TestNothingArrivesLaterThanTheBoundAfterALeaving(t *testing.T) {
	for _, routers := range []int{3, 30, 103, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(routers), 48))
			late, unowned := 0, 0
			for range routers * 200 {
				w := draw(r)
				sent := time.Duration(r.Int64N(int64(w.known)))
				limit := time.Duration(1+r.IntN(15)) * time.Second
				phase := time.Duration(r.Int64N(int64(every)))
				if at, does := w.reaches(sent, limit, phase); does && at > w.known+bound {
					late++
				}
				if at := w.arrival(sent); at > w.known+bound {
					unowned++
				}
			}
			qt.Check(t, late, qt.Equals, 0)
			qt.Check(t, unowned > 0, qt.IsTrue)
		})
	}
}
