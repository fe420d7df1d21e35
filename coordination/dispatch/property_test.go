package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcrestport/coordination/dispatch"
)

// model tracks the state that the actions of a State under random events imply,
// and checks the invariants after each event.
type model struct {
	t     *rapid.T
	cfg   dispatch.Config
	state *dispatch.State
	now   time.Time

	queued        map[string]dispatch.Request // queued, by request ID
	inFlight      map[string]string           // sidecar by the ID of the request in flight
	connected     map[string]bool
	draining      map[string]bool
	registrations map[string]bool // registered, by sidecar/team
	next          int
	requests      map[string]dispatch.Request // every request that arrived, by ID
}

func newModel(t *rapid.T) *model {
	cfg := dispatch.DefaultConfig()
	cfg.Policy = rapid.SampledFrom([]dispatch.Policy{
		dispatch.PolicyPull, dispatch.PolicyPull, dispatch.PolicyPushFIFO, dispatch.PolicyPushFair,
	}).Draw(t, "policy")
	cfg.Queues.PerTeam, cfg.Queues.Total = 4, 8
	cfg.Queues.PerTeamBytes, cfg.Queues.TotalBytes = 40, 70
	cfg.Registration.Subset = rapid.IntRange(1, 2).Draw(t, "subset")
	cfg.Health.Consecutive = 2
	cfg.Seed = rapid.Uint64().Draw(t, "seed")
	return &model{
		t: t, cfg: cfg, state: dispatch.New(cfg), now: epoch,
		queued: map[string]dispatch.Request{}, inFlight: map[string]string{},
		requests: map[string]dispatch.Request{}, connected: map[string]bool{}, draining: map[string]bool{}, registrations: map[string]bool{},
	}
}

func (m *model) step(ev dispatch.Event) {
	for _, a := range m.state.Step(m.now, ev) {
		switch a := a.(type) {
		case dispatch.Send:
			r, ok := m.queued[a.ID]
			if !ok || !m.connected[a.Sidecar] {
				m.t.Fatalf("%#v sent to %s although it is not queued or the sidecar is not connected", a.ID, a.Sidecar)
			}
			if !r.Deadline.IsZero() && !m.now.Before(r.Deadline) {
				m.t.Fatalf("%s sent after its deadline", a.ID)
			}
			delete(m.queued, a.ID)
			m.inFlight[a.ID] = a.Sidecar
		case dispatch.Refuse:
			if _, ok := m.queued[a.ID]; !ok {
				m.t.Fatalf("%s refused (%v) although it is not queued", a.ID, a.Reason)
			}
			if a.RetryAfter < time.Second || a.RetryAfter > time.Minute {
				m.t.Fatalf("RetryAfter out of range: %v", a.RetryAfter)
			}
			delete(m.queued, a.ID)
		case dispatch.Register:
			m.registrations[a.Sidecar+"/"+a.Team] = a.Count > 0
		case dispatch.Empty:
			switch ev := ev.(type) {
			case dispatch.Pulled:
				m.registrations[a.Sidecar+"/"+ev.Team] = false
			case dispatch.Cancelled:
				m.registrations[a.Sidecar+"/"+m.requests[ev.ID].Team] = false
			}
		}
	}
	m.check()
}

func (m *model) check() {
	teams, bytes, teamBytes := map[string]int{}, int64(0), map[string]int64{}
	for _, r := range m.queued {
		teams[r.Team]++
		bytes += r.Bytes
		teamBytes[r.Team] += r.Bytes
		if !r.Deadline.IsZero() && !m.now.Before(r.Deadline) {
			m.t.Fatalf("%s is still queued after its deadline", r.ID)
		}
	}
	if m.state.Waiting() != len(m.queued) {
		m.t.Fatalf("Waiting() is %d, but %d requests are queued", m.state.Waiting(), len(m.queued))
	}
	if len(m.queued) > m.cfg.Queues.Total || bytes > m.cfg.Queues.TotalBytes {
		m.t.Fatalf("total limit exceeded: %d requests, %d bytes", len(m.queued), bytes)
	}
	for team, n := range teams {
		if n > m.cfg.Queues.PerTeam || teamBytes[team] > m.cfg.Queues.PerTeamBytes {
			m.t.Fatalf("limit of team %s exceeded: %d requests, %d bytes", team, n, teamBytes[team])
		}
		if m.cfg.Policy == dispatch.PolicyPull && m.acceptingCount() > 0 && !m.registered(team) {
			m.t.Fatalf("team %s has queued work that is registered with none of the sidecars that accept work", team)
		}
	}
}

// registered reports whether the team's work is registered with a sidecar that is
// not draining.
func (m *model) registered(team string) bool {
	for id := range m.connected {
		if !m.draining[id] && m.registrations[id+"/"+team] {
			return true
		}
	}
	return false
}

// acceptingCount returns the number of connected sidecars that are not draining.
func (m *model) acceptingCount() int {
	n := 0
	for id := range m.connected {
		if !m.draining[id] {
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
	m.queued[r.ID], m.requests[r.ID] = r, r
	m.step(dispatch.Arrived{Request: r})
}

// attempt draws a request that is in flight.
func (m *model) attempt() (id, sidecar string, ok bool) {
	ids := sortedIDs(m.inFlight)
	if len(ids) == 0 {
		return "", "", false
	}
	id = rapid.SampledFrom(ids).Draw(m.t, "attempt")
	return id, m.inFlight[id], true
}

func sortedIDs[V any](in map[string]V) []string {
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
			m.randomEvent()
		}
		m.quiesce()
	})
}

func (m *model) randomEvent() {
	id := sidecar(rapid.IntRange(0, 4).Draw(m.t, "sidecar"))
	switch rapid.IntRange(0, 9).Draw(m.t, "event") {
	case 0, 1:
		m.arrive()
	case 2:
		m.step(dispatch.Ticked{})
	case 3:
		m.connected[id], m.draining[id] = true, false
		for _, team := range []string{"a", "b", "c"} {
			m.registrations[id+"/"+team] = false
		}
		m.step(dispatch.SidecarUp{Sidecar: id, Service: service})
	case 4:
		delete(m.connected, id)
		m.step(dispatch.SidecarDown{Sidecar: id})
	case 5:
		slots := rapid.IntRange(0, 3).Draw(m.t, "slots")
		m.draining[id] = m.connected[id] && rapid.IntRange(0, 2).Draw(m.t, "draining") == 0
		m.step(dispatch.LoadReported{Sidecar: id, Slots: slots, Free: rapid.IntRange(0, slots).Draw(m.t, "free"), Draining: m.draining[id]})
	case 6:
		team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "pulled")
		m.step(dispatch.Pulled{Sidecar: id, Pull: 1, Team: team, Prefixes: []uint64{1}})
	case 7:
		if r, at, ok := m.attempt(); ok {
			delete(m.inFlight, r)
			m.queued[r] = m.requests[r]
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
				delete(m.inFlight, r)
				m.queued[r] = m.requests[r]
			}
			m.step(dispatch.Failed{ID: r, Sidecar: at, Retry: retry})
		}
	default:
		if r, at, ok := m.attempt(); ok {
			if rapid.Bool().Draw(m.t, "cancelled") {
				delete(m.inFlight, r)
				m.step(dispatch.Cancelled{ID: r, Pull: uint64(rapid.IntRange(0, 1).Draw(m.t, "open pull"))})
				return
			}
			m.step(dispatch.Succeeded{ID: r, Sidecar: at})
			delete(m.inFlight, r)
			m.step(dispatch.Ended{ID: r})
		}
	}
}

// quiesce disconnects all sidecars and checks that every queued request is
// refused after the grace period.
func (m *model) quiesce() {
	for i := range 5 {
		delete(m.connected, sidecar(i))
		m.step(dispatch.SidecarDown{Sidecar: sidecar(i)})
	}
	m.now = m.now.Add(m.cfg.Queues.Grace + time.Second)
	m.step(dispatch.Ticked{})
	m.now = m.now.Add(m.cfg.Queues.Grace + time.Second)
	m.step(dispatch.Ticked{})
	if len(m.queued) > 0 {
		m.t.Fatalf("%d requests still queued without a sidecar", len(m.queued))
	}
}
