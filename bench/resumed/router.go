package resumed

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
	"goldcrestport/coordination/vouching"
)

// Times of a router, as the product has them.
const (
	digestInterval = 20 * time.Millisecond
	// digestBudget is the number of digests a second that all routers together send to each.
	digestBudget       = 200
	fullDigestInterval = time.Second
	teamsInterval      = 250 * time.Millisecond
	sweepInterval      = 200 * time.Millisecond
	gatherOrigins      = 5 * time.Millisecond
	lookOrigins        = 100 * time.Millisecond
	journalInterval    = 200 * time.Millisecond
	takeOverInterval   = time.Second
	// isStaleAfter is the age from which its view of the entries is no evidence.
	isStaleAfter = 1800 * time.Millisecond
	// touchTime is for how long after a trouble of its own a router is not in touch.
	touchTime = 3 * time.Second
)

// Processor time of a router for its kinds of work.
const (
	smallCost   = 30 * time.Microsecond
	refuseCost  = 60 * time.Microsecond
	requestCost = 400 * time.Microsecond
	relayCost   = 500 * time.Microsecond
	// mostBacklog is the wait for the processor from which requests are refused unread.
	mostBacklog = 300 * time.Millisecond
)

// router is one router; the fields of its process are new after each beginning.
type router struct {
	w          *world
	id         string
	dataCentre int
	quota      time.Duration

	// life counts its processes. It takes requests while it serves, and does anything while alive.
	life          int
	alive, serves bool
	// troubledAt is when it was last killed, stopped, frozen, or began; -touchTime before.
	troubledAt, frozenFrom, frozenUntil time.Duration

	cpu           processor
	admission     *admission.State
	roster        *roster.Roster
	versions      *versions.History
	servers       map[string]roster.Server
	peers         map[string]*peer
	confirmations vouching.Confirmations
	storeAway     bool
	// knewAllAt is when the process first knew the other routers, and members the number of changes of those that it knows.
	knewAllAt time.Time
	members   uint64
	calls     map[*call]struct{}
	table     *origin.Table
	asking    map[uint32]*asking
	askNumber uint32
	doubts    map[origin.ID]*call
	journal   *origin.Journal

	nextFull, nextTeams, nextTakeOver time.Duration
}

// isFrozen reports whether the process does not run at present.
func (r *router) isFrozen() bool { return r.w.now < r.frozenUntil }

// relaysUntil returns until when the process has relayed what servers sent.
func (r *router) relaysUntil() time.Duration {
	if r.isFrozen() {
		return r.frozenFrom
	}
	return r.w.now
}

// isInTouch reports whether the router has had no trouble of its own for long enough.
func (r *router) isInTouch() bool { return r.alive && r.w.now-r.troubledAt >= touchTime }

// do lets the router do something that takes processor time, unless it ends before.
func (r *router) do(cost time.Duration, what func()) {
	if !r.alive {
		return
	}
	life := r.life
	r.w.at(r.cpu.run(r.w.now, cost), func() {
		if r.alive && r.life == life {
			what()
		}
	})
}

// begin starts a process of the router, which reads the store.
func (r *router) begin() {
	if r.w.store.away {
		// A router that has never read the store is not ready.
		r.w.after(sweepInterval, r.begin)
		return
	}
	r.life++
	r.alive, r.serves, r.storeAway, r.troubledAt = true, true, false, r.w.now
	r.cpu = processor{quota: r.quota, freeAt: r.w.now}
	cfg := admission.DefaultConfig()
	if r.w.set.Mends.ResumeWait > 0 {
		cfg.ResumeWaitLimit = r.w.set.Mends.ResumeWait
	}
	r.admission, r.roster, r.versions = admission.New(cfg), roster.New(roster.DefaultConfig()), versions.New()
	r.admission.SetService(service, admission.Traits{Engine: true, Objective: shortestObjective})
	r.admission.SetCapacity(r.w.capacity)
	r.servers, r.peers, r.calls = map[string]roster.Server{}, map[string]*peer{}, map[*call]struct{}{}
	r.confirmations = vouching.Confirmations{ConfirmedAt: r.w.now, ResumedAt: r.w.now}
	r.beginOrigins()
	r.apply(r.roster.Replace(r.w.wall(), r.w.store.list()))
	if r.w.store.served != nil {
		r.versions.Stored(r.w.wall(), *r.w.store.served)
	}
	r.beginLife()
	r.versions.Review(r.w.wall())
	r.startTasks()
}

// name returns what identifies the process of the router.
func (r *router) name() versions.Life {
	return versions.Life(uint64(slices.Index(r.w.routers, r)+1)<<32 | uint64(r.life))
}

// beginLife records which processes of routers are accounted for, and that an earlier one of this router may not be.
func (r *router) beginLife() {
	for _, life := range slices.Sorted(maps.Keys(r.w.store.handedOver)) {
		r.versions.Account(r.w.wall(), life)
	}
	if former := r.w.store.registered(r.id); former != 0 {
		r.versions.RouterEnded(r.w.wall(), former)
	}
	r.versions.Account(r.w.wall(), r.name())
	r.knewAllAt, r.members = r.w.wall(), r.w.store.members
}

// says returns what this router says to another one of a stream that it does not know.
func (r *router) says(to *router) versions.Statement {
	s := r.versions.Says(service)
	s.Life, s.Revision, s.Members = r.name(), r.members, r.members
	if to.alive {
		s.Sees = r.w.store.registered(to.id)
	}
	return s
}

// takeOver asks the other routers for what they have proven and this one cannot, as it began too late.
func (r *router) takeOver() {
	if len(r.versions.Unproven()) == 0 {
		return
	}
	knewAllAt := r.knewAllAt
	r.ask(0, true, minAskLimit, func(got *asking) {
		if first, conclusion := got.conclude(r.says(r)); !got.isKnown && conclusion == versions.IsProven {
			r.versions.TakeOver(service, first, knewAllAt)
		}
	})
}

// startTasks starts what the process does again and again.
func (r *router) startTasks() {
	life := r.life
	again := func(interval func() time.Duration, what func()) {
		var next func()
		next = func() {
			if r.alive && r.life == life {
				r.do(smallCost, what)
				r.w.after(interval(), next)
			}
		}
		r.w.after(r.w.between(0, interval()), next)
	}
	fixed := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	again(func() time.Duration {
		return max(digestInterval, time.Duration(len(r.w.routers)-1)*time.Second/digestBudget)
	}, r.gossip)
	again(fixed(sweepInterval), r.sweep)
	again(fixed(lookOrigins), r.tell)
	again(fixed(100*time.Millisecond), r.syncServed)
	again(fixed(r.w.journalChecks()), func() { r.writeOrigins((*origin.Journal).Due) })
	r.register(life)
}

// register writes the entry of the router again and again.
func (r *router) register(life int) {
	if !r.alive || r.life != life {
		return
	}
	if !r.w.store.away {
		r.w.store.register(r.id, r.name())
		r.versions.Registered(r.w.wall())
	}
	r.w.after(registerInterval, func() { r.register(life) })
}

// kill ends the process with all that it knows; its calls break.
func (r *router) kill() {
	if !r.alive {
		return
	}
	r.alive, r.serves, r.troubledAt = false, false, r.w.now
	for _, c := range sortedCalls(r.calls) {
		c.routerEnded()
	}
	for _, p := range r.peers {
		for _, c := range p.conns {
			c.closed = true
		}
	}
}

// apply passes changes of the roster on.
func (r *router) apply(changes []roster.Change) {
	for _, c := range changes {
		if former, known := r.servers[c.Server.ID]; known {
			r.versions.Remove(r.w.wall(), former.Service, former.Version)
		}
		identity := c.Server.Identity()
		if !c.Usable {
			delete(r.servers, c.Server.ID)
			r.admission.Remove(c.Server.ID)
			r.peerOf(identity).forget()
			continue
		}
		r.servers[c.Server.ID] = c.Server
		r.versions.Add(c.Server.Service, c.Server.Version)
		if c.Reason == roster.ReasonJoined {
			r.peerOf(identity).entered()
		}
		r.admission.Add(c.Server.ID, c.Server.Incarnation, c.Server.Service, "", c.Server.Slots)
		r.admission.SetDataCentre(c.Server.ID, c.Server.DataCentre)
		r.admission.SetVersion(c.Server.ID, c.Server.Version)
	}
}

func (r *router) storeLost() {
	if r.w.store.away {
		r.storeAway = true
		r.roster.StoreLost()
	}
}

func (r *router) storeBack() {
	if r.w.store.away {
		return
	}
	r.storeAway = false
	r.roster.StoreBack(r.w.wall())
	r.apply(r.roster.Replace(r.w.wall(), r.w.store.list()))
	// What ended meanwhile is not known.
	r.versions.RouterGone(r.w.wall())
	r.members = r.w.store.members
	r.versions.Review(r.w.wall())
}

// sweep does what is due several times a second.
func (r *router) sweep() {
	now := r.w.wall()
	r.admission.SetRouters(len(r.fleetIDs()))
	r.admission.Tick(now)
	r.apply(r.roster.Tick(now))
	r.versions.Tick(now)
	r.versions.Review(now)
	if !r.w.store.away {
		r.confirmations = vouches.Confirm(r.confirmations, r.w.now-storeLagMin)
		// What the store passed on until then has arrived.
		r.versions.Confirm(now.Add(-storeLagMax))
	}
	if r.versions.IsMixed(now, service) {
		for _, id := range slices.Sorted(maps.Keys(r.servers)) {
			identity := r.servers[id].Identity()
			if process := r.w.processes[identity]; process != nil {
				r.peerOf(identity).keepVouched(process)
			}
		}
	}
	r.settleDoubts()
	if r.w.now >= r.nextTakeOver {
		r.nextTakeOver = r.w.now + takeOverInterval
		r.takeOver()
	}
}

// syncServed writes which versions serve, if it is this router's turn.
func (r *router) syncServed() {
	if r.w.store.away {
		return
	}
	ids := append(r.fleetIDs(), r.id)
	slices.Sort(ids)
	turn := slices.Index(ids, r.id)
	for _, one := range r.versions.ToStore(r.w.wall(), func(string) int { return turn }) {
		r.versions.Stored(r.w.wall(), one)
		r.w.store.served = &one
		r.w.store.pass(func(other *router) { other.versions.Stored(other.w.wall(), one) })
	}
}

// fleetIDs returns the other routers that are registered, sorted.
func (r *router) fleetIDs() []string {
	out := make([]string, 0, len(r.w.routers))
	for _, id := range slices.Sorted(maps.Keys(r.w.store.routers)) {
		if id != r.id {
			out = append(out, id)
		}
	}
	return out
}

// gossip sends a digest to all others.
func (r *router) gossip() {
	all, teams := r.w.now >= r.nextFull, r.w.now >= r.nextTeams
	if all {
		r.nextFull = r.w.now + fullDigestInterval
	}
	if teams {
		r.nextTeams = r.w.now + teamsInterval
	}
	d := r.admission.Digest(r.w.wall(), all, teams)
	for _, id := range r.fleetIDs() {
		r.send(id, func(other *router) { other.admission.ReceiveDigest(other.w.wall(), r.id, d) })
	}
}

// send sends a datagram to another router, which may be lost.
func (r *router) send(id string, receive func(other *router)) {
	n, _ := strconv.Atoi(id[2:])
	other := r.w.routers[n]
	if r.w.rand.Float64() < r.w.loss {
		return
	}
	delay := r.w.between(hop, 2*hop)
	r.w.after(delay, func() { other.do(smallCost, func() { receive(other) }) })
}
