package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func one(changes []Change) string {
	if len(changes) != 1 {
		return ""
	}
	return changes[0].Reason
}

func TestDrainingAndRemovedServersLeaveAtOnce(t *testing.T) {
	r := New(DefaultConfig())
	qt.Check(t, one(r.Put(Server{ID: "a"})), qt.Equals, ReasonJoined)
	qt.Check(t, one(r.Put(Server{ID: "b"})), qt.Equals, ReasonJoined)
	qt.Check(t, one(r.Put(Server{ID: "a", Draining: true})), qt.Equals, ReasonDraining)
	qt.Check(t, r.Has("a"), qt.IsFalse)
	qt.Check(t, one(r.Remove(start, "b")), qt.Equals, ReasonRemoved)
	qt.Check(t, r.Has("b"), qt.IsFalse)
	// A late word that it is ready does not bring a draining server back.
	qt.Check(t, r.Put(Server{ID: "a"}), qt.HasLen, 0)
	qt.Check(t, r.Has("a"), qt.IsFalse)
	qt.Check(t, r.Remove(start, "a"), qt.HasLen, 0)
}

func TestEntriesThatLapseInAnOutageAreKept(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(Server{ID: "a"})
	r.Put(Server{ID: "b"})
	r.StoreLost()
	qt.Check(t, r.Tick(after(time.Minute)), qt.HasLen, 0)
	r.StoreBack(after(time.Minute))
	qt.Check(t, r.Replace(after(time.Minute), nil), qt.HasLen, 0)
	qt.Check(t, r.Has("a"), qt.IsTrue)
	qt.Check(t, r.Put(Server{ID: "a"}), qt.HasLen, 0)
	// What is not back two seconds after the store's return is gone.
	qt.Check(t, r.Tick(after(time.Minute+1999*time.Millisecond)), qt.HasLen, 0)
	qt.Check(t, one(r.Tick(after(time.Minute+2*time.Second))), qt.Equals, ReasonLapsed)
	qt.Check(t, r.Has("a"), qt.IsTrue)
	qt.Check(t, r.Has("b"), qt.IsFalse)
}

func TestADrainingServerIsGoneAlsoInAnOutage(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(Server{ID: "a"})
	r.StoreLost()
	r.StoreBack(start)
	qt.Check(t, one(r.Put(Server{ID: "a", Draining: true})), qt.Equals, ReasonDraining)
}

func TestAListingFindsWhatLeftUnseen(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(Server{ID: "a"})
	changes := r.Replace(start, []Server{{ID: "b"}})
	qt.Check(t, changes, qt.HasLen, 2)
	qt.Check(t, r.Has("a"), qt.IsFalse)
	qt.Check(t, r.Has("b"), qt.IsTrue)
}

// A router that alone was cut off learns from others what left meanwhile: that
// is gone at once, as the store was there for the servers all the while.
func TestWhatLeftWhileOnlyThisRouterWasCutOffIsGone(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(Server{ID: "a"})
	r.StoreLost()
	qt.Check(t, r.Settling(start), qt.IsTrue)
	r.StoreSound()
	qt.Check(t, r.Settling(start), qt.IsFalse)
	qt.Check(t, one(r.Replace(start, nil)), qt.Equals, ReasonRemoved)
}
