package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The pattern of these tests: a service of three servers, two callers who each insist on
// a request that crashes servers, and routers that start anew, one after the other. All
// servers may be away at once, the two are at the same servers, a bystander meets three
// crashes in a second, and who knew it to be sound may have forgotten it. What is
// refused wrongly then is what all callers ask for.

// Figures of the small service.
const (
	smallSpan  = 16 * time.Second
	smallGap   = 12 * time.Millisecond
	smallRun   = 200 * time.Millisecond
	smallAgain = time.Second
	// commonEvery is how often a request asks for one of the commonContents that
	// others ask for, too.
	commonEvery    = 5
	commonContents = 20
	// insistedOn is the number of contents that crash servers.
	insistedOn   = 2
	restartMost  = 8 * time.Second
	insistFrom   = 3 * time.Second
	smallInsist  = 250 * time.Millisecond
	smallCopies  = 3
	smallCrashIn = 60 * time.Millisecond
)

// smallService is a run of the model, and what it counts by content.
type smallService struct {
	*model
	ended, sent map[Fingerprint][]time.Time
}

func playSmall(seed uint64) *smallService {
	s := &smallService{
		model: newModel(fleetSize{routers: 3, servers: 3, span: smallSpan}, seed),
		ended: make(map[Fingerprint][]time.Time), sent: make(map[Fingerprint][]time.Time),
	}
	clear(s.cut)
	s.load(0)
	for n := range insistedOn {
		s.After(insistFrom, func() { s.insist(bad+Fingerprint(n), 0) })
	}
	for i := range s.routers {
		s.After(s.between(time.Second, restartMost), func() { s.restart(i) })
	}
	s.run()
	return s
}

// restart has the router forget all.
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

// load sends sound requests.
func (s *smallService) load(n int) {
	content := Fingerprint(1000 + n)
	if n%commonEvery == 0 {
		content = Fingerprint(100 + s.random.IntN(commonContents))
	}
	s.serve(content, 4)
	s.After(time.Duration(s.random.ExpFloat64()*float64(smallGap)), func() { s.load(n + 1) })
}

// serve sends a sound request; one whose answer broke off comes again.
func (s *smallService) serve(content Fingerprint, tries int) {
	if tries == 0 {
		return
	}
	router, server := s.routers[s.random.IntN(len(s.routers))], s.server()
	if server == nil {
		return
	}
	switch router.Check(s.Now, content) {
	case Refuse:
		s.wrong++
		return
	case Wait:
		s.After(smallAgain/2, func() { s.serve(content, tries-1) })
		return
	}
	s.sound++
	run, life := router.Begin(content, server.name()), server.life
	server.runs[run] = router
	s.After(s.between(0, smallRun), func() {
		if server.alive && server.life == life {
			delete(server.runs, run)
			router.End(s.Now, run, Complete)
			return
		}
		s.After(s.between(0, smallAgain), func() { s.serve(content, tries-1) })
	})
}

// insist sends a request that crashes servers, at times as several copies.
func (s *smallService) insist(content Fingerprint, n int) {
	copies := 1
	if n%commonEvery == 0 {
		copies = smallCopies
	}
	for range copies {
		router, server := s.routers[s.random.IntN(len(s.routers))], s.server()
		if server == nil || router.Check(s.Now, content) != Pass {
			continue
		}
		s.sent[content] = append(s.sent[content], s.Now)
		server.runs[router.Begin(content, server.name())] = router
		life := server.life
		s.After(s.between(0, smallCrashIn), func() {
			if server.alive && server.life == life {
				s.crash(server)
				s.ended[content] = append(s.ended[content], s.Now)
			}
		})
	}
	s.After(s.between(smallInsist/2, 2*smallInsist), func() { s.insist(content, n+1) })
}

// mostLate is the greatest number of sends of one content later than the time of contact
// after the third crash under it.
func (s *smallService) mostLate() int {
	most := 0
	for content, ended := range s.ended {
		late := 0
		for _, at := range s.sent[content] {
			if len(ended) >= 3 && at.After(ended[2].Add(contact)) {
				late++
			}
		}
		most = max(most, late)
	}
	return most
}

// forgotten are the seeds in which all routers start anew within a second or two of the
// crashes and nobody knows any more who else was there: a bystander stays refused for
// minutes.
var forgotten = []uint64{127, 235}

// Each of the two is sent three times at most once it is known, and no more sound
// requests are refused than the users bear.
func TestASmallServiceKnowsTwoRequestsThatCrashIt(t *testing.T) {
	for seed := range uint64(400) {
		if !slices.Contains(forgotten, seed) {
			checkSmall(t, seed)
		}
	}
}

// The same where all that was known of the first crashes is lost.
func TestASmallServiceWhoseRoutersForget(t *testing.T) {
	for _, seed := range forgotten {
		checkSmall(t, seed)
	}
}

func checkSmall(t *testing.T, seed uint64) {
	s := playSmall(seed)
	what := qt.Commentf("seed %d: %d late, %d of %d refused wrongly", seed, s.mostLate(), s.wrong, s.sound)
	qt.Check(t, s.mostLate() <= 3, qt.IsTrue, what)
	qt.Check(t, s.wrong <= wrongSlack+s.sound/wrongShare, qt.IsTrue, what)
}

// A router that begins hears what is refused and why, and what crashed earlier: what a
// refused request did is not counted against the others there.
func TestARouterThatBeginsKnowsWhatExplainsCrashes(t *testing.T) {
	old, fresh := New(DefaultConfig(), "old"), New(DefaultConfig(), "fresh")
	for i := range 3 {
		crashUnder(old, at(600*i), fmt.Sprint("i-", i), bad)
	}
	for i := range 3 {
		suspects := []Fingerprint{good}
		fresh.Told(at(2000), "third", Report{Crashes: []CrashReport{{Server: fmt.Sprint("i-", i), Age: time.Duration(2000-600*i) * time.Millisecond, Suspects: suspects}}})
		for _, one := range old.Standing(at(2000)) {
			// Of these only why it is refused came through.
			fresh.Told(at(2000), "old", Report{Held: one.Held})
		}
	}
	fresh.Tick(at(5000))
	qt.Check(t, fresh.Check(at(5000), bad), qt.Equals, Refuse)
	qt.Check(t, fresh.Check(at(5000), good), qt.Equals, Pass)
}

// Nothing explains a request of whose crashes nothing is known.
func TestWhatIsRefusedWithoutReasonsIsNotExplained(t *testing.T) {
	s := New(DefaultConfig(), "a")
	s.Told(at(0), "b", Report{Held: []HeldReport{{Content: good}, {Content: bad}}})
	qt.Check(t, s.Check(at(1000), good), qt.Equals, Refuse)
	qt.Check(t, s.Check(at(1000), bad), qt.Equals, Refuse)
}

// The cost of a refusal at 800 routers.
func BenchmarkRefusals(b *testing.B) {
	for _, held := range []int{1, 32, 1024} {
		b.Run(fmt.Sprint(held, " refused"), func(b *testing.B) {
			s := New(DefaultConfig(), "a")
			var routers []string
			for i := range 800 {
				routers = append(routers, fmt.Sprint("r-", i))
			}
			s.SetRouters(routers)
			for content := range held {
				var reasons []StrikeReport
				for i := range 3 {
					reasons = append(reasons, StrikeReport{Server: fmt.Sprint("i-", content, "-", i)})
				}
				s.Told(at(0), "b", Report{Held: []HeldReport{{Content: Fingerprint(content), Reasons: reasons}}})
			}
			for b.Loop() {
				s.Check(at(1000), 0)
			}
		})
	}
}
