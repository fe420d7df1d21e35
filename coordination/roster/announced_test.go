package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A server that announced its shutdown in an answer gets no more requests, whatever its
// earlier and later entries say and whether the store loses them; a later process under its
// id does.
func TestServerThatAnnouncedShutdownDoesNotReturn(t *testing.T) {
	for name, tc := range map[string]struct {
		incarnation Incarnation
		steps       func(r *Roster)
	}{
		"its entry is read again":      {100, func(r *Roster) { r.Put(entryOf(100, false)) }},
		"an entry without incarnation": {0, func(r *Roster) { r.Put(entryOf(0, false)) }},
		"a full listing":               {0, func(r *Roster) { r.Replace(start, []Server{entryOf(0, false)}) }},
		"it lapses and comes back": {0, func(r *Roster) {
			r.StoreLost()
			r.Remove(start, "a")
			r.StoreBack(start)
			r.Put(entryOf(0, false))
		}},
		"the same, long after the store is back": {0, func(r *Roster) {
			r.Remove(start, "a")
			r.Tick(start)
			r.Tick(after(50 * time.Second))
			r.Put(entryOf(0, false))
		}},
		"its entry is invalid and then valid again": {100, func(r *Roster) {
			r.Invalidate("a")
			r.Put(entryOf(100, false))
		}},
		"its data centre is evacuated and the evacuation revoked": {0, func(r *Roster) {
			r.Evacuate(map[string]bool{"": true})
			r.Evacuate(nil)
		}},
		"another router reports it too, and the report expires": {0, func(r *Roster) {
			r.ShutdownReported(start, "a", 0)
			r.Tick(after(time.Hour))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(DefaultConfig())
			set := replay(map[string]bool{}, r.Put(entryOf(tc.incarnation, false)))
			replay(set, r.ShutdownAnnounced("a", tc.incarnation))
			qt.Check(t, set, qt.HasLen, 0)
			tc.steps(r)
			qt.Check(t, r.Has("a"), qt.IsFalse)
			qt.Check(t, reasonOf(r.Put(entryOf(200, false))), qt.Equals, ReasonJoined)
		})
	}
}

// replay updates the set of usable servers from the changes.
func replay(set map[string]bool, changes []Change) map[string]bool {
	for _, c := range changes {
		if c.Usable {
			set[c.Server.ID] = true
		} else {
			delete(set, c.Server.ID)
		}
	}
	return set
}

// An announcement of an earlier process does not apply to a later one. One of a server
// whose entry is gone still applies when the entry comes back.
func TestAnnouncementAppliesToOneIncarnation(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(entryOf(200, false))
	qt.Check(t, r.ShutdownAnnounced("a", 100), qt.HasLen, 0)
	qt.Check(t, r.Has("a"), qt.IsTrue)
	qt.Check(t, r.ShutdownReported(start, "a", 100), qt.HasLen, 0)
	r.Remove(start, "a")
	qt.Check(t, r.ShutdownAnnounced("a", 200), qt.HasLen, 0)
	r.Put(entryOf(200, false))
	qt.Check(t, r.Has("a"), qt.IsFalse)
	// The other routers, which see the entry come back, get the announcement.
	qt.Check(t, r.AnnouncedServers(), qt.HasLen, 1)
}

// A router reports to the others what servers announced to it, and not what other routers
// reported; it stops when the server's entry is gone.
func TestOnlyOwnAnnouncementsAreReported(t *testing.T) {
	r := New(DefaultConfig())
	r.Put(entryOf(100, false))
	r.ShutdownReported(start, "a", 100)
	qt.Check(t, r.AnnouncedServers(), qt.HasLen, 0)
	r.ShutdownAnnounced("a", 100)
	qt.Check(t, r.AnnouncedServers(), qt.HasLen, 1)
	r.Remove(start, "a")
	qt.Check(t, r.AnnouncedServers(), qt.HasLen, 0)
	// The entry is written late: the others may have forgotten the announcement.
	r.Put(entryOf(100, false))
	qt.Check(t, r.AnnouncedServers(), qt.HasLen, 1)
	r.Put(entryOf(200, false))
	qt.Check(t, r.AnnouncedServers(), qt.HasLen, 0)
}

// A report of another router keeps a server from requests for a time and once, so that a
// wrong report that is repeated forever has a bounded cost.
func TestReportOfAnotherRouterExpires(t *testing.T) {
	cfg := DefaultConfig()
	r := New(cfg)
	r.Put(entryOf(100, false))
	qt.Check(t, reasonOf(r.ShutdownReported(start, "a", 100)), qt.Equals, ReasonReported)
	qt.Check(t, r.Put(entryOf(100, false)), qt.HasLen, 0)
	qt.Check(t, r.Tick(after(cfg.ReportTTL-time.Millisecond)), qt.HasLen, 0)
	r.ShutdownReported(after(cfg.ReportTTL-time.Millisecond), "a", 100)
	qt.Check(t, reasonOf(r.Tick(after(cfg.ReportTTL))), qt.Equals, ReasonUnconfirmed)
	qt.Check(t, r.ShutdownReported(after(cfg.ReportTTL), "a", 100), qt.HasLen, 0)
	qt.Check(t, reasonOf(r.ShutdownAnnounced("a", 100)), qt.Equals, ReasonAnnounced)
}
