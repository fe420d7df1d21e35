package inflight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The simulation: routers send requests to servers over links that buffer what is sent, either
// unacknowledged in the sender's kernel or acknowledged, and later deliver it; servers shut
// down; each router is informed of that after a delay of its own. Time is virtual, and the
// decisions are those of Attempt.

// bound is the users' shortest bound on requests that reach a server after its shutdown, and
// maxNotice the longest time until a connected router is informed of a shutdown.
const (
	bound     = 2 * time.Second
	maxNotice = 800 * time.Millisecond
)

// scenario is one random case: a link and its server.
type scenario struct {
	blocksAt, recoversAt time.Duration
	acknowledges         bool
	// shutdownAt is when the server shuts down, and noticedAt when the router is informed of it.
	shutdownAt, noticedAt time.Duration
	// answerTime is how long the server takes for an answer.
	answerTime time.Duration
}

func draw(r *rand.Rand) scenario {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	w := scenario{blocksAt: between(0, 5*time.Second), acknowledges: r.IntN(2) == 0, shutdownAt: between(0, 10*time.Second), answerTime: between(5*time.Millisecond, 6*time.Second)}
	w.recoversAt = w.blocksAt + between(100*time.Millisecond, 8*time.Second)
	w.noticedAt = w.shutdownAt + between(10*time.Millisecond, maxNotice)
	return w
}

// arrival returns when a request sent at the given time reaches the server, if it is not
// revoked.
func (w scenario) arrival(sent time.Duration) time.Duration {
	if sent >= w.blocksAt && sent < w.recoversAt {
		return w.recoversAt
	}
	return sent
}

// look returns what the router observes of an attempt at the given time.
func (w scenario) look(sent, now time.Duration) Look {
	arrived := now >= w.arrival(sent)
	l := Look{Answered: arrived && now >= w.arrival(sent)+w.answerTime}
	if !arrived && !w.acknowledges {
		l.Pending = 1
	}
	if now >= w.noticedAt {
		l.DrainingSince = after(w.noticedAt)
	}
	return l
}

// reaches follows an attempt until it is revoked, answered or past its limit. It returns when
// its request reaches the server, and whether it does.
func (w scenario) reaches(sent, limit, phase time.Duration) (time.Duration, bool) {
	a := Begin(&defaults, after(sent), 1)
	for now := sent + phase; now < sent+limit; now += every {
		if v := a.Look(after(now), w.look(sent, now)); v == Stalled || v == ServerGone {
			return w.arrival(sent), w.arrival(sent) <= now
		}
	}
	return w.arrival(sent), w.arrival(sent) <= sent+limit
}

// Guards against requests that reach a server long after its shutdown, because a network path
// blocked and later delivered them. Fleets of 3 to 300 routers, each with a path to a server
// that blocks and recovers, and servers that shut down according to the store. No request sent
// before its router knew of the shutdown may reach the server later than the bound after that.
// A fleet that revokes nothing fails at each size.
func TestNothingArrivesLongAfterShutdown(t *testing.T) {
	for _, routers := range []int{3, 30, 103, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(routers), 48))
			late, lateIfKept := 0, 0
			for range routers * 200 {
				w := draw(r)
				sent := time.Duration(r.Int64N(int64(w.noticedAt)))
				limit := time.Duration(1+r.IntN(15)) * time.Second
				phase := time.Duration(r.Int64N(int64(every)))
				if at, does := w.reaches(sent, limit, phase); does && at > w.noticedAt+bound {
					late++
				}
				if at := w.arrival(sent); at > w.noticedAt+bound {
					lateIfKept++
				}
			}
			qt.Check(t, late, qt.Equals, 0)
			qt.Check(t, lateIfKept > 0, qt.IsTrue)
		})
	}
}
