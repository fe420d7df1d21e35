package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/standin/backend"
)

// oddEntries returns entries that another writer may leave in the store, by their keys: among the servers', among those of the
// operators, and among the project's own.
func oddEntries(live *server) map[string]string {
	sound := string(backend.Entry{Service: engineService, Address: "127.0.0.1:9", Zone: live.zone, Version: "v1", Slots: 4, State: backend.Ready, Born: 1}.Bytes())
	with := func(old, new string) string { return strings.Replace(sound, old, new, 1) }
	deep := strings.Repeat("[", 9_990) + strings.Repeat("]", 9_990)
	all := map[string]string{
		"servers/": sound, "servers/a/b": sound, "servers/a\r\nb": sound, "servers/" + strings.Repeat("x", 190): sound,
		"op/evacuate/": "{}", "op/evacuate/" + strings.Repeat("y", 180): "", "op/other": "{",
		"goldcrest/routers/odd": "10.0.0.1:99999", "goldcrest/routers/": "", "goldcrest/ended/odd": "", "goldcrest/fleet": `{"routers":-9223372036854775808}`,
		"goldcrest/quarantine/odd": deep, "goldcrest/parts/odd": `{"since":9223372036854775807,"parts":[1e400]}`,
		"goldcrest/origins/odd": "\x00\xff", "goldcrest/versions/odd%2": `{"versions":[]}`, "goldcrest/versions/app": `{"versions":["` + strings.Repeat("v", 1000) + `"]}`,
	}
	for n, value := range []string{
		"", "null", "{", "\xff\xfe", deep, strings.Repeat("[", 400_000), with(`{`, `{"more":`+deep+`,`), with(`"`+engineService+`"`, deep),
		with(`"slots":4`, `"slots":1e400`), with(`"slots":4`, `"slots":1e308`), with(`"slots":4`, `"slots":-9223372036854775808`),
		with(`"born":1`, `"born":9223372036854775808`), with(`"born":1`, `"born":1e308`), with(`"coldLeftMs":0`, `"coldLeftMs":1e400`), with(`"coldLeftMs":0`, `"coldLeftMs":5e-324`),
		with(`127.0.0.1:9`, `127.0.0.1:0`), with(`127.0.0.1:9`, `127.0.0.1:65536`), with(`127.0.0.1:9`, `255.255.255.255:80`), with(`127.0.0.1:9`, `[fe80::1%`+strings.Repeat("z", 100_000)+`]:80`),
		with(`"v1"`, `"v\r\n1"`), with(`"v1"`, `"`+strings.Repeat("v", 500_000)+`"`), with(`"`+engineService+`"`, `"`+strings.Repeat("s", 500_000)+`"`),
	} {
		all[fmt.Sprint("servers/odd-", n)] = value
	}
	return all
}

// runsAt returns the number of runs that began at the server.
func (w *World) runsAt(id string) int {
	w.Record.mu.Lock()
	defer w.Record.mu.Unlock()
	count := 0
	for _, runs := range w.Record.Runs {
		for _, one := range runs {
			if one.Server == id {
				count++
			}
		}
	}
	return count
}

// askMany sends new streams to all routers in turn, a few at once, and returns how many began.
func (f *rowFleet) askMany(count int) int {
	const together = 8
	var began atomic.Int64
	var asking sync.WaitGroup
	for first := range together {
		asking.Go(func() {
			for n := first; n < count; n += together {
				if len(f.ask(n%len(f.w.routers), "", 0, false).Versions) > 0 {
					began.Add(1)
				}
			}
		})
	}
	asking.Wait()
	return int(began.Load())
}

// followsTheList checks that a server that joins now gets work and that one that leaves gets none, at all routers.
func (f *rowFleet) followsTheList(when string) {
	f.Helper()
	const streams = 40
	before := len(f.w.servers)
	f.Assert(f.w.startServer(engineService, firstVersion, "127.0.0.1:0"), qt.IsNil)
	f.Assert(f.w.servers, qt.HasLen, before+1)
	joined := f.w.serverID(f.w.nextID)
	time.Sleep(2 * time.Second)
	f.Check(f.askMany(streams) > streams*9/10, qt.IsTrue, qt.Commentf("%s: few streams began", when))
	f.Check(f.w.runsAt(joined) > 0, qt.IsTrue, qt.Commentf("%s: a server that joined gets no work", when))
	f.w.store.Remove(backend.Key(joined))
	time.Sleep(2 * time.Second)
	ran := f.w.runsAt(joined)
	f.Check(f.askMany(streams) > streams*9/10, qt.IsTrue, qt.Commentf("%s: few streams began", when))
	f.Check(f.w.runsAt(joined), qt.Equals, ran, qt.Commentf("%s: a server that left gets work", when))
	for _, r := range f.w.routers {
		f.Check(r.Running(), qt.IsTrue, qt.Commentf("%s: %s ended: %v", when, r.Name, r.Exit()))
	}
}

// Guards against odd entries of another writer by which routers end, again and again, or stop following the list of servers:
// very deeply nested ones, numbers and ports out of range, names of half a megabyte, in the list as routers begin and later.
func TestOddEntriesAreBorneByRealRouters(t *testing.T) {
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	f := startRowFleetOf(t, Size{Routers: 2, Engines: 2, Plain: 1, Other: 1}, false)
	var live *server
	f.eachEngine(func(s *server) { live = s })
	for key, value := range oddEntries(live) {
		f.w.store.Put(key, []byte(value))
	}
	f.followsTheList("written later")
	config := f.w.store.Items("op/config")
	f.Assert(config, qt.HasLen, 1)
	f.w.store.Put("op/config", []byte(`{"version":1e400}`))
	f.followsTheList("a configuration that cannot be read")
	f.Check(f.w.routers[0].Stop(grace+time.Second), qt.IsTrue)
	f.Assert(f.w.routers[0].Start(), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.Assert(f.w.fleet.WaitReady(ctx, f.w.routers[0].Process), qt.IsNil, qt.Commentf("a router that begins is never ready"))
	f.followsTheList("a router began beside all of it")
	f.w.store.Put("op/config", config["op/config"].Value)
	f.w.store.Put(backend.Key(live.ID), []byte(strings.Repeat("[", 9_990)))
	f.followsTheList("the entry of a live server was written over")
	f.w.enter(live, backend.Ready)
	time.Sleep(2 * time.Second)
	ran := f.w.runsAt(live.ID)
	f.Check(f.askMany(20) > 18, qt.IsTrue)
	f.Check(f.w.runsAt(live.ID) > ran, qt.IsTrue, qt.Commentf("the server wrote its entry again, and gets no work"))
}
