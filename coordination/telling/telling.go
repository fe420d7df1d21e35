// Package telling decides to which routers a router sends its digest directly, and which
// routers relay it to the rest of their data centres.
//
// It answers this pattern: in a fleet of hundreds of routers in a few data centres, each
// router sends its usage to each other one. Nearly all of these messages cross between data
// centres, and their number grows with the square of the fleet. Here one router of each
// other data centre receives the digest and relays it to its neighbours. That router
// changes with each round, which spreads the work, and a router that fails loses one round
// of a few senders.
//
// A Fleet performs no I/O and reads no clock. Direct routers use it.
package telling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the constants of the choice.
type Config struct {
	// DirectUpTo is the number of routers up to which a data centre gets digests directly.
	// Default 3.
	DirectUpTo int
	// AliveWithin is the time within which a message of a router must have been received for
	// it to relay digests, in addition to two rounds of digests. Default 500ms.
	AliveWithin time.Duration
	// ReorderWindow is the time within which a message that arrives after a later one of the
	// same sender is dropped. Default 1s: a restarted router, whose sequence numbers may be
	// lower, is silent for longer.
	ReorderWindow time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{DirectUpTo: 3, AliveWithin: 500 * time.Millisecond, ReorderWindow: time.Second}
}

// DataCentre is a short form of a data centre's name.
type DataCentre uint32

// Message is what a message says about its sender.
type Message struct {
	Router     string
	DataCentre DataCentre
	// Seq numbers the sender's messages.
	Seq uint32
	// PassesOn is true if the sender relays digests on request.
	PassesOn bool
}

// Plan lists who gets a digest.
type Plan struct {
	// Direct are the routers that get it from its sender.
	Direct    []string
	Crossings []Crossing
}

// Crossing is the path of a digest to another data centre.
type Crossing struct {
	// By are the routers that receive the digest and relay it.
	By []string
	// To are all routers of the data centre that are to receive it, including those of By.
	To []string
}

// Round holds the parameters of one digest.
type Round struct {
	// Period is the time between the sender's digests.
	Period time.Duration
	// Copies is the number of routers of a data centre that relay the digest, each to all
	// others there.
	Copies int
	// Direct reports which routers must receive the digest from the sender itself.
	Direct func(id string) bool
}

// Fleet is one router's view of the others.
type Fleet struct {
	cfg  Config
	self string
	own  DataCentre
	// rounds counts the plans made.
	rounds uint64
	known  map[string]received
}

// received is the last message of a router.
type received struct {
	message    Message
	receivedAt time.Time
}

// New returns the view of a router that has received no message yet.
func New(cfg Config, self string, own DataCentre) *Fleet {
	return &Fleet{cfg: cfg, self: self, own: own, known: make(map[string]received)}
}

// Receive records a message of another router. It reports false if a later message of that
// router, or the same one by another path, arrived before.
func (f *Fleet) Receive(now time.Time, m Message) bool {
	last, ok := f.known[m.Router]
	if ok && now.Sub(last.receivedAt) < f.cfg.ReorderWindow && int32(m.Seq-last.message.Seq) <= 0 {
		return false
	}
	f.known[m.Router] = received{m, now}
	return true
}

// Keep forgets the routers that are not registered.
func (f *Fleet) Keep(registered func(id string) bool) {
	for id := range f.known {
		if !registered(id) {
			delete(f.known, id)
		}
	}
}

// Neighbour reports whether the router is known to be in this router's data centre.
func (f *Fleet) Neighbour(id string) bool {
	last, ok := f.known[id]
	return ok && last.message.DataCentre == f.own
}

// Next plans the delivery of the next digest to the routers with the ids.
func (f *Fleet) Next(now time.Time, ids []string, r Round) Plan {
	f.rounds++
	var p Plan
	for dataCentre, members := range f.byDataCentre(ids) {
		via := f.relays(now, members, r)
		if dataCentre == f.own || len(members) <= f.cfg.DirectUpTo || len(via) == 0 {
			p.Direct = append(p.Direct, members...)
			continue
		}
		p.Crossings = append(p.Crossings, Crossing{By: via, To: members})
		for _, id := range members {
			if r.Direct(id) && !slices.Contains(via, id) {
				p.Direct = append(p.Direct, id)
			}
		}
	}
	for _, id := range ids {
		if _, ok := f.known[id]; !ok {
			p.Direct = append(p.Direct, id)
		}
	}
	return p
}

// byDataCentre groups the routers whose data centres are known.
func (f *Fleet) byDataCentre(ids []string) map[DataCentre][]string {
	out := make(map[DataCentre][]string)
	for _, id := range ids {
		if last, ok := f.known[id]; ok {
			out[last.message.DataCentre] = append(out[last.message.DataCentre], id)
		}
	}
	return out
}

// relays returns the routers that relay this round's digest, chosen from those that are
// alive and support it: the first ones of an order that differs by sender and round.
func (f *Fleet) relays(now time.Time, members []string, r Round) []string {
	type candidate struct {
		id   string
		rank uint64
	}
	var all []candidate
	for _, id := range members {
		last := f.known[id]
		if last.message.PassesOn && now.Sub(last.receivedAt) <= f.cfg.AliveWithin+2*r.Period {
			all = append(all, candidate{id, f.rank(id)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	var out []string
	for _, relay := range all[:min(r.Copies, len(all))] {
		out = append(out, relay.id)
	}
	return out
}

func (f *Fleet) rank(id string) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(f.rounds)
	_, _ = h.WriteString(f.self)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(id)
	return h.Sum64()
}
