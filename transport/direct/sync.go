package direct

import (
	"context"
	"maps"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/warmup"
	"goldcrestport/state/routing"
)

// confirm adopts a newer configuration and records when it was confirmed as current.
func (r *Router) confirm(c *routing.Config, sent time.Duration, v confirmation) {
	r.adoptIfPresent(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConfirmation, r.confirmedAt = v, bootTime()
	if r.table.Load() != nil {
		r.confirmFresh(sent)
	}
	r.confirmPending()
	select {
	case r.storeConfirmed <- struct{}{}:
	default:
	}
}

// confirmFresh records that what this router knows of the store was current at the given reading of
// bootTime. The caller holds mu.
func (r *Router) confirmFresh(at time.Duration) {
	r.fresh.Confirm(at)
	r.versions.Confirm(wallTime(at))
	r.pool.Confirmed(wallTime(at))
}

// adopt applies a configuration unless a newer one is in force.
func (r *Router) adopt(c *routing.Config) {
	old := r.table.Load()
	if old != nil && old.Version() >= c.Version {
		return
	}
	r.table.Store(routing.NewTable(c))
	r.leaving.keep(c.Routes)
	r.mu.Lock()
	r.admission.SetCapacity(c.Limits.TokensPerSecond)
	for _, s := range c.Services {
		r.admission.SetService(s.Name, serviceTraits(c, s))
		r.warmup.SetService(s.Name, warmup.Service{Rate: s.ColdRate, ColdFor: s.ColdFor})
	}
	r.mu.Unlock()
	r.event("configuration", "version", c.Version, "routes", len(c.Routes), "teams", len(c.Teams),
		"tokens_per_second", c.Limits.TokensPerSecond)
}

// serviceTraits returns the properties of a service that the admission uses.
func serviceTraits(c *routing.Config, s routing.Service) admission.Traits {
	return admission.Traits{
		Engine: s.Engine.Slots > 0, FetchRate: s.Engine.FetchRate(), Memory: s.Engine.Memory,
		Objective: c.ShortestObjective(s.Name), LongestObjective: c.LongestObjective(s.Name),
	}
}

// replace applies a whole snapshot, unless other routers sent later changes after its reading
// started.
func (r *Router) replace(s mirror.Snapshot) {
	r.origins.stored(s.Origins)
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Revision < r.mirror.Revision() {
		return
	}
	before := r.mirror.Evacuated()
	r.recordColdServers(s.Servers)
	r.mirror.Replace(s)
	r.evacuate(before)
	r.apply(r.roster.Replace(time.Now(), s.Servers))
	r.handleInvalid(s.Invalid)
	if s.Config != nil {
		r.noteReadableConfig()
	}
	r.noteHandedOver(s.HandedOver)
	r.notePeersReplaced(s)
	r.peers = s.Routers
	r.countRouters()
	r.applyStored(s.Refused, false)
	r.applyStoredParts(s.RefusedParts, false)
	r.applyServed(s.Served)
	r.versions.Review(time.Now())
}

// update applies changes. They are complete up to their revision, so they include what other
// routers sent meanwhile; older ones are ignored.
func (r *Router) update(d mirror.Delta) {
	r.origins.stored(d.Origins)
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Revision <= r.mirror.Revision() {
		return
	}
	before := r.mirror.Evacuated()
	r.recordColdServers(d.Servers)
	r.mirror.Update(d)
	r.evacuate(before)
	for _, one := range d.Servers {
		r.apply(r.roster.Put(one))
	}
	for _, id := range d.Removed {
		r.apply(r.roster.Remove(time.Now(), id))
	}
	r.handleInvalid(d.Invalid)
	if d.Config != nil {
		r.noteReadableConfig()
	}
	r.noteHandedOver(d.HandedOver)
	r.notePeersChanged(d)
	for id, one := range d.Joined {
		r.peers[id] = one
	}
	for _, id := range d.Left {
		delete(r.peers, id)
	}
	r.countRouters()
	r.applyStored(d.Refused, true)
	r.applyStoredParts(d.RefusedParts, true)
	r.applyReleasedParts(d.ReleasedParts)
	r.applyServed(d.Served)
	r.versions.Review(time.Now())
	if d.Fleet != nil {
		r.fleetSize.Stored(time.Now(), *d.Fleet)
	}
}

// evacuate applies the operators' evacuations of data centres; before are those that were in
// force until now. Runs at the servers continue. The caller holds mu.
func (r *Router) evacuate(before map[string]bool) {
	now := r.mirror.Evacuated()
	if maps.Equal(before, now) {
		return
	}
	for dataCentre := range now {
		if !before[dataCentre] {
			r.event("evacuation", "data_centre", dataCentre, "in_force", true, "revision", r.mirror.Revision())
		}
	}
	for dataCentre := range before {
		if !now[dataCentre] {
			r.event("evacuation", "data_centre", dataCentre, "in_force", false, "revision", r.mirror.Revision())
		}
	}
	r.apply(r.roster.Evacuate(now))
}

func (r *Router) countRouters() {
	r.peersChanged = true
	r.origins.fleetChanged.Store(true)
	all := r.routers()
	n := len(all)
	r.warmup.SetRouters(r.registered())
	r.quarantine.SetRouters(all)
	r.parts.SetRouters(all)
	r.admission.SetRouters(n)
	r.fleetSize.Registered(time.Now(), n)
}

// apply passes changes of the roster to the admission, the connection pool and the quarantine,
// and logs them with keyvals. The caller holds mu.
func (r *Router) apply(changes []roster.Change, keyvals ...any) {
	for _, c := range changes {
		if former, known := r.servers[c.Server.ID]; known {
			r.versions.Remove(time.Now(), former.Service, former.Version)
		}
		if c.Usable {
			r.servers[c.Server.ID] = c.Server
			r.versions.Add(c.Server.Service, c.Server.Version)
			r.pool.Returned(c.Server.Identity())
			if c.Reason == roster.ReasonJoined {
				r.pool.Entered(c.Server.Identity())
				wake(r.serversJoined)
			}
			if c.Reason == roster.ReasonReturned {
				r.warmup.Presume(time.Now(), c.Server.Identity(), c.Server.Service, r.mirror.Revision())
			}
			r.admission.Add(c.Server.ID, c.Server.Incarnation, c.Server.Service, r.set.Regions[c.Server.DataCentre], c.Server.Slots)
			r.admission.SetDataCentre(c.Server.ID, c.Server.DataCentre)
			r.admission.SetVersion(c.Server.ID, c.Server.Version)
		} else {
			delete(r.servers, c.Server.ID)
			r.serverGone(c)
			r.admission.Remove(c.Server.ID)
			r.pool.Left(c.Server.Identity())
			go r.pool.Forget(c.Server.Identity())
		}
		r.event("backend_server", append([]any{"server", c.Server.ID, "incarnation", c.Server.Incarnation, "service", c.Server.Service, "software", c.Server.Version, "address", c.Server.Address, "data_centre", c.Server.DataCentre, "cold_ms", c.Server.ColdFor.Milliseconds(), "usable", c.Usable, "reason", c.Reason}, keyvals...)...)
	}
}

// sweep closes idle connections and removes lapsed servers periodically.
func (r *Router) sweep(ctx context.Context) {
	runEvery(ctx, sweepInterval, func(now time.Time) {
		r.pool.Sweep(now)
		r.keepVouched(ctx, now)
		r.doubts.review()
		r.sweepCallers(now)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.apply(r.roster.Tick(now))
		r.admission.Tick(now)
		r.warmup.Tick(now)
		r.versions.Tick(now)
		r.versions.Review(now)
		r.quarantine.Tick(now)
		r.parts.Tick(now)
		r.handleQuarantineEvents()
	})
}

// runEvery calls duty once per period until ctx ends.
func runEvery(ctx context.Context, period time.Duration, duty func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			duty(now)
		}
	}
}
