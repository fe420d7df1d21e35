package telling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const period = 150 * time.Millisecond

// noDirect is a round in which no router must receive the digest from the sender itself.
var noDirect = Round{Period: period, Copies: 1, Direct: func(string) bool { return false }}

var start = time.Unix(1_000_000, 0)

// world is a fleet in which each router has received a message from each other one.
type world struct {
	ids     []string
	centre  map[string]DataCentre
	routers map[string]*Fleet
	dead    map[string]bool
	// sent counts the messages of each router, crossed those between data centres.
	sent    map[string]int
	crossed int
	params  Round
}

func newWorld(routers, dataCentres int) *world {
	w := &world{centre: map[string]DataCentre{}, routers: map[string]*Fleet{}, dead: map[string]bool{}, sent: map[string]int{}, params: noDirect}
	for i := range routers {
		id := fmt.Sprintf("router-%d", i)
		w.ids = append(w.ids, id)
		w.centre[id] = DataCentre(i % dataCentres)
		w.routers[id] = New(DefaultConfig(), id, w.centre[id])
	}
	for _, id := range w.ids {
		for _, other := range w.ids {
			if id != other {
				w.routers[id].Receive(start, w.message(other, 1))
			}
		}
	}
	return w
}

func (w *world) message(id string, seq uint32) Message {
	return Message{Router: id, DataCentre: w.centre[id], Seq: seq, PassesOn: true}
}

func (w *world) others(id string) []string {
	return slices.DeleteFunc(slices.Clone(w.ids), func(other string) bool { return other == id })
}

// round sends the digest of each live router, and returns how often each router received
// that of each other one.
func (w *world) round(now time.Time, seq uint32) map[[2]string]int {
	got := map[[2]string]int{}
	for _, id := range w.ids {
		if w.dead[id] {
			continue
		}
		p := w.routers[id].Next(now, w.others(id), w.params)
		for _, to := range p.Direct {
			w.send(id, to, w.message(id, seq), now, got)
		}
		for _, relay := range p.Crossings {
			w.relay(id, relay, w.message(id, seq), now, got)
		}
	}
	return got
}

// relay sends the message to another data centre, where it is relayed.
func (w *world) relay(from string, relay Crossing, m Message, now time.Time, got map[[2]string]int) {
	for _, by := range relay.By {
		if !w.send(from, by, m, now, got) {
			continue
		}
		for _, to := range relay.To {
			if to != by {
				w.send(by, to, m, now, got)
			}
		}
	}
}

// send reports whether the message arrived.
func (w *world) send(from, to string, m Message, now time.Time, got map[[2]string]int) bool {
	w.sent[from]++
	if w.centre[from] != w.centre[to] {
		w.crossed++
	}
	if w.dead[to] {
		return false
	}
	if w.routers[to].Receive(now, m) {
		got[[2]string{m.Router, to}]++
	}
	return true
}

// In a fleet of any size each router receives the digest of each other one once a round,
// with as many messages for each router as if all were sent directly; those between data
// centres grow with the fleet and not with its square.
func TestEachRouterReceivesOnceWithFewMessagesBetweenDataCentres(t *testing.T) {
	for _, size := range []struct{ routers, dataCentres int }{{3, 3}, {6, 3}, {30, 3}, {103, 5}, {300, 3}, {800, 3}} {
		t.Run(fmt.Sprint(size.routers), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(size.routers, size.dataCentres)
			got := w.round(start.Add(period), 2)
			c.Assert(len(got), qt.Equals, size.routers*(size.routers-1))
			for pair, times := range got {
				c.Assert(times, qt.Equals, 1, qt.Commentf("%v", pair))
			}
			others := size.dataCentres - 1
			bound := size.routers * others * max(1, min(DefaultConfig().DirectUpTo, size.routers/size.dataCentres))
			c.Check(w.crossed <= bound, qt.IsTrue, qt.Commentf("%d messages between data centres, want at most %d", w.crossed, bound))
			if size.routers >= 100 {
				// An average router sends as many messages as without relays; none sends four
				// times as many.
				c.Check(slices.Max(values(w.sent)) <= 4*size.routers, qt.IsTrue)
			}
		})
	}
}

func values(m map[string]int) []int {
	var out []int
	for _, n := range m {
		out = append(out, n)
	}
	return out
}

// Six of ten routers are killed at once: the others choose live routers as relays as soon
// as the dead ones are silent for long enough, and lose single rounds until then.
func TestDeadRoutersAreNotUsedAsRelays(t *testing.T) {
	c := qt.New(t)
	w := newWorld(100, 3)
	for i, id := range w.ids {
		w.dead[id] = i%10 < 6
	}
	now := start
	alive := 40
	for i := range 12 {
		now = now.Add(period)
		got := w.round(now, uint32(i+2))
		if now.Sub(start) > DefaultConfig().AliveWithin+2*period {
			c.Assert(len(got), qt.Equals, alive*(alive-1), qt.Commentf("%v after the kill", now.Sub(start)))
		}
	}
}

// A data centre that is partitioned, or whose routers run a build without relaying, gets
// digests directly, as does a router without any received message.
func TestRoutersWithoutRelayAreSentToDirectly(t *testing.T) {
	c := qt.New(t)
	f := New(DefaultConfig(), "self", 1)
	ids := []string{"a", "b", "c", "d", "new"}
	for _, id := range ids[:4] {
		f.Receive(start, Message{Router: id, DataCentre: 2, Seq: 1})
	}
	p := f.Next(start, ids, noDirect)
	slices.Sort(p.Direct)
	c.Check(p.Direct, qt.DeepEquals, ids)
	c.Check(p.Crossings, qt.HasLen, 0)

	for _, id := range ids[:4] {
		f.Receive(start, Message{Router: id, DataCentre: 2, Seq: 2, PassesOn: true})
	}
	p = f.Next(start, ids, noDirect)
	c.Check(p.Direct, qt.DeepEquals, []string{"new"})
	c.Assert(p.Crossings, qt.HasLen, 1)
	c.Check(p.Crossings[0].By, qt.HasLen, 1)

	p = f.Next(start.Add(time.Minute), ids, noDirect)
	c.Check(p.Direct, qt.HasLen, 5)
	c.Check(p.Crossings, qt.HasLen, 0)
}

// Routers that read the store must receive each router's digest from the sender itself,
// once.
func TestWatchersAreSentToDirectly(t *testing.T) {
	c := qt.New(t)
	w := newWorld(30, 3)
	watcher := w.ids[1]
	for range 20 {
		p := w.routers[w.ids[0]].Next(start, w.others(w.ids[0]), Round{Period: period, Copies: 1, Direct: func(id string) bool { return id == watcher }})
		received := 0
		count := func(ids []string) {
			for _, id := range ids {
				if id == watcher {
					received++
				}
			}
		}
		count(p.Direct)
		for _, crossing := range p.Crossings {
			count(crossing.By)
		}
		c.Assert(received, qt.Equals, 1)
	}
}

// A digest that was relayed late does not override a later one; messages of a restarted
// router are accepted though their sequence numbers are lower.
func TestOlderMessageIsDropped(t *testing.T) {
	c := qt.New(t)
	f := New(DefaultConfig(), "self", 1)
	receive := func(after time.Duration, seq uint32) bool {
		return f.Receive(start.Add(after), Message{Router: "a", DataCentre: 2, Seq: seq})
	}
	c.Check(receive(0, 10), qt.IsTrue)
	c.Check(receive(time.Millisecond, 10), qt.IsFalse)
	c.Check(receive(2*time.Millisecond, 9), qt.IsFalse)
	c.Check(receive(3*time.Millisecond, 11), qt.IsTrue)
	c.Check(receive(2*time.Second, 1), qt.IsTrue)
	c.Check(f.Receive(start, Message{Router: "b", Seq: 1<<32 - 1}), qt.IsTrue)
	c.Check(f.Receive(start, Message{Router: "b", Seq: 0}), qt.IsTrue)
}

func TestRemovedRoutersAreForgotten(t *testing.T) {
	c := qt.New(t)
	f := New(DefaultConfig(), "self", 1)
	f.Receive(start, Message{Router: "a", DataCentre: 1, Seq: 1})
	c.Check(f.Neighbour("a"), qt.IsTrue)
	f.Keep(func(string) bool { return false })
	c.Check(f.Neighbour("a"), qt.IsFalse)
}

// Store updates go by two relays in each data centre: half of the fleet dies at once, and
// most of the other routers receive them all the same.
func TestTwoCopiesSurviveFailureOfHalf(t *testing.T) {
	c := qt.New(t)
	w := newWorld(300, 3)
	w.params.Copies = 2
	for i, id := range w.ids {
		w.dead[id] = i%2 == 1
	}
	var alive []string
	for _, id := range w.ids {
		if !w.dead[id] {
			alive = append(alive, id)
		}
	}
	got := w.round(start.Add(period), 2)
	delivered := float64(len(got)) / float64(len(alive)*(len(alive)-1))
	// A third is sent directly; three of four of the other messages arrive.
	c.Check(delivered > 0.8, qt.IsTrue, qt.Commentf("%.2f delivered", delivered))
}

// BenchmarkNext measures the cost of a plan, made under the router's lock, by the size of
// the fleet.
func BenchmarkNext(b *testing.B) {
	for _, size := range []int{3, 30, 103, 300, 800} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f, ids := New(DefaultConfig(), "self", 0), []string{}
			for i := range size {
				id := fmt.Sprintf("router-%d", i)
				ids = append(ids, id)
				f.Receive(start, Message{Router: id, DataCentre: DataCentre(i % 3), Seq: 1, PassesOn: true})
			}
			b.ReportAllocs()
			for b.Loop() {
				f.Next(start, ids, noDirect)
			}
		})
	}
}
