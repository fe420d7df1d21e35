package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/standin/backend"
	"goldcrestport/standin/kvstore"
)

// resumedStreams is the number of streams of a row of resumed streams, and restartPause how long a
// killed router is away.
const (
	resumedStreams = 24
	restartPause   = 500 * time.Millisecond
)

// resumedRow is trouble beside callers who break their streams off and come back once, to another
// router.
type resumedRow struct {
	size Size
	// isSingle leaves the engines of the second version out at first.
	isSingle bool
	// span is the time in which the streams begin, one after the other, and lead the time from the
	// first of them to the trouble.
	span, lead time.Duration
	// least and most bound the time after which a stream is taken up.
	least, most time.Duration
	// before is made before the first stream begins, and may be nil; trouble after the lead.
	before, trouble func(*rowFleet)
}

// resumedCounts is what came of the streams of a row.
type resumedCounts struct {
	mu             sync.Mutex
	fresh, resumed tally
	refused        map[string]int
}

// addFresh counts a new stream that is asked for beside a resumed one.
func (c *resumedCounts) addFresh(got Call) {
	began := len(got.Versions) > 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fresh.add(began)
	c.addRefused("new", began, got)
}

// addResumed counts a stream that was taken up.
func (c *resumedCounts) addResumed(goesOn bool, got Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumed.add(goesOn)
	c.addRefused("resumed", goesOn, got)
}

// addRefused counts what an attempt got instead of events. The caller must hold mu.
func (c *resumedCounts) addRefused(kind string, good bool, got Call) {
	if !good {
		c.refused[fmt.Sprintf("%s: %d %s%s", kind, got.Status, got.Err, got.Why)]++
	}
}

// play plays the row: no stream goes on at another version, and the share of resumed streams that
// go on is at least half of that of the new ones that begin beside them.
func (row resumedRow) play(t *testing.T) {
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	f := startRowFleetOf(t, row.size, !row.isSingle)
	counts := &resumedCounts{refused: map[string]int{}}
	if row.before != nil {
		row.before(f)
	}
	var working sync.WaitGroup
	for n := range resumedStreams {
		working.Go(func() {
			time.Sleep(row.span * time.Duration(n) / resumedStreams)
			f.resumeOnce(counts, n, row.least+(row.most-row.least)*time.Duration(n%7)/6)
		})
	}
	time.Sleep(row.lead)
	row.trouble(f)
	working.Wait()
	said := qt.Commentf("%d of %d resumed went on, %d of %d new began, %v", counts.resumed.good, counts.resumed.all, counts.fresh.good, counts.fresh.all, counts.refused)
	f.Log(said)
	f.Check(counts.resumed.all >= leastResumed, qt.IsTrue, said)
	f.Check(counts.resumed.share() >= leastShare*counts.fresh.share(), qt.IsTrue, said)
}

// resumeOnce begins a stream and breaks it off after four events, takes it up at another router
// after the pause, and begins a new one there.
func (f *rowFleet) resumeOnce(counts *resumedCounts, n int, pause time.Duration) {
	routers := len(f.w.routers)
	first := f.ask(n%routers, "", 0, true)
	if len(first.Versions) == 0 {
		return
	}
	time.Sleep(pause)
	other := (n + 1 + n/routers%(routers-1)) % routers
	got := f.ask(other, first.ID, first.Last, false)
	goesOn := len(got.Versions) == 1 && got.Versions[0] == first.Versions[0]
	f.Check(goesOn || len(got.Versions) == 0, qt.IsTrue, qt.Commentf("joined: %+v goes on as %+v", first, got))
	counts.addResumed(goesOn, got)
	counts.addFresh(f.ask(other, "", 0, false))
}

// killAndStart kills the first routers at once and starts them again after a while.
func killAndStart(n int) func(*rowFleet) {
	return func(f *rowFleet) {
		for _, r := range f.w.routers[:n] {
			r.Kill()
		}
		time.Sleep(restartPause)
		for _, r := range f.w.routers[:n] {
			f.Assert(r.Start(), qt.IsNil)
		}
	}
}

// restartEach stops one router after the other and starts it again.
func restartEach(f *rowFleet) { restartSome(f, len(f.w.routers)) }

// restartSome does so with the first routers.
func restartSome(f *rowFleet, routers int) {
	for _, r := range f.w.routers[:routers] {
		f.Check(r.Stop(grace+time.Second), qt.IsTrue)
		f.Assert(r.Start(), qt.IsNil)
		f.Assert(f.w.fleet.WaitReady(context.Background(), r.Process), qt.IsNil)
	}
}

// eachEngine calls do with each engine that stays.
func (f *rowFleet) eachEngine(do func(*server)) {
	for _, zone := range zones {
		for _, s := range f.w.engines(zone) {
			do(s)
		}
	}
}

// smallSite is three routers in three data centres.
func smallSite() Size { return Size{Routers: 3, Engines: 2, Plain: 1, Other: 1, Apart: true} }

// Guards against streams that nobody knows any more after all routers were killed at once.
func TestStreamsGoOnAfterAllRoutersOfASmallSiteWereKilled(t *testing.T) {
	resumedRow{size: smallSite(), span: 2 * time.Second, lead: 2 * time.Second,
		least: 4 * time.Second, most: 7 * time.Second, trouble: killAndStart(3)}.play(t)
}

// releaseAfter is a row of streams that begin while there is one version, for which nothing is written
// and no other router is told; the trouble comes then, and a release begins before they are taken up.
func releaseAfter(least, most time.Duration, trouble func(*rowFleet)) resumedRow {
	return resumedRow{size: smallSite(), isSingle: true, span: 2 * time.Second, lead: 4 * time.Second, least: least, most: most, trouble: func(f *rowFleet) {
		trouble(f)
		for _, r := range f.w.routers {
			f.Assert(f.w.fleet.WaitReady(context.Background(), r.Process), qt.IsNil)
		}
		time.Sleep(restartPause)
		f.startSecondVersion()
	}}
}

// Guards against streams that nobody knows any more because all routers were killed before a release.
func TestStreamsGoOnAfterAllRoutersWereKilledBeforeARelease(t *testing.T) {
	releaseAfter(7*time.Second, 9*time.Second, killAndStart(3)).play(t)
}

// Guards against the same where one router is left, which did not begin them.
func TestStreamsGoOnAfterTwoOfThreeRoutersWereKilledBeforeARelease(t *testing.T) {
	releaseAfter(7*time.Second, 9*time.Second, killAndStart(2)).play(t)
}

// Guards against the same after each router was stopped and started again before a release.
func TestStreamsGoOnAfterARollingRestartBeforeARelease(t *testing.T) {
	releaseAfter(13*time.Second, 16*time.Second, restartEach).play(t)
}

// restartIn is a row as releaseAfter of all routers killed, in which so many are stopped and started one after the other
// once the first server of the further version has joined.
func restartIn(routers int, least, most time.Duration) resumedRow {
	row := releaseAfter(least, most, killAndStart(3))
	release := row.trouble
	row.trouble = func(f *rowFleet) {
		release(f)
		time.Sleep(restartPause)
		restartSome(f, routers)
	}
	return row
}

// Guards against streams that nobody knows any more because all routers were killed before a release, and that the
// planned restart of one in the release makes go on nowhere.
func TestStreamsGoOnWhereARouterIsRestartedInARelease(t *testing.T) {
	restartIn(1, 11*time.Second, 13*time.Second).play(t)
}

// Guards against the same where no router is left that ran before streams began at the further version.
func TestStreamsGoOnWhereAllRoutersAreRestartedInARelease(t *testing.T) {
	restartIn(3, 16*time.Second, 19*time.Second).play(t)
}

// Guards against streams that nobody knows any more after each router was stopped and started again.
func TestStreamsGoOnAfterARollingRestartOfASmallSite(t *testing.T) {
	resumedRow{size: smallSite(), span: 2 * time.Second, lead: 2 * time.Second, least: 10 * time.Second, most: 14 * time.Second, trouble: restartEach}.play(t)
}

// Guards against streams that are refused after most, not all, routers that knew them were killed.
func TestStreamsGoOnAfterThreeOfFiveRoutersWereKilled(t *testing.T) {
	size := smallSite()
	size.Routers = 5
	resumedRow{size: size, span: 2 * time.Second, lead: 2 * time.Second,
		least: 4 * time.Second, most: 7 * time.Second, trouble: killAndStart(3)}.play(t)
}

// Guards against the same at a small site, where one router is left that knows.
func TestStreamsGoOnAfterTwoOfThreeRoutersWereKilled(t *testing.T) {
	resumedRow{size: smallSite(), span: 2 * time.Second, lead: 2 * time.Second,
		least: time.Second, most: 4 * time.Second, trouble: killAndStart(2)}.play(t)
}

// returnStore lets the store answer again, in which all entries of engines have lapsed; they write them
// anew a little later.
func returnStore(f *rowFleet) {
	f.eachEngine(func(s *server) { f.w.store.Remove(backend.Key(s.ID)) })
	f.w.store.SetFaults(kvstore.Faults{})
	time.Sleep(restartPause)
	f.eachEngine(func(s *server) { f.w.enter(s, backend.Ready) })
}

// Guards against streams that stay refused because the store was away when they began or were taken
// up, before servers whose answers end with their connections.
func TestStreamsGoOnAfterTheStoreWasAway(t *testing.T) {
	const away = 7 * time.Second
	resumedRow{size: smallSite(), span: 9 * time.Second, lead: time.Second, least: 2 * time.Second, most: 5 * time.Second, trouble: func(f *rowFleet) {
		f.eachEngine(func(s *server) { s.backend.SetUntilClose() })
		f.w.store.SetFaults(kvstore.Faults{Silent: true})
		time.Sleep(away)
		returnStore(f)
	}}.play(t)
}

// Guards against streams that stay refused because they began over connections that nothing vouched
// for, though the store is back and says which processes serve: all connections to servers that live
// were lost while it was away.
func TestStreamsGoOnThatBeganWhileNothingVouchedForTheirServers(t *testing.T) {
	resumedRow{size: smallSite(), span: 2 * time.Second, lead: 5 * time.Second, least: 11 * time.Second, most: 13 * time.Second, before: func(f *rowFleet) {
		f.eachEngine(func(s *server) { s.backend.SetUntilClose() })
		f.w.store.SetFaults(kvstore.Faults{Silent: true})
		time.Sleep(time.Second)
		f.eachEngine(func(s *server) { s.link.Reset() })
		time.Sleep(restartPause)
	}, trouble: returnStore}.play(t)
}

// Guards against streams that are refused because routers without processor time are asked and
// answer late, beside a release.
func TestStreamsGoOnAtRoutersThatRunAThirdOfTheTime(t *testing.T) {
	const length = 8 * time.Second
	size := smallSite()
	size.Engines = 3
	resumedRow{size: size, span: 5 * time.Second, lead: time.Second, least: 500 * time.Millisecond, most: 3 * time.Second, trouble: func(f *rowFleet) {
		i := &injector{w: f.w, random: rand.New(rand.NewPCG(1, 5))}
		leaving := i.takeEngine()
		i.open.Go(func() { i.drainFor(leaving, false, "v2") })
		var running sync.WaitGroup
		for n, r := range f.w.routers {
			running.Go(func() {
				time.Sleep(scarceTurn * time.Duration(n) / time.Duration(len(f.w.routers)))
				runScarcely(r, length)
			})
		}
		running.Wait()
		i.open.Wait()
	}}.play(t)
}
