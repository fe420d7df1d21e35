package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"goldcrestport/standin/backend"
)

// Figures of requests that crash servers.
const (
	// insisters is the number of callers who send such a request again and again,
	// until the failures are over.
	insisters = 2
	// insistAfter is the time from the start of the callers on: a fleet knows what
	// is sound from what it has served.
	insistAfter = 3 * time.Second
	// insistPause is the mean time between two of their attempts, and copiesPart
	// of the attempts are sent as several at once, out of 100.
	insistPause = 250 * time.Millisecond
	copiesPart  = 20
	copies      = 3
	// backLeast and backMost bound how long a crashed server is away.
	backLeast = 300 * time.Millisecond
	backMost  = 3 * time.Second
	// crashesToKnow crashes under a request let the fleet know it, and furtherSends
	// are allowed from then on.
	crashesToKnow = 3
	furtherSends  = 3
)

// insist starts the callers.
func (w *World) insist(ctx context.Context, working *sync.WaitGroup, seed uint64) {
	ways := []backend.CrashWay{backend.AtOnce, backend.InTheMiddle, backend.Afterwards}
	random := rand.New(rand.NewPCG(seed, 11))
	for n := range insisters {
		kind, way, team := kinds[random.IntN(len(kinds))], ways[random.IntN(len(ways))], teamName(random.IntN(4))
		body := backend.CrashBody(way, n)
		working.Go(func() { w.insistOn(ctx, seed*1000+uint64(n), kind, team, body) })
	}
}

// insistOn sends the request at any router until the failures are over.
func (w *World) insistOn(ctx context.Context, seed uint64, kind Kind, team, body string) {
	random := rand.New(rand.NewPCG(seed, 13))
	time.Sleep(insistAfter - warmUp)
	for n := 0; ctx.Err() == nil && !w.Record.settled(); n++ {
		together := 1
		if random.IntN(100) < copiesPart {
			together = copies
		}
		var sent sync.WaitGroup
		for i := range together {
			c := newCaller(w, fmt.Sprintf("%s-%d-%d-%d", team, seed, n, i), random.Uint64())
			sent.Go(func() {
				c.attempt(kind, team, body)
				c.client.CloseIdleConnections()
			})
		}
		sent.Wait()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(insistPause)))
	}
}

func (r *Record) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.Settled.IsZero()
}

// crashed ends the server under the request; it is back under its id after a while,
// knowing nothing, unless it was leaving anyway.
func (w *World) crashed(s *server, body string) {
	w.mu.Lock()
	again, leaving, over := s.crashed, s.leaving, w.closed
	s.crashed, s.leaving = true, true
	w.mu.Unlock()
	if again {
		// Other runs end with the process, not before it.
		<-s.ended
		return
	}
	defer close(s.ended)
	if over {
		return
	}
	now := time.Now()
	away := backLeast + time.Duration(now.UnixNano()%int64(backMost-backLeast))
	w.Record.add(func() {
		w.Record.Crashes = append(w.Record.Crashes, Crash{Server: s.ID, Body: body, At: now})
		w.Record.Failures = append(w.Record.Failures, Failure{Kind: serverCrash, Router: noRouter, Server: s.ID, From: now, Until: now.Add(away)})
	})
	s.crash(w.endsInOrder(body))
	if leaving {
		return
	}
	time.AfterFunc(away, func() {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if closed {
			return
		}
		if err := w.runServer(s.ID, s.Service, "127.0.0.1:0"); err != nil {
			w.Record.add(func() { w.Record.Exits = append(w.Record.Exits, "a server did not start again: "+err.Error()) })
		}
	})
}

// endsInOrder reports whether a server that the request crashes closes its connections in good
// order.
func (w *World) endsInOrder(body string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.framed && len(body)%2 == 0
}

// crashedOn finds requests that were sent on, from routers in touch, after they had
// crashed three servers and there was time to know.
func crashedOn(r *Record) []string {
	var out []string
	for body, known := range r.knownCrashers() {
		late := r.lateArrivals(body, known)
		if len(late) > furtherSends {
			out = append(out, fmt.Sprintf("%q crashed its third server at %v and was sent %d times later than %v after it: %v", body, known, len(late), contact, late))
		}
	}
	return out
}

// knownCrashers returns when each request crashed its third server.
func (r *Record) knownCrashers() map[string]time.Time {
	crashes := map[string][]time.Time{}
	for _, c := range r.Crashes {
		crashes[c.Body] = append(crashes[c.Body], c.At)
	}
	known := map[string]time.Time{}
	for body, times := range crashes {
		slices.SortFunc(times, time.Time.Compare)
		if len(times) >= crashesToKnow {
			known[body] = times[crashesToKnow-1]
		}
	}
	return known
}

// lateArrivals lists the late arrivals of the request's attempts.
func (r *Record) lateArrivals(body string, known time.Time) []string {
	return r.lateWhere(known, func(c Call) bool { return c.Body == body })
}

// lateWhere lists the arrivals at servers of the attempts that routers in touch sent later than the
// time of contact after the moment.
func (r *Record) lateWhere(known time.Time, is func(Call) bool) []string {
	calls := map[string]Call{}
	for _, c := range r.Calls {
		if is(c) {
			calls[c.ID] = c
		}
	}
	var late []string
	for _, a := range r.Arrivals {
		c, is := calls[a.ID]
		if is && a.At.After(known.Add(contact)) && r.calm(c.Router, a.At, a.At) {
			late = append(late, fmt.Sprintf("%s at router %d after %v", a.ID, c.Router, a.At.Sub(known).Round(time.Millisecond)))
		}
	}
	return late
}

// Wrong refusals that the users tolerate: some, and one in so many requests.
const (
	blamedSlack = 5
	blamedShare = 500
)

// blamed finds more wrong refusals than the users tolerate.
func blamed(r *Record) []string {
	var wrong []string
	for _, c := range r.Calls {
		if c.Status == http.StatusBadRequest && !c.Crashes {
			wrong = append(wrong, fmt.Sprintf("%s (%s, %s) at router %d", c.ID, c.Kind, c.Body, c.Router))
		}
	}
	if len(wrong) > blamedSlack+len(r.Calls)/blamedShare {
		return []string{fmt.Sprintf("%d of %d: %v", len(wrong), len(r.Calls), wrong[:min(len(wrong), 8)])}
	}
	return nil
}
