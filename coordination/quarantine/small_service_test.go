package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// These tests simulate a service of three servers, two callers who each keep sending a request
// that crashes servers, and routers that restart one after the other. All servers may be down
// at once, both requests may run at the same servers, another request may be running during
// three crashes within a second, and routers that knew it to be harmless may have restarted.
// Wrong refusals then hit the requests that all callers send.

// Parameters of the simulation.
const (
	smallSpan  = 16 * time.Second
	smallGap   = 12 * time.Millisecond
	smallRun   = 200 * time.Millisecond
	smallRetry = time.Second
	// commonEvery: one request in so many is one of the commonRequests that several callers send.
	commonEvery    = 5
	commonRequests = 20
	// crashingRequests is the number of requests that crash servers.
	crashingRequests = 2
	maxRestart       = 8 * time.Second
	crashingFrom     = 3 * time.Second
	smallCrashingGap = 250 * time.Millisecond
	smallCopies      = 3
	smallCrashIn     = 60 * time.Millisecond
)

// smallService is a run of the simulation; crashTimes holds the crashes and sendTimes the sends
// of each request.
type smallService struct {
	*model
	crashTimes, sendTimes map[Fingerprint][]time.Time
}

func simulateSmall(seed uint64) *smallService {
	s := &smallService{
		model:      newModel(fleetSize{routers: 3, servers: 3, span: smallSpan}, seed),
		crashTimes: make(map[Fingerprint][]time.Time), sendTimes: make(map[Fingerprint][]time.Time),
	}
	clear(s.blocked)
	s.load(0)
	for n := range crashingRequests {
		s.After(crashingFrom, func() { s.sendCrashing(bad+Fingerprint(n), 0) })
	}
	for i := range s.routers {
		s.After(s.between(time.Second, maxRestart), func() { s.restart(i) })
	}
	s.run()
	return s
}

// restart replaces the router by one without any state.
func (s *smallService) restart(i int) {
	old := s.routers[i]
	for _, server := range s.servers {
		for run, router := range server.runs {
			if router == old {
				delete(server.runs, run)
			}
		}
	}
	s.routers[i] = New(DefaultConfig(), old.self)
	s.routers[i].SetRouters(old.routers)
}

// load sends harmless requests.
func (s *smallService) load(n int) {
	fp := Fingerprint(1000 + n)
	if n%commonEvery == 0 {
		fp = Fingerprint(100 + s.random.IntN(commonRequests))
	}
	s.serve(fp, 4)
	s.After(time.Duration(s.random.ExpFloat64()*float64(smallGap)), func() { s.load(n + 1) })
}

// serve sends a harmless request; it is retried if its answer is interrupted.
func (s *smallService) serve(fp Fingerprint, tries int) {
	if tries == 0 {
		return
	}
	router, server := s.routers[s.random.IntN(len(s.routers))], s.server()
	if server == nil {
		return
	}
	switch router.Check(s.Now, fp) {
	case Refuse:
		s.wronglyRefused++
		return
	case Wait:
		s.After(smallRetry/2, func() { s.serve(fp, tries-1) })
		return
	}
	s.harmless++
	run, incarnation := begin(router, fp, server.name()), server.incarnation
	server.runs[run] = router
	s.After(s.between(0, smallRun), func() {
		if server.alive && server.incarnation == incarnation {
			delete(server.runs, run)
			router.End(s.Now, run, Complete)
			return
		}
		s.After(s.between(0, smallRetry), func() { s.serve(fp, tries-1) })
	})
}

// sendCrashing keeps sending a request that crashes servers, sometimes as several copies.
func (s *smallService) sendCrashing(fp Fingerprint, n int) {
	copies := 1
	if n%commonEvery == 0 {
		copies = smallCopies
	}
	for range copies {
		router, server := s.routers[s.random.IntN(len(s.routers))], s.server()
		if server == nil || router.Check(s.Now, fp) != Pass {
			continue
		}
		s.sendTimes[fp] = append(s.sendTimes[fp], s.Now)
		server.runs[begin(router, fp, server.name())] = router
		incarnation := server.incarnation
		s.After(s.between(0, smallCrashIn), func() {
			if server.alive && server.incarnation == incarnation {
				s.crash(server)
				s.crashTimes[fp] = append(s.crashTimes[fp], s.Now)
			}
		})
	}
	s.After(s.between(smallCrashingGap/2, 2*smallCrashingGap), func() { s.sendCrashing(fp, n+1) })
}

// maxLate returns the greatest number of sends of one request later than the contact time
// after its third crash.
func (s *smallService) maxLate() int {
	most := 0
	for fp, ended := range s.crashTimes {
		late := 0
		for _, at := range s.sendTimes[fp] {
			if len(ended) >= 3 && at.After(ended[2].Add(contact)) {
				late++
			}
		}
		most = max(most, late)
	}
	return most
}

// allRestartedSeeds are the seeds in which all routers restart within a second or two of the
// crashes, so that no router knows which other requests were running: a request that did not
// cause the crashes stays refused for minutes.
var allRestartedSeeds = []uint64{127, 235}

// Each of the two requests is sent at most three times once it is known, and no more harmless
// requests are refused than the users tolerate.
func TestSmallServiceRefusesTwoCrashingRequests(t *testing.T) {
	for seed := range uint64(400) {
		if !slices.Contains(allRestartedSeeds, seed) {
			checkSmall(t, seed)
		}
	}
}

// The same for the seeds in which all knowledge of the first crashes is lost.
func TestASmallServiceWhoseRoutersForget(t *testing.T) {
	for _, seed := range allRestartedSeeds {
		checkSmall(t, seed)
	}
}

func checkSmall(t *testing.T, seed uint64) {
	s := simulateSmall(seed)
	what := qt.Commentf("seed %d: %d late, %d of %d wrongly refused", seed, s.maxLate(), s.wronglyRefused, s.harmless)
	qt.Check(t, s.maxLate() <= 3, qt.IsTrue, what)
	qt.Check(t, s.wronglyRefused <= wrongSlack+s.harmless/wrongShare, qt.IsTrue, what)
}

// A router that starts receives what is refused and why, and the earlier crashes: the crashes
// of a refused request do not count against the others that ran there.
func TestStartingRouterReceivesReasons(t *testing.T) {
	old, fresh := New(DefaultConfig(), "old"), New(DefaultConfig(), "fresh")
	for i := range 3 {
		crashDuring(old, at(600*i), fmt.Sprint("i-", i), bad)
	}
	for i := range 3 {
		suspects := []Fingerprint{good}
		fresh.Merge(at(2000), "third", Report{Crashes: []CrashReport{{Server: fmt.Sprint("i-", i), Age: time.Duration(2000-600*i) * time.Millisecond, Suspects: suspects}}})
		for _, report := range old.PeriodicReports(at(2000)) {
			// Of these reports only the refusals with their reasons arrive.
			fresh.Merge(at(2000), "old", Report{Refusals: report.Refusals})
		}
	}
	fresh.Tick(at(5000))
	qt.Check(t, fresh.Check(at(5000), bad), qt.Equals, Refuse)
	qt.Check(t, fresh.Check(at(5000), good), qt.Equals, Pass)
}

// A refusal without known crashes is not explained by other refusals.
func TestRefusalWithoutReasonsIsNotExplained(t *testing.T) {
	s := New(DefaultConfig(), "a")
	s.Merge(at(0), "b", Report{Refusals: []RefusalReport{{Content: good}, {Content: bad}}})
	qt.Check(t, s.Check(at(1000), good), qt.Equals, Refuse)
	qt.Check(t, s.Check(at(1000), bad), qt.Equals, Refuse)
}

// BenchmarkRefusals measures the cost of a refusal at 800 routers.
func BenchmarkRefusals(b *testing.B) {
	for _, held := range []int{1, 32, 1024} {
		b.Run(fmt.Sprint(held, " refused"), func(b *testing.B) {
			s := New(DefaultConfig(), "a")
			var routers []string
			for i := range 800 {
				routers = append(routers, fmt.Sprint("r-", i))
			}
			s.SetRouters(routers)
			for fp := range held {
				var reasons []StrikeReport
				for i := range 3 {
					reasons = append(reasons, StrikeReport{Server: fmt.Sprint("i-", fp, "-", i)})
				}
				s.Merge(at(0), "b", Report{Refusals: []RefusalReport{{Content: Fingerprint(fp), Reasons: reasons}}})
			}
			for b.Loop() {
				s.Check(at(1000), 0)
			}
		})
	}
}
