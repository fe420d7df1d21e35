package spread

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestport/coordination/spread"
	"goldcrestport/protocol/wire"
	"goldcrestport/transport/platform"
)

// firstListEvery is the polling interval until a first list is known.
const firstListEvery = 200 * time.Millisecond

// list is this process's copy of the instance list.
type list struct {
	instances []platform.Instance
	encoded   []byte
	digest    uint64
	asOf      time.Time
	// watchers is the number of routers that watch the platform, over all data
	// centres.
	watchers int
}

func (l *list) empty() bool { return l.asOf.IsZero() }

// Instances implements platform.Directory from this process's copy of the list,
// which may lag.
func (s *Spreader) Instances(context.Context) ([]platform.Instance, error) {
	l := s.list.Load()
	if l.empty() {
		return nil, ErrNotReady
	}
	return l.instances, nil
}

// InstancesAge returns the time since the list was read from the platform, by
// this process or by the one that passed it on.
func (s *Spreader) InstancesAge() time.Duration { return time.Since(s.list.Load().asOf) }

// listBytesPerSecond bounds the rate at which a watcher reads the list from the
// platform. Each read transfers the whole list, because the platform cannot
// return changes only.
const listBytesPerSecond = 4 << 10

// readersPerPeriod is how many watchers of the fleet read the platform's list within
// one InstancesEvery; the others receive it from their peers.
const readersPerPeriod = 3

// followInstances refreshes the list until ctx ends. Every process polls a router,
// which answers with a few bytes if nothing changed. Watchers also read the
// platform, spread over time. So do processes that reach no router, but no more
// often than the read budget of the whole fleet allows.
func (s *Spreader) followInstances(ctx context.Context) {
	every := min(s.opts.InstancesEvery, firstListEvery)
	nextRead := time.Now().Add(time.Duration(rand.Int64N(int64(s.opts.Self.StartJitter) + 1)))
	for ctx.Err() == nil {
		fetched := s.fetchInstances(ctx)
		wanted := !fetched || s.view.Load().watcher
		if wanted && !time.Now().Before(nextRead) {
			s.readInstances(ctx)
			nextRead = time.Now().Add(jittered(s.readEvery()))
		}
		if !s.list.Load().empty() {
			every = s.opts.InstancesEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(jittered(every)):
		}
	}
}

// readEvery returns the interval at which this process reads the platform's list.
func (s *Spreader) readEvery() time.Duration {
	l := s.list.Load()
	switch {
	case l.empty():
		return firstListEvery
	case s.view.Load().watcher:
		return s.watcherReadEvery()
	}
	fair := time.Duration(float64(len(l.instances)) / s.opts.Self.ReadBudget * float64(time.Second))
	return max(s.opts.InstancesEvery, fair)
}

// jittered returns a random duration between 3/4 and 5/4 of d.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// watcherReadEvery returns the interval at which one watcher reads the platform's list.
func (s *Spreader) watcherReadEvery() time.Duration {
	l := s.list.Load()
	turns := s.opts.InstancesEvery * time.Duration(l.watchers) / readersPerPeriod
	bytes := time.Duration(len(l.encoded)) * time.Second / listBytesPerSecond
	return max(s.opts.InstancesEvery, turns, bytes)
}

func (s *Spreader) readInstances(ctx context.Context) {
	s.usage.lists.Add(1)
	got, err := s.opts.Directory.Instances(ctx)
	if err == nil {
		s.setInstances(ctx, got, time.Now())
	}
}

// fetchInstances requests the list from a router, preferably of its own data
// centre. It returns true if the router sent a valid list or confirmed the current
// one, even if the list of this process was newer.
func (s *Spreader) fetchInstances(ctx context.Context) bool {
	p, ok := s.pickRouter()
	if !ok {
		return false
	}
	req := &wire.ConfigRequest{
		Revision:        s.Revision(),
		InstancesDigest: s.list.Load().digest,
		WantInstances:   true,
	}
	s.usage.fetches.Add(1)
	resp, err := s.opts.Asker.Ask(ctx, p, req)
	if err != nil {
		return false
	}
	age := wire.Millis(resp.ConfigAgeMs)
	s.post(ctx, message{event: spread.PeerReported{Peer: peerKey(p), Revision: resp.Revision, Age: age}})
	return s.updateInstances(ctx, resp)
}

// pickRouter returns a random live router of this data centre. If there is none,
// it chooses among the routers of other data centres and the last router that
// sent a report, and then among the seeds.
func (s *Spreader) pickRouter() (Peer, bool) {
	var near, far []Peer
	for _, i := range s.list.Load().instances {
		if i.Role != platform.RoleRouter || i.ID == s.opts.Self.Self || i.State != platform.StateLive {
			continue
		}
		p := Peer{Role: i.Role, Address: i.Address}
		if i.DataCentre == s.opts.Self.DataCentre {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	if p := s.lastReporter.Load(); p != nil {
		far = append(far, *p)
	}
	for _, from := range [][]Peer{near, far, s.opts.Seeds} {
		if len(from) > 0 {
			return from[rand.IntN(len(from))], true
		}
	}
	return Peer{}, false
}

// updateInstances replaces the list with the peer's if that is newer. It returns
// false if the response contains no valid list.
func (s *Spreader) updateInstances(ctx context.Context, resp *wire.ConfigResponse) bool {
	if resp.InstancesDigest == 0 {
		return false
	}
	asOf := time.Now().Add(-wire.Millis(resp.InstancesAgeMs))
	current := s.list.Load()
	if !asOf.After(current.asOf) {
		return true
	}
	if resp.InstancesDigest == current.digest {
		same := *current
		same.asOf = asOf
		s.list.Store(&same)
		return true
	}
	var got []platform.Instance
	if json.Unmarshal(resp.Instances, &got) != nil {
		return false
	}
	s.setInstances(ctx, got, asOf)
	return true
}

func (s *Spreader) setInstances(ctx context.Context, got []platform.Instance, asOf time.Time) {
	data, err := json.Marshal(got)
	if err != nil {
		return
	}
	l := &list{instances: got, encoded: data, digest: xxhash.Sum64(data), asOf: asOf}
	l.watchers = s.countWatchers(got)
	old := s.list.Swap(l)
	if old.digest == l.digest {
		return
	}
	ev := spread.InstancesListed{Processes: len(got)}
	for _, i := range got {
		if i.Role == platform.RoleRouter && i.State == platform.StateLive {
			ev.Routers = append(ev.Routers, spread.Member{ID: i.ID, DataCentre: i.DataCentre})
		}
	}
	s.post(ctx, message{event: ev})
}

// countWatchers returns how many routers watch the platform, over all data
// centres.
func (s *Spreader) countWatchers(instances []platform.Instance) int {
	routers := map[string]int{}
	for _, i := range instances {
		if i.Role == platform.RoleRouter && i.State == platform.StateLive {
			routers[i.DataCentre]++
		}
	}
	n := 0
	for _, have := range routers {
		n += min(have, s.opts.Self.Watchers)
	}
	return n
}

func (s *Spreader) answerInstances(req *wire.ConfigRequest, resp *wire.ConfigResponse) {
	l := s.list.Load()
	if !req.WantInstances || l.empty() {
		return
	}
	resp.InstancesDigest = l.digest
	resp.InstancesAgeMs = time.Since(l.asOf).Milliseconds()
	if req.InstancesDigest != l.digest {
		resp.Instances = l.encoded
	}
}
