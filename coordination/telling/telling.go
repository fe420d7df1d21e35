// Package telling decides to which routers a router sends its digest itself, and which
// ones pass it on to the rest of their data centres.
//
// The pattern that it answers: a fleet of hundreds of routers in a few data centres, of
// which each tells each other one what it uses. Nearly all of these messages cross from
// one data centre to another, and their number grows with the square of the fleet. Here
// one router of each other data centre gets the digest and passes it on to its
// neighbours. Which one it is changes with each round, so that the work is spread and a
// router that fails loses one round of a few senders.
//
// A Fleet is pure. Direct routers use it.
package telling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the constants of the choice.
type Config struct {
	// Few is the number of routers up to which a data centre is told directly.
	// Default 3.
	Few int
	// Alive is the time within which a router must have been heard to pass digests
	// on, beside two rounds of digests. Default 500ms.
	Alive time.Duration
	// Reorder is the time within which a message that was sent before another one is
	// dropped when it comes after it. Default 1s: a router that started again, whose
	// numbers may be lower, is silent for longer.
	Reorder time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Few: 3, Alive: 500 * time.Millisecond, Reorder: time.Second}
}

// DataCentre is a short form of a data centre's name.
type DataCentre uint32

// Message is what a message tells of its sender.
type Message struct {
	Router     string
	DataCentre DataCentre
	// Seq numbers the sender's messages.
	Seq uint32
	// PassesOn tells that the sender passes digests on when it is asked to.
	PassesOn bool
}

// Plan is who gets a digest.
type Plan struct {
	// Direct are the routers that get it from its sender.
	Direct    []string
	Crossings []Crossing
}

// Crossing is the way of a digest to another data centre.
type Crossing struct {
	// By are the routers that get it and pass it on.
	By []string
	// To are all routers there that are to get it, those with them.
	To []string
}

// Round is what is to be told.
type Round struct {
	// Period is the time between the sender's digests.
	Period time.Duration
	// Copies is the number of routers of a data centre that pass it on, each to all.
	Copies int
	// Direct tells which routers must hear the sender itself.
	Direct func(id string) bool
}

// Fleet is what one router knows of the others.
type Fleet struct {
	cfg  Config
	self string
	own  DataCentre
	// rounds counts the plans.
	rounds uint64
	known  map[string]last
}

// last is the last message of a router.
type last struct {
	message Message
	at      time.Time
}

// New returns the fleet as the router sees it that has heard nobody.
func New(cfg Config, self string, own DataCentre) *Fleet {
	return &Fleet{cfg: cfg, self: self, own: own, known: make(map[string]last)}
}

// Heard takes a message of another router. It reports false if a later one came
// before it, or the same one by another way.
func (f *Fleet) Heard(now time.Time, m Message) bool {
	before, ok := f.known[m.Router]
	if ok && now.Sub(before.at) < f.cfg.Reorder && int32(m.Seq-before.message.Seq) <= 0 {
		return false
	}
	f.known[m.Router] = last{m, now}
	return true
}

// Keep forgets the routers that are not among those registered.
func (f *Fleet) Keep(registered func(id string) bool) {
	for id := range f.known {
		if !registered(id) {
			delete(f.known, id)
		}
	}
}

// Neighbour reports whether the router is known to be in this one's data centre.
func (f *Fleet) Neighbour(id string) bool {
	one, ok := f.known[id]
	return ok && one.message.DataCentre == f.own
}

// Next plans the next digest to the routers with the ids.
func (f *Fleet) Next(now time.Time, ids []string, r Round) Plan {
	f.rounds++
	var p Plan
	for dataCentre, members := range f.byDataCentre(ids) {
		by := f.passers(now, members, r)
		if dataCentre == f.own || len(members) <= f.cfg.Few || len(by) == 0 {
			p.Direct = append(p.Direct, members...)
			continue
		}
		p.Crossings = append(p.Crossings, Crossing{By: by, To: members})
		for _, id := range members {
			if r.Direct(id) && !slices.Contains(by, id) {
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

// byDataCentre sorts the routers whose data centres are known.
func (f *Fleet) byDataCentre(ids []string) map[DataCentre][]string {
	out := make(map[DataCentre][]string)
	for _, id := range ids {
		if one, ok := f.known[id]; ok {
			out[one.message.DataCentre] = append(out[one.message.DataCentre], id)
		}
	}
	return out
}

// passers returns who passes this round's digest on, of those who are alive and do:
// the first in an order that differs by sender and round.
func (f *Fleet) passers(now time.Time, members []string, r Round) []string {
	type candidate struct {
		id   string
		rank uint64
	}
	var all []candidate
	for _, id := range members {
		one := f.known[id]
		if one.message.PassesOn && now.Sub(one.at) <= f.cfg.Alive+2*r.Period {
			all = append(all, candidate{id, f.rank(id)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	var out []string
	for _, one := range all[:min(r.Copies, len(all))] {
		out = append(out, one.id)
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
