package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/state/claims"
)

// store is a platform shard. The test loses a write before or after it takes
// effect, or delays the effect.
type store struct {
	version  uint64
	value    []byte
	segments map[string][]byte
}

// find returns the key's record from the shard's value or one of its segments.
func (s *store) find(t *rapid.T, k claims.Key) (claims.Record, bool) {
	table := s.table(t)
	if r, ok := table.Records[k]; ok {
		return r, true
	}
	for _, g := range table.Sealed {
		segment, err := claims.Decode(s.segments[g.ID])
		if err != nil || len(s.segments[g.ID]) == 0 {
			t.Fatalf("the shard references segment %s, which was not written", g.ID)
		}
		if r, ok := segment.Records[k]; ok {
			return r, true
		}
	}
	return claims.Record{}, false
}

func (s *store) put(w Write) CallResult {
	if w.Version != s.version {
		return Conflict
	}
	s.version++
	s.value = w.Value
	return OK
}

func (s *store) table(t *rapid.T) *claims.Table {
	table, err := claims.Decode(s.value)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// machine runs two writers of one shard against the store.
type machine struct {
	now             time.Time
	store           store
	delayed         []Write
	writers         [2]*State
	inFlight        [2][]Action // in-flight platform calls
	unanswered      map[uint64]Call
	granted         []Call          // to be finished or released
	grantedAttempts map[string]bool // attempts granted so far
	ended           map[claims.Key]bool
	lastID          uint64
	keys            []claims.Key
}

func newMachine() *machine {
	m := &machine{now: time.Unix(1_800_000_000, 0), store: store{segments: map[string][]byte{}}, unanswered: map[uint64]Call{}, grantedAttempts: map[string]bool{}, ended: map[claims.Key]bool{}}
	for i := range m.writers {
		cfg := DefaultConfig()
		cfg.Seed = uint64(i)
		cfg.SealBytes = 150 // two keys
		m.writers[i] = New(cfg)
	}
	// The second writer is not the shard's home, as after a change of the
	// instance list.
	home := HomesChanged{Routers: 2}
	for i := range home.Home {
		home.Home[i] = true
	}
	m.writers[0].Step(m.now, home)
	for i := 0; len(m.keys) < 10; i++ {
		if k := claims.NewKey("team", "service", string(rune('a'+i))); k.Shard() == 0 {
			m.keys = append(m.keys, k)
		}
	}
	return m
}

func (m *machine) step(t *rapid.T, w int, ev Event) {
	for _, a := range m.writers[w].Step(m.now, ev) {
		answer, ok := a.(Answer)
		if !ok {
			m.inFlight[w] = append(m.inFlight[w], a)
			if len(m.inFlight[w]) > 1 {
				t.Fatalf("two platform calls in flight: %v", m.inFlight[w])
			}
			continue
		}
		m.check(t, answer)
	}
}

// check compares an answer with the records in the store.
func (m *machine) check(t *rapid.T, a Answer) {
	c, open := m.unanswered[a.Call]
	if !open {
		t.Fatalf("answer to a call that is not pending: %v", a)
	}
	delete(m.unanswered, a.Call)
	r, found := m.store.find(t, c.Key)
	claimed := found && r.State == claims.Claimed && r.Attempt == c.Attempt
	if a.Verdict == Granted && !m.grantedAttempts[c.Attempt] {
		m.grantedAttempts[c.Attempt] = true
		m.granted = append(m.granted, c)
		if !claimed {
			t.Fatalf("granted, but the record is %+v", r)
		}
		if m.ended[c.Key] {
			t.Fatalf("granted, but the key has a result")
		}
	}
	if a.Verdict == Done && c.Kind == Finish && claimed {
		t.Fatalf("finish is done, but the record is %+v", r)
	}
	if a.Verdict == Done && found && r.State == claims.Finished {
		m.ended[c.Key] = true
	}
}

func (m *machine) submitCall(t *rapid.T) {
	m.lastID++
	c := Call{
		ID:       m.lastID,
		Kind:     Acquire,
		Key:      rapid.SampledFrom(m.keys).Draw(t, "key"),
		Digest:   "d",
		Attempt:  fmt.Sprint("attempt-", m.lastID),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(10, 1500).Draw(t, "wait")) * time.Millisecond),
	}
	m.unanswered[c.ID] = c
	m.step(t, 0, CallReceived{Call: c})
	if rapid.Bool().Draw(t, "at both") {
		m.lastID++
		c.ID = m.lastID
		m.unanswered[c.ID] = c
		m.step(t, 1, CallReceived{Call: c})
	}
}

// finishOrRelease ends a granted attempt at either writer.
func (m *machine) finishOrRelease(t *rapid.T) {
	if len(m.granted) == 0 {
		return
	}
	c := m.granted[0]
	m.granted = m.granted[1:]
	m.lastID++
	c.ID = m.lastID
	c.Kind = rapid.SampledFrom([]Kind{Finish, Release}).Draw(t, "kind")
	c.Result = claims.Result{Outcome: "completed", Status: 200}
	c.Deadline = m.now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "wait")) * time.Millisecond)
	m.unanswered[c.ID] = c
	m.step(t, rapid.IntRange(0, 1).Draw(t, "writer"), CallReceived{Call: c})
}

// completeCall completes one platform call, with or without a fault.
func (m *machine) completeCall(t *rapid.T) {
	w := rapid.IntRange(0, 1).Draw(t, "writer")
	if len(m.inFlight[w]) == 0 {
		return
	}
	call := m.inFlight[w][0]
	m.inFlight[w] = nil
	fault := rapid.SampledFrom([]string{"", "", "", "refused", "lost before", "lost after", "late"}).Draw(t, "fault")
	switch call := call.(type) {
	case Read:
		if fault != "" {
			m.step(t, w, ReadDone{Shard: call.Shard, Result: Lost})
			return
		}
		m.step(t, w, ReadDone{Shard: call.Shard, Result: OK, Version: m.store.version, Table: m.store.table(t)})
	case ReadSegment:
		value, found := m.store.segments[call.ID]
		table, err := claims.Decode(value)
		if fault != "" || !found || err != nil {
			m.step(t, w, SegmentDone{Shard: call.Shard, ID: call.ID, Result: Lost})
			return
		}
		m.step(t, w, SegmentDone{Shard: call.Shard, ID: call.ID, Result: OK, Table: table})
	case Seal:
		if _, exists := m.store.segments[call.ID]; fault == "lost before" || exists {
			m.step(t, w, SealDone{Shard: call.Shard, Result: Lost})
			return
		}
		m.store.segments[call.ID] = call.Value
		result := OK
		if fault != "" {
			result = Lost
		}
		m.step(t, w, SealDone{Shard: call.Shard, Result: result})
	case Write:
		m.completeWrite(t, w, call, fault)
	}
}

func (m *machine) completeWrite(t *rapid.T, w int, call Write, fault string) {
	done := WriteDone{Shard: call.Shard, Result: Lost}
	switch fault {
	case "":
		done.Result = m.store.put(call)
		done.Version = m.store.version
	case "refused":
		done.Result = Refused
	case "lost after":
		m.store.put(call)
	case "late":
		m.delayed = append(m.delayed, call)
	}
	m.step(t, w, done)
}

func (m *machine) deliverDelayed(*rapid.T) {
	if len(m.delayed) > 0 {
		m.store.put(m.delayed[0])
		m.delayed = m.delayed[1:]
	}
}

func (m *machine) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	for w := range m.writers {
		m.step(t, w, Ticked{})
	}
}

// TestAnswersMatchTheStore checks that each call gets exactly one answer, that
// Granted and Done match the store when they are given, and that a shard has at
// most one platform call in flight.
func TestAnswersMatchTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit":            m.submitCall,
			"finish or release": m.finishOrRelease,
			"complete":          m.completeCall,
			"complete again":    m.completeCall,
			"deliver delayed":   m.deliverDelayed,
			"advance time":      m.advanceTime,
		})
		m.now = m.now.Add(time.Minute)
		for w := range m.writers {
			m.step(t, w, Ticked{})
		}
		if len(m.unanswered) > 0 {
			t.Fatalf("calls without an answer after their deadline: %v", m.unanswered)
		}
	})
}

// TestWritesAreBatchedAndSpaced checks that concurrent calls share one write
// and that writes of a shard are at least Gap apart.
func TestWritesAreBatchedAndSpaced(t *testing.T) {
	c := quicktest.New(t)
	m := newMachine()
	w := m.writers[0]
	key := m.keys[0]
	actions := w.Step(m.now, CallReceived{Call{ID: 1, Kind: Acquire, Key: key, Attempt: "a", Deadline: m.now.Add(time.Second)}})
	c.Assert(actions, quicktest.DeepEquals, []Action{Read{Shard: 0}})
	actions = w.Step(m.now, ReadDone{Result: OK, Table: &claims.Table{}})
	c.Assert(actions, quicktest.HasLen, 1)
	for id := uint64(2); id < 12; id++ {
		k := claims.Key(string(m.keys[1])) // the same key: one call is granted, the others get Held
		c.Assert(w.Step(m.now, CallReceived{Call{ID: id, Kind: Acquire, Key: k, Attempt: string(rune('a' + id)), Deadline: m.now.Add(time.Second)}}), quicktest.HasLen, 0)
	}
	c.Assert(w.Step(m.now, WriteDone{Result: OK, Version: 1}), quicktest.HasLen, 1, quicktest.Commentf("the first call's answer; the next write waits until Gap has passed"))
	c.Assert(w.Step(m.now.Add(99*time.Millisecond), Ticked{}), quicktest.HasLen, 0)
	actions = w.Step(m.now.Add(100*time.Millisecond), Ticked{})
	c.Assert(actions, quicktest.HasLen, 1)
	c.Assert(actions[0].(Write).Calls, quicktest.Equals, 10)
	verdicts := map[Verdict]int{}
	for _, a := range w.Step(m.now.Add(105*time.Millisecond), WriteDone{Result: OK, Version: 2}) {
		verdicts[a.(Answer).Verdict]++
	}
	c.Assert(verdicts, quicktest.DeepEquals, map[Verdict]int{Granted: 1, Held: 9})
}

// TestFullShardRefusesNewKeys checks that a shard value near its size limit
// accepts results and releases but no new key.
func TestFullShardRefusesNewKeys(t *testing.T) {
	c := quicktest.New(t)
	m := newMachine()
	m.writers[0].cfg.MaxBytes = 200
	deadline := m.now.Add(time.Minute)
	w := m.writers[0]
	w.Step(m.now, CallReceived{Call{ID: 1, Kind: Acquire, Key: m.keys[0], Attempt: "a", Deadline: deadline}})
	w.Step(m.now, ReadDone{Result: OK, Table: &claims.Table{}})
	w.Step(m.now, WriteDone{Result: OK, Version: 1})
	m.now = m.now.Add(time.Second)
	actions := w.Step(m.now, CallReceived{Call{ID: 2, Kind: Acquire, Key: m.keys[1], Attempt: "a long name that has no room, as it is more than one hundred bytes of a value of two hundred bytes in all", Deadline: deadline}})
	c.Assert(actions, quicktest.DeepEquals, []Action{Answer{Call: 2, Verdict: Full}})
	m.now = m.now.Add(time.Second)
	actions = w.Step(m.now, CallReceived{Call{ID: 3, Kind: Release, Key: m.keys[0], Attempt: "a", Deadline: deadline}})
	c.Assert(actions, quicktest.HasLen, 1)
	c.Assert(actions[0].(Write).Version, quicktest.Equals, uint64(1))
}

func TestRankSpreadsAndIsStable(t *testing.T) {
	c := quicktest.New(t)
	routers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	moved := 0
	for s := range claims.Shards {
		before := Rank(s, routers)
		after := Rank(s, routers[1:])
		if before[0] != after[0] {
			c.Assert(before[0], quicktest.Equals, "a")
			c.Assert(after[0], quicktest.Equals, before[1])
			moved++
		}
	}
	c.Assert(moved < claims.Shards/2, quicktest.IsTrue)
}
