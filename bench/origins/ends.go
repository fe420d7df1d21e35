package origins

import (
	"math/rand/v2"
	"slices"

	"goldcrestport/coordination/origin"
)

// End is how routers end between the first event of a stream and its caller's return, each of them.
type End struct {
	Name string
	// Share is that of the routers that end.
	Share float64
	// InSeries means that they end one after the other, each once the one before serves again; else all
	// end at once.
	InSeries bool
	// Planned means that each is asked to end, and may do something before it does.
	Planned bool
}

// Ends are the ends that each keeping is measured in. The router that began the stream is always among
// those that end.
func Ends() []End {
	return []End{
		{Name: "two thirds killed at once", Share: 2.0 / 3},
		{Name: "all killed at once", Share: 1},
		{Name: "all killed one after the other", Share: 1, InSeries: true},
		{Name: "all restarted one after the other", Share: 1, InSeries: true, Planned: true},
	}
}

// Keeping is a way in which knowledge outlives the routers that have it.
type Keeping struct {
	Name string
	// Owners is the number of routers that are informed besides the first one.
	Owners int
	// HandsOver means that a router that is asked to end informs others of all that it knows.
	HandsOver bool
	// Stores means that routers write what begins to the store, and read it when they begin.
	Stores bool
	// Asks means that a router that begins asks the others for what it should have been informed of.
	Asks bool
}

// Keepings are the ways that are weighed.
func Keepings() []Keeping {
	return []Keeping{
		{Name: "two owners", Owners: 2},
		{Name: "three owners", Owners: 3},
		{Name: "and ask when beginning", Owners: 2, Asks: true},
		{Name: "and hand over", Owners: 2, HandsOver: true},
		{Name: "hand over and store", Owners: 2, HandsOver: true, Stores: true},
	}
}

// lasts is the mean time in seconds that a stream has run when its router ends.
const lasts = 4

// PlayEnd plays streams through the end and returns the share whose origin a router knows that the
// caller reaches afterwards, or one that it asks.
func PlayEnd(f Fleet, k Keeping, e End, streams int, seed uint64) float64 {
	r := rand.New(rand.NewPCG(seed, uint64(f.Routers)))
	known := 0
	for range streams {
		if playEnd(f, k, e, r) {
			known++
		}
	}
	return float64(known) / float64(streams)
}

func playEnd(f Fleet, k Keeping, e End, r *rand.Rand) bool {
	id, first := r.Uint64(), r.IntN(f.Routers)
	knows := map[int]bool{first: true}
	near, far := seenBy(f, first).Owners(origin.ID(id))
	for n, one := range append(numbers(near), numbers(far)...) {
		knows[one] = n < k.Owners
	}
	for range k.Owners - 2 {
		knows[r.IntN(f.Routers)] = true
	}
	inStore := k.Stores && isStored(f, e, r)
	order := r.Perm(f.Routers)
	ends := func(n int) bool { return n == first || r.Float64() < e.Share }
	if !e.InSeries {
		for _, n := range order {
			if ends(n) {
				knows[n] = inStore
			}
		}
	} else {
		for _, n := range order {
			endOne(f, k, e, id, n, knows, inStore)
		}
	}
	return isFound(f, id, callersRouter(f, first, r), knows)
}

// callersRouter returns a router of the data centre of the first one, to which its caller comes back, or
// any one if there is no other.
func callersRouter(f Fleet, first int, r *rand.Rand) int {
	if inDataCentre := f.Routers / f.DataCentres; inDataCentre > 1 {
		return first%f.DataCentres + r.IntN(inDataCentre)*f.DataCentres
	}
	return r.IntN(f.Routers)
}

// isFound reports whether the router knows the stream, or one that it asks: the holders and, as versions
// are mixed, then all of its data centre.
func isFound(f Fleet, id uint64, at int, knows map[int]bool) bool {
	view := seenBy(f, at)
	asked := append(numbers(view.Holders(origin.ID(id))), numbers(view.Near)...)
	return slices.ContainsFunc(append(asked, at), func(n int) bool { return knows[n] })
}

// endOne ends a router, which then begins anew.
func endOne(f Fleet, k Keeping, e End, id uint64, n int, knows map[int]bool, inStore bool) {
	if knows[n] && k.HandsOver && e.Planned {
		for _, heir := range numbers(seenBy(f, n).Heirs(origin.ID(id))) {
			knows[heir] = true
		}
	}
	knows[n] = inStore
	if !k.Asks || knows[n] {
		return
	}
	for _, one := range numbers(seenBy(f, n).Holders(origin.ID(id))) {
		knows[n] = knows[n] || knows[one]
	}
}

// isStored reports whether the stream's router wrote its origin before it ended: a planned end writes
// what is left.
func isStored(f Fleet, e End, r *rand.Rand) bool {
	interval := StoreInterval(f)
	switch {
	case interval == 0:
		return false
	case e.Planned:
		return true
	default:
		return r.ExpFloat64()*lasts > r.Float64()*interval
	}
}

// StoreInterval returns the time in seconds between two writes of a router of the fleet; 0 if it writes
// nothing.
func StoreInterval(f Fleet) float64 {
	c := origin.DefaultJournalConfig()
	interval := max(c.Interval.Seconds(), float64(f.Routers)/c.WritesPerSecond)
	if interval > c.MaxInterval.Seconds() {
		return 0
	}
	return interval
}

// storeBytes are those of an entry without its records: key, lease, JSON and HTTP headers; encoding is
// the growth of binary data in the store's documents.
const (
	storeBytes = 400
	encoding   = 4.0 / 3
)

// StoreLoad returns what writing origins costs: calls a second of the whole fleet that write, calls of the
// two routers that watch, and bytes a second of each router that writes, and of each that watches.
func StoreLoad(f Fleet, l Load) (writes, reads, written, watched float64) {
	interval := StoreInterval(f)
	if interval == 0 {
		return 0, 0, 0, 0
	}
	segment := origin.DefaultJournalConfig().SegmentLife.Seconds()
	perWrite := storeBytes + encoding*recordBytes*l.Streams*max(segment, interval)/2
	writes = float64(f.Routers)/interval + float64(f.Routers)/segment
	return writes, 2 * writes, perWrite / interval, perWrite / interval * float64(f.Routers)
}

// HandOverBytes returns the bytes that a router sends once when it is asked to end: what it relays and
// relayed within the life of a record, and what others told it.
func HandOverBytes(f Fleet, l Load) float64 {
	records := 3 * l.Streams * (origin.DefaultConfig().Life.Seconds() + l.Length)
	heirs := 2.0
	if seenBy(f, 0).IsSmall() {
		heirs = float64(f.Routers - 1)
	}
	return 2 * (records*recordBytes*heirs + datagramBytes*float64(f.Routers-1))
}
