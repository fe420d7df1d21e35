package direct

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/versions"
	"goldcrestport/protocol/originmsg"
)

// Times of the messages about the origins of streams.
const (
	// gatherOrigins is for how long new origins are gathered before they are announced, and lookOrigins
	// the interval of the checks for those to be announced again.
	gatherOrigins = 5 * time.Millisecond
	lookOrigins   = 100 * time.Millisecond
	// askAgain is after which an asking is repeated to routers that have not answered, and askInterval
	// that after which it is from then on.
	askAgain    = 8 * time.Millisecond
	askInterval = 40 * time.Millisecond
	// fleetLife is for how long the list of the other routers is kept.
	fleetLife = 500 * time.Millisecond
	// maxTold bounds the records in one datagram.
	maxTold = 1000
)

// origins is what this router knows, announces and asks about the origins of streams.
type origins struct {
	r *Router
	// conn is the socket of messages between routers; nil if there is none.
	conn atomic.Pointer[net.UDPConn]
	// begun wakes the task that announces origins.
	begun chan struct{}

	// handover is what this router hands over as it ends.
	handover handover
	// writer writes to the store what begins here.
	writer originWriter

	mu    sync.Mutex
	table *origin.Table
	// isClosed means that this router has begun to hand over what it knows, and takes nothing from others.
	isClosed bool
	journal  *origin.Journal
	// number is that of the last asking, and asking holds those that await answers.
	number uint32
	asking map[uint32]chan originmsg.Message
	// fleet and addresses are the other routers, as of fleetAt; fleetChanged asks for new ones.
	fleetChanged atomic.Bool
	fleet        origin.Fleet
	addresses    map[string]netip.AddrPort
	fleetAt      time.Time
}

func newOrigins(r *Router) *origins {
	o := &origins{
		r: r, begun: make(chan struct{}, 1), asking: make(map[uint32]chan originmsg.Message),
		table: origin.NewTable(origin.DefaultConfig(), r.set.ID),
		// The segments of an earlier process of this router are kept.
		journal: origin.NewJournal(journalConfig, rand.Uint64()>>1),
	}
	o.writer.o = o
	return o
}

// began records that this router relays a stream. It is announced to others at once if that is needed.
func (o *origins) began(one origin.Record, isSplit, isMixed bool) {
	o.mu.Lock()
	o.table.Began(time.Now(), one, isSplit)
	o.mu.Unlock()
	if isSplit || isMixed || one.Doubted {
		o.wake()
	}
}

// settled records that the origin of a stream that was doubted is certain.
func (o *origins) settled(id origin.ID) {
	o.mu.Lock()
	o.table.Settled(id)
	o.mu.Unlock()
	o.wake()
}

// lost records that the origin of a stream that is doubted will never be certain.
func (o *origins) lost(id origin.ID) {
	o.mu.Lock()
	o.table.Lost(id)
	o.mu.Unlock()
	o.wake()
}

// wake lets the task that announces origins look for those that are due.
func (o *origins) wake() {
	select {
	case o.begun <- struct{}{}:
	default:
	}
}

// ended records that this router relays the stream no more.
func (o *origins) ended(id origin.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Ended(time.Now(), id)
}

// lookup returns what this router knows of the stream.
func (o *origins) lookup(id origin.ID) (origin.Known, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Lookup(time.Now(), id)
}

// run announces origins until ctx ends.
func (o *origins) run(ctx context.Context) {
	ticker := time.NewTicker(lookOrigins)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.begun:
			time.Sleep(gatherOrigins)
		case <-ticker.C:
		}
		o.tell(time.Now())
	}
}

// tell sends the origins that are due.
func (o *origins) tell(now time.Time) {
	mixed := o.r.mixedServices(now)
	fleet, addresses := o.others(now)
	o.mu.Lock()
	o.table.Tick(now)
	due := o.table.Due(now, func(service string) bool { return slices.Contains(mixed, service) }, fleet.IsSmall())
	o.journal.Add(due.Store)
	o.mu.Unlock()
	out := batches{}
	for _, one := range due.Near {
		owners, _ := fleet.Owners(one.ID)
		out.add(owners, one)
	}
	for _, one := range due.Far {
		_, owners := fleet.Owners(one.ID)
		out.add(owners, one)
	}
	o.sendBatches(out, addresses)
}

// batches are the records to be sent, by the routers that get them.
type batches map[string][]origin.Record

func (b batches) add(routers []string, one origin.Record) {
	for _, id := range routers {
		b[id] = append(b[id], one)
	}
}

// sendBatches sends the records to the routers.
func (o *origins) sendBatches(all batches, addresses map[string]netip.AddrPort) {
	for id, records := range all {
		for part := range slices.Chunk(records, maxTold) {
			o.r.metrics.originsTold.Add(int64(len(part)))
			o.send(addresses[id], originmsg.Message{Kind: originmsg.Tells, Records: part})
		}
	}
}

// mixedServices returns the services that have, or had lately, several versions.
func (r *Router) mixedServices(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.Mixed(now)
}

// others returns the other routers and their addresses.
func (o *origins) others(now time.Time) (origin.Fleet, map[string]netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.fleetAt) < fleetLife && !o.fleetChanged.Swap(false) {
		return o.fleet, o.addresses
	}
	o.fleetAt = now
	o.fleet, o.addresses = o.r.otherRouters()
	return o.fleet, o.addresses
}

// otherRouters returns the other registered routers and their addresses.
func (r *Router) otherRouters() (origin.Fleet, map[string]netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fleet origin.Fleet
	addresses := make(map[string]netip.AddrPort, len(r.peers))
	for id, one := range r.peers {
		to, err := netip.ParseAddrPort(one.Address)
		if id == r.set.ID || err != nil {
			continue
		}
		addresses[id] = to
		if r.fleet.Neighbour(id) {
			fleet.Near = append(fleet.Near, id)
		} else {
			fleet.Far = append(fleet.Far, id)
		}
	}
	return fleet, addresses
}

// send sends a message of this router.
func (o *origins) send(to netip.AddrPort, m originmsg.Message) {
	conn := o.conn.Load()
	if conn == nil || !to.IsValid() {
		return
	}
	m.Router = o.r.set.ID
	if _, err := conn.WriteToUDPAddrPort(originmsg.Append(nil, m), to); err != nil {
		o.r.metrics.peerErrors.Add(1)
	}
}

// receive processes a message of another router.
func (o *origins) receive(datagram []byte, from netip.AddrPort) error {
	m, err := originmsg.Read(datagram)
	if err != nil {
		return err
	}
	switch m.Kind {
	case originmsg.Tells:
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, one := range m.Records {
			o.table.Told(time.Now(), m.Router, one)
		}
	case originmsg.Asks:
		o.answer(m, from)
	case originmsg.HandsOver:
		o.take(m, from)
	case originmsg.Takes:
		o.handover.taken(m.Router, m.Number)
	case originmsg.Answers:
		o.mu.Lock()
		waiting := o.asking[m.Number]
		o.mu.Unlock()
		if waiting != nil {
			select {
			case waiting <- m:
			default:
			}
		}
	}
	return nil
}

// answer answers another router's asking.
func (o *origins) answer(m originmsg.Message, from netip.AddrPort) {
	known, isKnown := o.lookup(m.ID)
	now := time.Now()
	o.r.mu.Lock()
	mixed := o.r.versions.IsMixed(now, m.Service)
	o.r.mu.Unlock()
	a := originmsg.Message{Kind: originmsg.Answers, Number: m.Number, Known: known, IsKnown: isKnown, Mixed: mixed}
	if !isKnown && mixed {
		a.Says = o.says(m.Service)
		a.Says.Sees = o.seen(m.Router)
	}
	o.send(from, a)
}

// says returns what this router says of a stream of the service that it does not know.
func (o *origins) says(service string) versions.Statement {
	o.mu.Lock()
	isComplete := o.table.IsComplete()
	o.mu.Unlock()
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	s := o.r.says(service)
	if !isComplete {
		s.Proven, s.IsSound = "", false
	}
	return s
}
