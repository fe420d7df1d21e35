package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSnapshot(t *testing.T) {
	c := qt.New(t)
	s := New(DefaultConfig())
	t0 := time.Unix(100, 0)
	s.Step(t0, SidecarUp{Sidecar: "s1", Service: "m"})
	s.Step(t0, LoadReported{Sidecar: "s1", Slots: 4})
	for _, id := range []string{"1", "2"} {
		s.Step(t0, Arrived{Request: Request{ID: id, Service: "m", Team: "a", Bytes: 5}})
	}
	got := s.Snapshot(t0.Add(time.Second))
	c.Assert(got, qt.DeepEquals, Snapshot{
		Queues:   []QueueState{{Service: "m", Team: "a", Waiting: 2, Bytes: 10, Oldest: time.Second}},
		Sidecars: []SidecarState{{Sidecar: "s1", Service: "m", Slots: 4}},
	})
}
