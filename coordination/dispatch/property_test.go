package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcrestport/coordination/dispatch"
)

// model is what an observer outside knows of a core under random events.
type model struct {
	t    *rapid.T
	cfg  dispatch.Config
	core *dispatch.State
	now  time.Time

	waiting map[string]dispatch.Request
	sent    map[string]string // by request, the sidecar
	up      map[string]bool
	leaving map[string]bool
	view    map[string]bool // sidecar/team that is registered
	next    int
	known   map[string]dispatch.Request // every request that arrived
}

func newModel(t *rapid.T) *model {
	cfg := dispatch.DefaultConfig()
	cfg.Policy = rapid.SampledFrom([]dispatch.Policy{
		dispatch.PolicyPull, dispatch.PolicyPull, dispatch.PolicyPushFIFO, dispatch.PolicyPushFair,
	}).Draw(t, "policy")
	cfg.Queues.PerTeam, cfg.Queues.Total = 4, 8
	cfg.Queues.PerTeamBytes, cfg.Queues.TotalBytes = 40, 70
	cfg.Interest.Subset = rapid.IntRange(1, 2).Draw(t, "subset")
	cfg.Health.Consecutive = 2
	cfg.Seed = rapid.Uint64().Draw(t, "seed")
	return &model{
		t: t, cfg: cfg, core: dispatch.New(cfg), now: epoch,
		waiting: map[string]dispatch.Request{}, sent: map[string]string{},
		known: map[string]dispatch.Request{}, up: map[string]bool{}, leaving: map[string]bool{}, view: map[string]bool{},
	}
}

func (m *model) step(ev dispatch.Event) {
	for _, a := range m.core.Step(m.now, ev) {
		switch a := a.(type) {
		case dispatch.Send:
			r, ok := m.waiting[a.ID]
			if !ok || !m.up[a.Sidecar] {
				m.t.Fatalf("%#v sent to %s though it does not wait or the sidecar is gone", a.ID, a.Sidecar)
			}
			if !r.Deadline.IsZero() && !m.now.Before(r.Deadline) {
				m.t.Fatalf("%s sent after its deadline", a.ID)
			}
			delete(m.waiting, a.ID)
			m.sent[a.ID] = a.Sidecar
		case dispatch.Refuse:
			if _, ok := m.waiting[a.ID]; !ok {
				m.t.Fatalf("%s refused (%v) though it does not wait", a.ID, a.Reason)
			}
			if a.RetryAfter < time.Second || a.RetryAfter > time.Minute {
				m.t.Fatalf("retry after %v", a.RetryAfter)
			}
			delete(m.waiting, a.ID)
		case dispatch.Register:
			m.view[a.Sidecar+"/"+a.Team] = a.Count > 0
		case dispatch.Empty:
			switch ev := ev.(type) {
			case dispatch.Pulled:
				m.view[a.Sidecar+"/"+ev.Team] = false
			case dispatch.Withdrawn:
				m.view[a.Sidecar+"/"+m.known[ev.ID].Team] = false
			}
		}
	}
	m.check()
}

func (m *model) check() {
	teams, bytes, teamBytes := map[string]int{}, int64(0), map[string]int64{}
	for _, r := range m.waiting {
		teams[r.Team]++
		bytes += r.Bytes
		teamBytes[r.Team] += r.Bytes
		if !r.Deadline.IsZero() && !m.now.Before(r.Deadline) {
			m.t.Fatalf("%s waits after its deadline", r.ID)
		}
	}
	if m.core.Waiting() != len(m.waiting) {
		m.t.Fatalf("the core says %d wait, %d were sent no answer", m.core.Waiting(), len(m.waiting))
	}
	if len(m.waiting) > m.cfg.Queues.Total || bytes > m.cfg.Queues.TotalBytes {
		m.t.Fatalf("total bound passed: %d requests, %d bytes", len(m.waiting), bytes)
	}
	for team, n := range teams {
		if n > m.cfg.Queues.PerTeam || teamBytes[team] > m.cfg.Queues.PerTeamBytes {
			m.t.Fatalf("bound of %s passed: %d requests, %d bytes", team, n, teamBytes[team])
		}
		if m.cfg.Policy == dispatch.PolicyPull && m.taking() > 0 && !m.seen(team) {
			m.t.Fatalf("%s waits and no sidecar knows", team)
		}
	}
}

// seen reports whether some sidecar that takes work knows of the team's.
func (m *model) seen(team string) bool {
	for id := range m.up {
		if !m.leaving[id] && m.view[id+"/"+team] {
			return true
		}
	}
	return false
}

func (m *model) taking() int {
	n := 0
	for id := range m.up {
		if !m.leaving[id] {
			n++
		}
	}
	return n
}

func (m *model) arrive() {
	m.next++
	r := dispatch.Request{
		ID: fmt.Sprint(m.next), Service: service, Estimate: 1,
		Team:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "team"),
		Bytes:      int64(rapid.IntRange(0, 30).Draw(m.t, "bytes")),
		Prefix:     uint64(rapid.IntRange(0, 2).Draw(m.t, "prefix")),
		Idempotent: rapid.Bool().Draw(m.t, "idempotent"),
	}
	if rapid.Bool().Draw(m.t, "has deadline") {
		r.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "deadline")) * time.Millisecond)
	}
	m.waiting[r.ID], m.known[r.ID] = r, r
	m.step(dispatch.Arrived{Request: r})
}

// attempt draws one that is under way.
func (m *model) attempt() (id, at string, ok bool) {
	ids := sortedKeys(m.sent)
	if len(ids) == 0 {
		return "", "", false
	}
	id = rapid.SampledFrom(ids).Draw(m.t, "attempt")
	return id, m.sent[id], true
}

func sortedKeys[V any](in map[string]V) []string {
	var out []string
	for i := range 2000 {
		if id := fmt.Sprint(i); contains(in, id) {
			out = append(out, id)
		}
	}
	return out
}

func contains[V any](in map[string]V, id string) bool {
	_, ok := in[id]
	return ok
}

func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			m.random()
		}
		m.quiesce()
	})
}

func (m *model) random() {
	id := sidecar(rapid.IntRange(0, 4).Draw(m.t, "sidecar"))
	switch rapid.IntRange(0, 9).Draw(m.t, "event") {
	case 0, 1:
		m.arrive()
	case 2:
		m.step(dispatch.Ticked{})
	case 3:
		m.up[id], m.leaving[id] = true, false
		for _, team := range []string{"a", "b", "c"} {
			m.view[id+"/"+team] = false
		}
		m.step(dispatch.SidecarUp{Sidecar: id, Service: service})
	case 4:
		delete(m.up, id)
		m.step(dispatch.SidecarDown{Sidecar: id})
	case 5:
		slots := rapid.IntRange(0, 3).Draw(m.t, "slots")
		m.leaving[id] = m.up[id] && rapid.IntRange(0, 2).Draw(m.t, "leaving") == 0
		m.step(dispatch.LoadReported{Sidecar: id, Slots: slots, Free: rapid.IntRange(0, slots).Draw(m.t, "free"), Leaving: m.leaving[id]})
	case 6:
		team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "pulled")
		m.step(dispatch.Pulled{Sidecar: id, Pull: 1, Team: team, Prefixes: []uint64{1}})
	case 7:
		if r, at, ok := m.attempt(); ok {
			delete(m.sent, r)
			m.waiting[r] = m.known[r]
			m.step(dispatch.Declined{ID: r, Sidecar: at})
		}
	case 8:
		if r, at, ok := m.attempt(); ok {
			retry := rapid.Bool().Draw(m.t, "retry")
			if m.next%2 == 0 {
				m.step(dispatch.Failed{Sidecar: at})
				m.step(dispatch.Failed{Sidecar: at})
			}
			if retry {
				delete(m.sent, r)
				m.waiting[r] = m.known[r]
			}
			m.step(dispatch.Failed{ID: r, Sidecar: at, Retry: retry})
		}
	default:
		if r, at, ok := m.attempt(); ok {
			if rapid.Bool().Draw(m.t, "withdrawn") {
				delete(m.sent, r)
				m.step(dispatch.Withdrawn{ID: r, Pull: uint64(rapid.IntRange(0, 1).Draw(m.t, "open pull"))})
				return
			}
			m.step(dispatch.Succeeded{ID: r, Sidecar: at})
			delete(m.sent, r)
			m.step(dispatch.Ended{ID: r})
		}
	}
}

// quiesce takes all sidecars away: within the grace everything that waits has
// its answer.
func (m *model) quiesce() {
	for i := range 5 {
		delete(m.up, sidecar(i))
		m.step(dispatch.SidecarDown{Sidecar: sidecar(i)})
	}
	m.now = m.now.Add(m.cfg.Queues.Grace + time.Second)
	m.step(dispatch.Ticked{})
	m.now = m.now.Add(m.cfg.Queues.Grace + time.Second)
	m.step(dispatch.Ticked{})
	if len(m.waiting) > 0 {
		m.t.Fatalf("%d still wait without a sidecar", len(m.waiting))
	}
}
