package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/turns"
)

const storedTTL = 10 * time.Minute

// refusing returns routers that all refuse the request.
func refusing(ids ...string) []*State {
	var all []*State
	for _, id := range ids {
		s := New(DefaultConfig(), id)
		s.SetRouters(ids)
		all = append(all, s)
	}
	for i := range 3 {
		crashDuring(all[i%len(all)], at(1000*i), fmt.Sprint("i-", i), bad)
		exchangeDelayed(at(1000*i+1), all...)
	}
	for _, s := range all {
		s.Tick(at(2100))
	}
	return all
}

// Guards against a refusal that nobody writes to the store, as the one router that should was killed:
// if all are killed then, it is forgotten.
func TestOthersWriteTheRefusalIfTheFirstWasKilled(t *testing.T) {
	all := refusing("a", "b", "c")
	var left []*State
	for _, s := range all {
		if len(s.ToKeep(at(2200), storedTTL)) == 0 {
			left = append(left, s)
		}
	}
	qt.Assert(t, left, qt.HasLen, 2)
	now := at(2200).Add(2 * turns.Step)
	qt.Check(t, append(left[0].ToKeep(now, storedTTL), left[1].ToKeep(now, storedTTL)...), qt.HasLen, 2)
}

// Guards against probes that are sent anew by each life of the routers: the store has the number that
// was sent.
func TestTheStoreKnowsHowManyProbesWereSent(t *testing.T) {
	s := refusing("a")[0]
	entry := s.ToKeep(at(2200), storedTTL)[0]
	s.Kept(at(2200), entry)
	s.Stored(at(2201), []Entry{entry}, true)
	now := at(2200)
	for ; s.Check(now, bad) != Pass; now = now.Add(100 * time.Millisecond) {
		s.Tick(now)
	}
	s.End(now, begin(s, bad, "i-9"), Cancelled)
	again := s.ToKeep(now, storedTTL)
	qt.Assert(t, again, qt.HasLen, 1)
	qt.Check(t, again[0].Trials, qt.Equals, 1)
	s.Kept(now, again[0])
	qt.Check(t, s.ToKeep(now, storedTTL), qt.HasLen, 0)
}
