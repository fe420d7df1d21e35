package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a version that is taken for gone while its servers may write their entries again, and
// against one that is awaited though its servers have left: each way in which an entry goes.
func TestReturning(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	server := Server{ID: "i-1", Service: "app", Version: "v1"}
	draining := server
	draining.Draining = true
	away := func(r *Roster) { r.StoreLost(); r.StoreBack(at(0)) }
	for name, tc := range map[string]struct {
		then func(r *Roster)
		want []Version
	}{
		"still there":                           {func(*Roster) {}, nil},
		"removed":                               {func(r *Roster) { r.Remove(at(1), "i-1") }, nil},
		"removed long after the store's return": {func(r *Roster) { away(r); r.Put(server); r.Remove(at(3), "i-1") }, nil},
		"removed soon after it":                 {func(r *Roster) { away(r); r.Put(server); r.Remove(at(1), "i-1") }, []Version{"v1"}},
		"missing at the store's return":         {func(r *Roster) { away(r); r.Remove(at(1), "i-1"); r.Tick(at(2.1)) }, []Version{"v1"}},
		"missing, and back":                     {func(r *Roster) { away(r); r.Remove(at(1), "i-1"); r.Tick(at(2.1)); r.Put(server) }, nil},
		"missing, and back as it drains":        {func(r *Roster) { away(r); r.Remove(at(1), "i-1"); r.Tick(at(2.1)); r.Put(draining) }, nil},
		"missing for long":                      {func(r *Roster) { away(r); r.Remove(at(-2), "i-1"); r.Tick(at(2.1)); r.Tick(at(7)) }, nil},
		"draining, then removed soon after":     {func(r *Roster) { away(r); r.Put(draining); r.Remove(at(1), "i-1") }, nil},
		"announced, then removed soon after":    {func(r *Roster) { away(r); r.Put(server); r.ShutdownAnnounced("i-1", 0); r.Remove(at(1), "i-1") }, nil},
		"told, then removed soon after":         {func(r *Roster) { away(r); r.Put(server); r.ShutdownReported(at(1), "i-1", 0); r.Remove(at(1), "i-1") }, nil},
		"the store was sound, as others say":    {func(r *Roster) { r.StoreLost(); r.StoreHealthy(); r.Remove(at(1), "i-1") }, nil},
		"of another version at once":            {func(r *Roster) { away(r); r.Put(Server{ID: "i-1", Service: "app", Version: "v2"}) }, nil},
		"missing, and its id of another version ": {func(r *Roster) {
			away(r)
			r.Remove(at(1), "i-1")
			r.Tick(at(2.1))
			r.Put(Server{ID: "i-1", Service: "app", Version: "v2"})
		}, nil},
	} {
		r := New(DefaultConfig())
		r.Put(server)
		tc.then(r)
		qt.Check(t, r.Returning(at(2.2), "app"), qt.DeepEquals, tc.want, qt.Commentf(name))
		qt.Check(t, r.Returning(at(2.2), "other"), qt.HasLen, 0)
	}
}
