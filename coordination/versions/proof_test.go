package versions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/roster"
)

// Guards against a conclusion that one of the routers could contradict, by what it says or by what it cannot know yet.
func TestWhatRoutersConcludeTogether(t *testing.T) {
	own := Statement{IsSound: true, Life: 1, Revision: 9, Members: 7}
	prover := Statement{Proven: "v1", IsSound: true, Life: 2, Registered: 2, Sees: 1, Revision: 8, Members: 7}
	late := Statement{IsSound: true, Life: 3, Registered: 3, Sees: 1, Revision: 7, Members: 7}
	with := func(s Statement, change func(*Statement)) Statement { change(&s); return s }
	proves := with(own, func(s *Statement) { s.Proven = "v1" })
	for name, one := range map[string]struct {
		own    Statement
		others []Statement
		want   Conclusion
	}{
		"one other has seen all ends":                {own, []Statement{prover, late}, IsProven},
		"this one has, alone":                        {proves, nil, IsProven},
		"this one has":                               {proves, []Statement{late}, IsProven},
		"nobody has":                                 {own, []Statement{late}, Unproven},
		"this one has forgotten streams":             {with(proves, func(s *Statement) { s.IsSound = false }), []Statement{prover}, Unproven},
		"another one has":                            {own, []Statement{prover, {}}, Unproven},
		"one of the build before proves":             {own, []Statement{{Proven: "v1"}}, Unproven},
		"one of the build before proves as well":     {own, []Statement{prover, {Proven: "v1"}}, IsProven},
		"one of the build before proves another one": {own, []Statement{prover, {Proven: "v2"}}, Unproven},
		"two prove different ones":                   {proves, []Statement{with(prover, func(s *Statement) { s.Proven = "v0" })}, Unproven},
		"the prover has not seen who left":           {own, []Statement{with(prover, func(s *Statement) { s.Revision = 6 }), late}, OutOfStep},
		"the prover has not seen this process":       {own, []Statement{with(prover, func(s *Statement) { s.Sees = 4 }), late}, OutOfStep},
		"another one knows of one more":              {own, []Statement{prover, with(late, func(s *Statement) { s.Members = 10 })}, OutOfStep},
		"a later process answers":                    {own, []Statement{prover, with(late, func(s *Statement) { s.Life = 5 })}, OutOfStep},
	} {
		v, got := Conclude(one.own, one.others)
		qt.Check(t, got, qt.Equals, one.want, qt.Commentf(name))
		qt.Check(t, v, qt.Equals, map[Conclusion]roster.Version{IsProven: "v1"}[got], qt.Commentf(name))
	}
}

// Guards against a planned end that counts as a loss whichever of its traces is read first, and against a loss that is
// taken back by the trace of another process, or forgotten with its name.
func TestOnlyAnAccountedEndIsNoLoss(t *testing.T) {
	h := twoVersions()
	h.Stored(start, Served{Service: "app", Versions: []roster.Version{"v1", "v2"}})
	h.Account(start, 4)
	h.RouterEnded(start, 4)
	qt.Check(t, proven(h), qt.Equals, roster.Version("v1"), qt.Commentf("told before the end"))
	h.RouterEnded(start, 5)
	qt.Check(t, proven(h), qt.Equals, roster.Version(""))
	h.Account(start, 4)
	qt.Check(t, proven(h), qt.Equals, roster.Version(""))
	h.Account(start, 5)
	qt.Check(t, proven(h), qt.Equals, roster.Version("v1"), qt.Commentf("told after the end"))
	h.RouterEnded(start, 6)
	for _, after := range []time.Duration{Horizon - 1, Horizon, 3 * Horizon} {
		h.Tick(start.Add(after))
		qt.Check(t, proven(h), qt.Equals, roster.Version(""), qt.Commentf("%v later", after))
	}
	for _, end := range []func(*History){func(h *History) { h.RouterEnded(start, 0) }, func(h *History) { h.RouterGone(start) }} {
		other := twoVersions()
		end(other)
		other.Account(start, 0)
		qt.Check(t, proven(other), qt.Equals, roster.Version(""), qt.Commentf("a process of which nothing is known"))
	}
}

// lateHistory returns that of a router that began as streams begin at both versions, by a record that names the first.
func lateHistory(first roster.Version) *History {
	h := New()
	h.Add("app", "v1")
	h.Add("app", "v2")
	h.Stored(start, Served{Service: "app", Versions: []roster.Version{"v1", "v2"}, First: first})
	h.Review(start)
	h.Confirm(start)
	return h
}

// Guards against a proof that ends with the last router that saw the release begin, and against one that is taken over
// by a router which has noticed a loss itself.
func TestAProofIsTakenOver(t *testing.T) {
	h := lateHistory("v1")
	qt.Check(t, proven(h), qt.Equals, roster.Version(""), qt.Commentf("the record alone proves nothing"))
	qt.Check(t, h.Unproven(), qt.DeepEquals, []string{"app"})
	h.TakeOver("app", "v2", start)
	qt.Check(t, proven(h), qt.Equals, roster.Version(""), qt.Commentf("the record names another one"))
	h.TakeOver("app", "v1", start)
	qt.Check(t, proven(h), qt.Equals, roster.Version("v1"))
	qt.Check(t, h.Unproven(), qt.HasLen, 0)
	h.RouterEnded(start.Add(time.Second), 3)
	qt.Check(t, proven(h), qt.Equals, roster.Version(""))

	h = lateHistory("")
	h.RouterEnded(start, 3)
	qt.Check(t, h.Unproven(), qt.HasLen, 0)
	h.TakeOver("app", "v1", start)
	qt.Check(t, proven(h), qt.Equals, roster.Version(""), qt.Commentf("it has noticed a loss since it began"))
}

// Guards against streams that begin at a further version at a router that others do not know yet: they would take them
// for forgotten ones. It keeps to the first version for as long as another one may act on a view without it.
func TestARouterThatOthersDoNotKnowYetKeepsToTheFirstVersion(t *testing.T) {
	h := lateHistory("v1")
	qt.Check(t, only(h), qt.Equals, roster.Version("v1"))
	h.Registered(start.Add(time.Second))
	h.Review(start.Add(time.Second + DefaultViewBound - 1))
	qt.Check(t, only(h), qt.Equals, roster.Version("v1"))
	h.Review(start.Add(time.Second + DefaultViewBound))
	qt.Check(t, only(h), qt.Equals, roster.Version(""))

	unregistered := lateHistory("v1")
	unregistered.Review(start.Add(2*DefaultViewBound - 1))
	qt.Check(t, only(unregistered), qt.Equals, roster.Version("v1"))
	unregistered.Review(start.Add(2 * DefaultViewBound))
	qt.Check(t, only(unregistered), qt.Equals, roster.Version(""), qt.Commentf("not for as long as the store is away"))

	alone := lateHistory("v1")
	alone.Remove(start, "app", "v1")
	alone.Review(start)
	qt.Check(t, only(alone), qt.Equals, roster.Version(""), qt.Commentf("nothing else could serve"))
	qt.Check(t, only(lateHistory("")), qt.Equals, roster.Version(""), qt.Commentf("the first version is not known"))
}

// The record goes on naming the first version though a router writes it that does not know it itself.
func TestTheRecordKeepsNamingTheFirstVersion(t *testing.T) {
	h := lateHistory("v1")
	qt.Check(t, h.ToStore(start.Add(storeEvery), first), qt.DeepEquals, []Served{{Service: "app", Versions: []roster.Version{"v1", "v2"}, First: "v1"}})
}
