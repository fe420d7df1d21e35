package versions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/roster"
)

// twoVersions returns the history of a router that knew v1 as the only version and learns of v2 at start.
func twoVersions() *History {
	h := New()
	h.Add("app", "v1")
	h.Review(start.Add(-time.Second))
	h.Confirm(start.Add(-time.Second))
	h.Add("app", "v2")
	h.Review(start)
	return h
}

// only returns the version at which streams may begin alone; empty if they may begin at each.
func only(h *History) roster.Version {
	v, _ := h.Introducing("app")
	return v
}

func proven(h *History) roster.Version {
	v, _ := h.Proven("app")
	return v
}

// Guards against streams at a further version while a router may still act on a view without it: they begin
// there once the record that says so is in the store, which is written when no such view can be left.
func TestStreamsBeginAtAFurtherVersionOnceItsRecordIsStored(t *testing.T) {
	h := twoVersions()
	qt.Check(t, only(h), qt.Equals, roster.Version("v1"))
	record := h.ToStore(start, first)
	qt.Assert(t, record, qt.DeepEquals, []Served{{Service: "app", Versions: []roster.Version{"v1", "v2"}, Only: "v1"}})
	h.Stored(start, record[0])
	qt.Check(t, h.ToStore(start.Add(DefaultViewBound-1), first), qt.HasLen, 0)
	record = h.ToStore(start.Add(DefaultViewBound), first)
	qt.Assert(t, record, qt.DeepEquals, []Served{{Service: "app", Versions: []roster.Version{"v1", "v2"}, First: "v1"}})
	qt.Check(t, only(h), qt.Equals, roster.Version("v1"), qt.Commentf("the record is not written yet"))
	h.Stored(start.Add(DefaultViewBound), record[0])
	qt.Check(t, only(h), qt.Equals, roster.Version(""))
}

// Guards against a service without servers as its first version leaves while the further one is new.
func TestAFurtherVersionServesAtOnceWhereNoOtherOneDoes(t *testing.T) {
	h := twoVersions()
	h.Stored(start, h.ToStore(start, first)[0])
	h.Remove(start, "app", "v1")
	h.Review(start)
	qt.Check(t, only(h), qt.Equals, roster.Version(""))
	third := func(string) int { return 2 }
	qt.Check(t, h.ToStore(start, third), qt.HasLen, 1, qt.Commentf("it alone may know, so it does not wait for its turn"))
	h.Add("app", "v1")
	h.Review(start)
	qt.Check(t, only(h), qt.Equals, roster.Version(""), qt.Commentf("the first version came back"))
}

// Guards against a proof by a router that cannot give one: it began when streams began at both versions, or
// another router ended since then.
func TestWhoCanProveTheFirstVersion(t *testing.T) {
	h := twoVersions()
	qt.Check(t, proven(h), qt.Equals, roster.Version("v1"))
	h.RouterEnded(start, 1)
	qt.Check(t, proven(h), qt.Equals, roster.Version(""), qt.Commentf("it may have begun streams elsewhere"))
	h.Confirm(start.Add(time.Millisecond))
	qt.Check(t, proven(h), qt.Equals, roster.Version("v1"), qt.Commentf("it ended before any did"))
	h.Stored(start.Add(time.Second), Served{Service: "app", Versions: []roster.Version{"v1", "v2"}})
	h.Confirm(start.Add(2 * time.Second))
	qt.Check(t, proven(h), qt.Equals, roster.Version("v1"))
	h.RouterEnded(start.Add(3*time.Second), 2)
	qt.Check(t, proven(h), qt.Equals, roster.Version(""))

	for only, want := range map[roster.Version]roster.Version{"": "", "v1": "v1"} {
		late := New()
		late.Add("app", "v1")
		late.Add("app", "v2")
		late.Stored(start, Served{Service: "app", Versions: []roster.Version{"v1", "v2"}, Only: only})
		late.Review(start)
		qt.Check(t, proven(late), qt.Equals, roster.Version(""))
		late.Confirm(start)
		qt.Check(t, proven(late), qt.Equals, want, qt.Commentf("a router that begins beside a record of %q", only))
	}
}

// A service that is left with one version is introduced to the next one anew; a third version beside two is not.
func TestEachReleaseIsIntroduced(t *testing.T) {
	h := twoVersions()
	h.Stored(start, Served{Service: "app", Versions: []roster.Version{"v1", "v2"}})
	h.Add("app", "v3")
	h.Review(start)
	qt.Check(t, only(h), qt.Equals, roster.Version(""))
	h.Remove(start, "app", "v1")
	h.Remove(start, "app", "v3")
	h.Review(start.Add(Horizon))
	h.Add("app", "v4")
	h.Review(start.Add(Horizon))
	qt.Check(t, only(h), qt.Equals, roster.Version("v2"))
}

// Guards against routers that begin as a further version does, before there is a record, and begin streams at
// both: they keep to one, and prove nothing.
func TestARouterThatBeginsBesideAFurtherVersionKeepsToOne(t *testing.T) {
	h := New()
	h.Add("app", "v1")
	h.Add("app", "v1")
	h.Add("app", "v0")
	h.Review(start)
	h.Confirm(start)
	qt.Check(t, only(h), qt.Equals, roster.Version("v1"))
	qt.Check(t, proven(h), qt.Equals, roster.Version(""))
	record := h.ToStore(start, first)
	qt.Assert(t, record, qt.DeepEquals, []Served{{Service: "app", Versions: []roster.Version{"v0", "v1"}, Only: Unsettled}})
	late := New()
	late.Add("app", "v0")
	late.Add("app", "v1")
	late.Stored(start, record[0])
	late.Review(start)
	late.Confirm(start)
	qt.Check(t, only(late), qt.Equals, roster.Version("v0"))
	qt.Check(t, proven(late), qt.Equals, roster.Version(""))
}

// Guards against routers that all begin anew as a further version joins, and do not know which one was first: the
// only version of a service is recorded, once as long as it is the only one.
func TestTheOnlyVersionIsRecordedOnce(t *testing.T) {
	h := New()
	h.Add("app", "v1")
	h.Add("unnamed", "")
	h.Review(start)
	record := h.ToStore(start, first)
	sole := Served{Service: "app", Versions: []roster.Version{"v1"}}
	qt.Assert(t, record, qt.DeepEquals, []Served{sole})
	third := func(string) int { return 2 }
	qt.Check(t, h.ToStore(start, third), qt.HasLen, 0)
	h.Stored(start, record[0])
	qt.Check(t, h.ToStore(start.Add(time.Hour), first), qt.HasLen, 0)

	late := New()
	late.Add("app", "v1")
	late.Add("app", "v2")
	late.Add("app", "v2")
	late.Stored(start, sole)
	late.Review(start)
	late.Confirm(start)
	qt.Check(t, only(late), qt.Equals, roster.Version("v1"))
	qt.Check(t, proven(late), qt.Equals, roster.Version("v1"))

	// Another version is the only one once the former is forgotten.
	h.Add("app", "v2")
	h.Review(start)
	h.Stored(start, Served{Service: "app", Versions: []roster.Version{"v1", "v2"}})
	h.Remove(start, "app", "v1")
	h.Review(start.Add(Horizon - 1))
	qt.Check(t, h.ToStore(start.Add(Horizon-1), first), qt.HasLen, 0)
	h.Review(start.Add(Horizon))
	qt.Check(t, h.ToStore(start.Add(Horizon), first), qt.DeepEquals, []Served{{Service: "app", Versions: []roster.Version{"v2"}}})
}

// Guards against a lasting record of a version that left while no router lived: it counts for a time only.
func TestARecordOfAVersionThatLeftLongAgo(t *testing.T) {
	h := New()
	h.Add("app", "v2")
	h.Stored(start, Served{Service: "app", Versions: []roster.Version{"v1"}})
	h.Review(start)
	h.Confirm(start)
	qt.Check(t, only(h), qt.Equals, roster.Version(""))
	qt.Check(t, proven(h), qt.Equals, roster.Version(""))
	qt.Check(t, h.IsMixed(start.Add(Horizon-1), "app"), qt.IsTrue)
	h.Review(start.Add(Horizon))
	qt.Check(t, h.IsMixed(start.Add(Horizon), "app"), qt.IsFalse)
	qt.Check(t, h.ToStore(start.Add(Horizon), first), qt.DeepEquals, []Served{{Service: "app", Versions: []roster.Version{"v2"}}})
}
