package platform

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"goldcrestport/standin/lag"
)

// Instance is one entry in the list of instances.
type Instance struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	State      string `json:"state"`
}

func parseInstance(id string, body []byte) (*Instance, error) {
	var in Instance
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	if in.State == "" {
		in.State = "live"
	}
	if in.Role != "router" && in.Role != "sidecar" || in.State != "live" && in.State != "leaving" {
		return nil, errors.New("role must be router or sidecar, state must be live or leaving")
	}
	in.ID = id
	return &in, nil
}

type instanceChange struct {
	id       string
	instance *Instance // nil: deleted
}

// instances is the list of instances. Readers see its state as of delay ago.
type instances struct {
	mu      sync.Mutex
	delay   time.Duration
	queue   *lag.Queue[instanceChange]
	visible map[string]Instance
}

func newInstances(delay time.Duration) *instances {
	return &instances{delay: delay, queue: lag.NewQueue[instanceChange](delay), visible: map[string]Instance{}}
}

func (l *instances) set(id string, instance *Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Push(instanceChange{id, instance})
	l.applyDue()
}

func (l *instances) list() ([]Instance, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue()
	out := slices.AppendSeq([]Instance{}, maps.Values(l.visible))
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out, time.Now().Add(-l.delay)
}

func (l *instances) applyDue() {
	for _, c := range l.queue.Due() {
		if c.instance == nil {
			delete(l.visible, c.id)
		} else {
			l.visible[c.id] = *c.instance
		}
	}
}
