package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcrestport/standin/backend"
)

// Figures of requests of which no two are alike, and which share a part of their prompts that crashes
// servers, and of sound ones with the same first part.
const (
	// partPause is the mean time between two requests with the part, and soundPause that between two
	// sound ones beside them.
	partPause  = 125 * time.Millisecond
	soundPause = 50 * time.Millisecond
	// crashesByPart are the crashes under a part that let the fleet know it, and furtherPartSends the
	// requests with it that may be sent from then on.
	crashesByPart    = 5
	furtherPartSends = 3
	// firstShared is the first part of all these requests, in the form of the header.
	firstShared = "a1:800"
	// mostPartTokens bounds the length of their answers.
	mostPartTokens = 30
)

// PartsSize is the size of fleets before which requests share a part that crashes servers.
func PartsSize() Size {
	return Size{Routers: 5, Engines: 9, Plain: 2, Other: 2, Callers: 24, Spread: true}
}

// killAll kills all routers at once.
func (i *injector) killAll() failure {
	return failure{kind: "all killed", router: noRouter, do: i.killTogether(len(i.w.routers))}
}

// killInTurn kills one router after the other, each before the one before has been in touch for long.
func (i *injector) killInTurn() failure {
	gap := i.length(300*time.Millisecond, time.Second)
	var all []failure
	for _, r := range i.some(len(i.w.routers)) {
		all = append(all, i.kill(r))
	}
	return failure{kind: "killed in turn", router: noRouter, do: func() {
		for _, one := range all {
			i.make(one)
			time.Sleep(gap)
		}
	}}
}

// insistOnPart sends requests with the part that crashes servers, at any router, and sound ones beside
// them, until the failures are over.
func (w *World) insistOnPart(ctx context.Context, working *sync.WaitGroup, seed uint64) {
	working.Go(func() {
		w.sendEach(ctx, seed*2, partPause, func(n int) string {
			return fmt.Sprintf("%s,%s:400,%x:100", firstShared, backend.CrashPart, 1<<20+n)
		})
	})
	working.Go(func() {
		w.sendEach(ctx, seed*2+1, soundPause, func(n int) string { return fmt.Sprintf("%s,%x:100", firstShared, 1<<24+n) })
	})
}

// sendEach sends requests with the parts, one after the other without waiting for their ends.
func (w *World) sendEach(ctx context.Context, seed uint64, pause time.Duration, parts func(n int) string) {
	random := rand.New(rand.NewPCG(seed, 17))
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ctx.Err() == nil && !w.Record.settled(); n++ {
		call := Call{Kind: kinds[random.IntN(2)], Team: teamName(0), Body: fmt.Sprint("{}", seed, n), Parts: parts(n)}
		c := newCaller(w, fmt.Sprintf("part-%d-%d", seed, n), random.Uint64())
		sent.Go(func() {
			c.attemptOf(call, mostPartTokens)
			c.client.CloseIdleConnections()
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(pause)))
	}
}

// hasCrashPart reports whether the prompt has the part that crashes servers.
func (c Call) hasCrashPart() bool { return strings.Contains(c.Parts, backend.CrashPart) }

// partKnownAt returns when servers had crashed under the part often enough; zero if they had not.
func (r *Record) partKnownAt() time.Time {
	var at []time.Time
	for _, c := range r.Crashes {
		if c.Body == backend.PartCrash {
			at = append(at, c.At)
		}
	}
	if len(at) < crashesByPart {
		return time.Time{}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at[crashesByPart-1]
}

// partWentOn finds requests with the part that routers in touch sent, after it had crashed five servers
// and there was time to know.
func partWentOn(r *Record) []string {
	known := r.partKnownAt()
	if known.IsZero() {
		return nil
	}
	late := r.lateWhere(known, func(c Call) bool { return c.hasCrashPart() })
	if len(late) <= furtherPartSends {
		return nil
	}
	return []string{fmt.Sprintf("a part of prompts had crashed five servers at %v, and %d requests with it were sent later than %v after that: %v", known, len(late), contact, late)}
}
