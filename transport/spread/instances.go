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

// firstListEvery is the time between looks while no list is known.
const firstListEvery = 200 * time.Millisecond

// list is the instance list as this process knows it.
type list struct {
	instances []platform.Instance
	encoded   []byte
	digest    uint64
	asOf      time.Time
	// watchers is the number of processes that may read the platform's list.
	watchers int
}

func (l *list) empty() bool { return l.asOf.IsZero() }

// Instances implements platform.Directory from memory. The list may lag.
func (s *Spreader) Instances(context.Context) ([]platform.Instance, error) {
	l := s.list.Load()
	if l.empty() {
		return nil, ErrNotReady
	}
	return l.instances, nil
}

// InstancesAge returns how old the list is.
func (s *Spreader) InstancesAge() time.Duration { return time.Since(s.list.Load().asOf) }

// listBytesPerSecond bounds what a watcher spends on reading the whole list
// from the platform, which has no way to ask for changes only.
const listBytesPerSecond = 4 << 10

// readersAtOnce is how many watchers of the fleet read the list within one
// InstancesEvery; the others have it from them.
const readersAtOnce = 3

// followInstances refreshes the list until ctx ends. Every process asks a
// router, which answers with a few bytes if nothing changed. Watchers take
// turns to read the platform; processes that reach no router read it too, but
// no more often than the read budget of the whole fleet allows.
func (s *Spreader) followInstances(ctx context.Context) {
	every := min(s.opts.InstancesEvery, firstListEvery)
	nextRead := time.Now().Add(time.Duration(rand.Int64N(int64(s.opts.Self.StartJitter) + 1)))
	for ctx.Err() == nil {
		asked := s.askForInstances(ctx)
		wanted := !asked || s.view.Load().watcher
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

// readEvery is the time between two reads of the platform's list by this
// process.
func (s *Spreader) readEvery() time.Duration {
	l := s.list.Load()
	switch {
	case l.empty():
		return firstListEvery
	case s.view.Load().watcher:
		return s.turnEvery()
	}
	fair := time.Duration(float64(len(l.instances)) / s.opts.Self.ReadBudget * float64(time.Second))
	return max(s.opts.InstancesEvery, fair)
}

// jittered returns a random time around d.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// turnEvery is the time between two reads of the list by one watcher.
func (s *Spreader) turnEvery() time.Duration {
	l := s.list.Load()
	turns := s.opts.InstancesEvery * time.Duration(l.watchers) / readersAtOnce
	bytes := time.Duration(len(l.encoded)) * time.Second / listBytesPerSecond
	return max(s.opts.InstancesEvery, turns, bytes)
}

func (s *Spreader) readInstances(ctx context.Context) {
	s.use.lists.Add(1)
	got, err := s.opts.Directory.Instances(ctx)
	if err == nil {
		s.setInstances(ctx, got, time.Now())
	}
}

// askForInstances asks a router of the data centre, or any, for the list. It
// reports whether the list is now as fresh as a peer could make it.
func (s *Spreader) askForInstances(ctx context.Context) bool {
	p, ok := s.someRouter()
	if !ok {
		return false
	}
	req := &wire.ConfigRequest{
		Revision:        s.Revision(),
		InstancesDigest: s.list.Load().digest,
		WantInstances:   true,
	}
	s.use.fetches.Add(1)
	resp, err := s.opts.Asker.Ask(ctx, p, req)
	if err != nil {
		return false
	}
	age := wire.Millis(resp.ConfigAgeMs)
	s.post(ctx, message{event: spread.PeerReported{Peer: key(p), Revision: resp.Revision, Age: age}})
	return s.takeInstances(ctx, resp)
}

// someRouter returns a router to ask, one of the own data centre if possible,
// else one that was heard or a seed.
func (s *Spreader) someRouter() (Peer, bool) {
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
	if p := s.contact.Load(); p != nil {
		far = append(far, *p)
	}
	for _, from := range [][]Peer{near, far, s.opts.Seeds} {
		if len(from) > 0 {
			return from[rand.IntN(len(from))], true
		}
	}
	return Peer{}, false
}

// takeInstances takes the peer's list up if it is newer than the own one.
func (s *Spreader) takeInstances(ctx context.Context, resp *wire.ConfigResponse) bool {
	if resp.InstancesDigest == 0 {
		return false
	}
	asOf := time.Now().Add(-wire.Millis(resp.InstancesAgeMs))
	own := s.list.Load()
	if !asOf.After(own.asOf) {
		return true
	}
	if resp.InstancesDigest == own.digest {
		same := *own
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

// countWatchers returns how many routers watch the platform in all data
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
