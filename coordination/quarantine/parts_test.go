package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
)

// partLoad is a fleet in virtual time whose callers send requests of which no two are alike. Some of them
// share a part that crashes each server that begins to answer on it; sound ones have the same first part.
type partLoad struct {
	routers, servers int
	// badGap is the time between two requests with a part that crashes, soundGap that between two sound ones.
	badGap, soundGap time.Duration
	// bad are the parts that crash, by turns; none if servers crash for other reasons, each otherGap.
	bad      []uint64
	otherGap time.Duration
	// together is a sound part that comes with the bad one and with each third sound request.
	together uint64
	span     time.Duration
	lossPct  int
}

// Parameters of the load.
const (
	partStep    = 10 * time.Millisecond
	firstPart   = 1
	downTime    = 2500 * time.Millisecond
	soundRun    = 3 * time.Second
	soundFirst  = 60 * time.Millisecond
	partContact = 3 * time.Second
	// partWarmUp is for how long sound requests run before the first crash.
	partWarmUp = 2 * time.Second
)

// partOutcome is what came of it.
type partOutcome struct {
	crashes      []time.Time
	badSends     []time.Time
	sound, begun int
	soundRefused int
	lateSends    int
}

// partRunning is a run in the model.
type partRunning struct {
	run        *PartRun
	router     int
	bad        bool
	begins     time.Time
	ends       time.Time
	hasBegun   bool
	serverLife int
}

type partServerModel struct {
	life  int
	upAt  time.Time
	runs  []*partRunning
	named string
}

// play plays the load with the seed.
func (l partLoad) play(seed uint64) partOutcome {
	random := rand.New(rand.NewPCG(seed, 9))
	var ids []string
	for n := range l.routers {
		ids = append(ids, fmt.Sprint("r", n))
	}
	routers := make([]*Parts, l.routers)
	for n := range routers {
		routers[n] = NewParts(DefaultPartsConfig(), ids[n])
		routers[n].SetRouters(ids)
	}
	servers := make([]*partServerModel, l.servers)
	for n := range servers {
		servers[n] = &partServerModel{named: fmt.Sprintf("i-%d@0", n)}
	}
	var out partOutcome
	nextBad, nextSound, nextOther := partWarmUp, time.Duration(0), partWarmUp
	unique := uint64(1000)
	deliver := func(now time.Time, from int, reports []Report) {
		for _, one := range reports {
			for to := range routers {
				if to != from && random.IntN(100) >= l.lossPct {
					routers[to].Merge(now, ids[from], one)
				}
			}
		}
	}
	crash := func(now time.Time, s *partServerModel) {
		out.crashes = append(out.crashes, now)
		touched := map[int]bool{}
		for _, r := range s.runs {
			touched[r.router] = true
			routers[r.router].End(now, r.run, Broken)
		}
		for n := range touched {
			routers[n].Crash(now, s.named)
		}
		s.life++
		s.upAt, s.runs = now.Add(downTime), nil
		s.named = fmt.Sprintf("%s.%d", s.named, s.life)
	}
	send := func(now time.Time, bad bool, parts []admission.Prefix) bool {
		n := random.IntN(l.routers)
		if routers[n].Check(now, "app", parts) == Refuse {
			return false
		}
		up := servers[:0:0]
		for _, s := range servers {
			if !now.Before(s.upAt) {
				up = append(up, s)
			}
		}
		if len(up) == 0 {
			return true
		}
		s := up[random.IntN(len(up))]
		r := &partRunning{router: n, bad: bad, begins: now.Add(soundFirst), ends: now.Add(soundRun), run: routers[n].Begin(s.named, "app", parts)}
		if bad {
			out.badSends = append(out.badSends, now)
			r.ends = now.Add(60*time.Millisecond + time.Duration(random.IntN(100))*time.Millisecond)
		}
		s.runs = append(s.runs, r)
		return true
	}
	fifth := time.Time{}
	for at := time.Duration(0); at < l.span; at += partStep {
		now := epoch.Add(at)
		if len(out.crashes) >= 5 && fifth.IsZero() {
			fifth = now
		}
		for ; len(l.bad) > 0 && nextBad <= at; nextBad += l.badGap {
			unique++
			parts := []admission.Prefix{{ID: firstPart}, {ID: unique}, {ID: l.bad[unique%uint64(len(l.bad))]}}
			if l.together != 0 {
				parts = append(parts, admission.Prefix{ID: l.together})
			}
			send(now, true, parts)
		}
		for ; nextSound <= at; nextSound += l.soundGap {
			unique++
			parts := []admission.Prefix{{ID: firstPart}, {ID: 100 + unique%40}}
			if l.together != 0 && unique%3 == 0 {
				parts = append(parts, admission.Prefix{ID: l.together})
			}
			out.sound++
			if !send(now, false, parts) {
				out.soundRefused++
			}
		}
		for ; l.otherGap > 0 && nextOther <= at; nextOther += l.otherGap {
			if s := servers[random.IntN(len(servers))]; !now.Before(s.upAt) {
				crash(now, s)
			}
		}
		for _, s := range servers {
			isCrashed := false
			keep := s.runs[:0]
			for _, r := range s.runs {
				if !r.hasBegun && !now.Before(r.begins) {
					r.hasBegun = true
					routers[r.router].Answered(now, r.run)
				}
				switch {
				case now.Before(r.ends):
					keep = append(keep, r)
				case r.bad:
					isCrashed = true
					keep = append(keep, r)
				default:
					out.begun++
					routers[r.router].End(now, r.run, Complete)
				}
			}
			s.runs = keep
			if isCrashed {
				crash(now, s)
			}
		}
		for n, r := range routers {
			if at%(200*time.Millisecond) == 0 {
				r.Tick(now)
			}
			deliver(now, n, r.UnsentReports(now))
			if period := max(250*time.Millisecond, time.Duration(l.routers)*5*time.Millisecond); at%period == 0 {
				deliver(now, n, r.PeriodicReports(now))
			}
		}
	}
	for _, sent := range out.badSends {
		if !fifth.IsZero() && sent.After(fifth.Add(partContact)) {
			out.lateSends++
		}
	}
	return out
}

// A part that crashes servers is refused at each size of the fleet: at most three requests with it reach
// servers later than contact after the fifth crash, and few servers end; sound requests with the same
// first part are served.
func TestAPartThatCrashesIsRefusedAtEachSize(t *testing.T) {
	for _, l := range []partLoad{
		{routers: 3, servers: 12, badGap: 125 * time.Millisecond, soundGap: 20 * time.Millisecond, bad: []uint64{7}, span: 20 * time.Second},
		{routers: 5, servers: 9, badGap: 125 * time.Millisecond, soundGap: 20 * time.Millisecond, bad: []uint64{7}, span: 20 * time.Second, lossPct: 5},
		{routers: 5, servers: 9, badGap: 125 * time.Millisecond, soundGap: 20 * time.Millisecond, bad: []uint64{7, 8}, span: 20 * time.Second, lossPct: 5},
		{routers: 5, servers: 9, badGap: 125 * time.Millisecond, soundGap: 20 * time.Millisecond, bad: []uint64{7}, together: 9, span: 20 * time.Second, lossPct: 5},
		{routers: 5, servers: 9, badGap: 2 * time.Second, soundGap: 20 * time.Millisecond, bad: []uint64{7}, span: 40 * time.Second, lossPct: 5},
		{routers: 30, servers: 60, badGap: 125 * time.Millisecond, soundGap: 10 * time.Millisecond, bad: []uint64{7}, span: 12 * time.Second, lossPct: 5},
		{routers: 103, servers: 180, badGap: 125 * time.Millisecond, soundGap: 10 * time.Millisecond, bad: []uint64{7}, span: 10 * time.Second, lossPct: 5},
		{routers: 800, servers: 400, badGap: 125 * time.Millisecond, soundGap: 20 * time.Millisecond, bad: []uint64{7}, span: 6 * time.Second, lossPct: 5},
	} {
		for seed := range uint64(3) {
			if l.routers > 100 && seed > 0 {
				continue
			}
			got := l.play(seed)
			what := qt.Commentf("%d routers, %d servers, %v, seed %d: %d servers ended, %d sends late, %d of %d sound refused, %d begun", l.routers, l.servers, l.bad, seed, len(got.crashes), got.lateSends, got.soundRefused, got.sound, got.begun)
			t.Log(what)
			qt.Check(t, got.lateSends <= 3, qt.IsTrue, what)
			qt.Check(t, got.soundRefused <= wrongSlack+got.sound/wrongShare, qt.IsTrue, what)
		}
	}
}

// Servers that crash for other reasons refuse no part, least of all one that most requests share.
func TestUnrelatedCrashesRefuseNoPart(t *testing.T) {
	for seed := range uint64(4) {
		l := partLoad{routers: 5, servers: 12, soundGap: 10 * time.Millisecond, otherGap: 700 * time.Millisecond, span: 30 * time.Second, lossPct: 5}
		got := l.play(seed)
		what := qt.Commentf("seed %d: %d servers ended, %d of %d sound refused", seed, len(got.crashes), got.soundRefused, got.sound)
		t.Log(what)
		qt.Check(t, got.soundRefused <= wrongSlack+got.sound/wrongShare, qt.IsTrue, what)
	}
}
