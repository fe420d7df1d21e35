package versions

import (
	"slices"
	"time"

	"goldcrestport/coordination/roster"
)

// DefaultViewBound is for how long a router may act on what it knows of a service's versions without
// confirming that it is still so: the longest that direct routers are configured with by default.
const DefaultViewBound = 2 * time.Second

// Unsettled stands in a record in place of the only version at which streams have begun, if the router that wrote
// it does not know which one that is.
const Unsettled roster.Version = "*"

// introduction is the time from which a service has a second version until the version is gone or streams may
// begin at it.
//
// Streams begin at the first version alone until a record in the store says otherwise. The record is written
// once every router has either learned of the second version or has a view that is too old to act on. So a
// router that knows of one version only may take it for that of any stream, and one that knows of no record
// knows that no stream has begun at another version.
type introduction struct {
	// only is the version at which streams begin for now, and began so far.
	only roster.Version
	// seenAt is since when this router knows of a second version.
	seenAt time.Time
	// isOver means that streams may begin at each version.
	isOver bool
	// isHeld means that streams begin at the first version alone at this router, though they may begin at each, as
	// others may not know yet that it runs.
	isHeld bool
	// isProven means that only is known to be the first version, not assumed. aloneAt is the last time at which
	// it was certain that no router had begun a stream at another one, zero for none.
	isProven bool
	aloneAt  time.Time
}

// SetViewBound sets for how long a router of this fleet acts on a view that is not confirmed.
func (h *History) SetViewBound(d time.Duration) { h.viewBound = d }

// Confirm records that all that this router knows of the store was current at the given time.
func (h *History) Confirm(at time.Time) {
	h.currentAt = at
	for _, s := range h.services {
		if s.intro != nil && !s.intro.isOver && s.intro.isProven {
			s.intro.aloneAt = at
		}
	}
}

// Review looks for services that have got a second version or are left with one. It is called after each
// change of servers and records that was read at once.
func (h *History) Review(now time.Time) {
	if h.beganAt.IsZero() {
		h.beganAt = now
	}
	for name, s := range h.services {
		recent := h.Recent(now, name)
		switch {
		case len(recent) < 2:
			s.settle(recent)
		case s.intro == nil:
			s.introduce(now, h.currentAt)
		}
		if s.intro != nil && !s.serves(s.intro.only) {
			// Nothing else could serve.
			s.intro.isOver = true
		}
		if s.intro != nil && s.intro.isHeld {
			s.intro.isHeld = s.serves(s.intro.only) && !h.isKnownToAll(now)
		}
	}
}

// Registered records that others can learn from the store that this router runs.
func (h *History) Registered(now time.Time) {
	if h.registeredAt.IsZero() {
		h.registeredAt = now
	}
}

// isKnownToAll reports whether no router acts on a view without this one any more, or it would be held for too long
// as it cannot register.
func (h *History) isKnownToAll(now time.Time) bool {
	if h.registeredAt.IsZero() {
		return now.Sub(h.beganAt) >= 2*h.viewBound
	}
	return now.Sub(h.registeredAt) >= h.viewBound
}

// stated returns the first version as the record in the store names it.
func (i *introduction) stated() roster.Version {
	if !i.isProven {
		return Unsettled
	}
	return i.only
}

// settle records that the service has one version at most.
func (s *service) settle(recent []roster.Version) {
	s.intro, s.sole = nil, ""
	if len(recent) == 1 {
		s.sole = recent[0]
	}
}

// introduce begins the introduction of a further version.
func (s *service) introduce(now, currentAt time.Time) {
	one := &introduction{seenAt: now}
	s.intro = one
	switch {
	case s.sole != "":
		// A record of an earlier time says nothing about this one.
		one.only, one.isProven, one.aloneAt = s.sole, true, currentAt
		s.stored, s.storedOnly, s.storedFirst = nil, "", ""
	case len(s.stored) == 1:
		one.only, one.isProven = s.stored[0], true
	case s.storedOnly != "" && s.storedOnly != Unsettled:
		one.only, one.isProven = s.storedOnly, true
	case s.storedOnly == "" && len(s.stored) > 1:
		one.isOver = true
		one.only, one.isHeld = s.storedFirst, s.storedFirst != ""
	default:
		// This router begins as the further version does, and which one that is is not known here.
		one.only = s.mostServers()
	}
}

// mostServers returns the version with the most servers, the first by name of several.
func (s *service) mostServers() roster.Version {
	var most roster.Version
	count := 0
	for v, one := range s.uses {
		if one.servers > count || one.servers == count && v < most {
			most, count = v, one.servers
		}
	}
	return most
}

// serves reports whether the version has a server.
func (s *service) serves(v roster.Version) bool { return s.uses[v] != nil && s.uses[v].servers > 0 }

// Introducing returns the only version at which streams of the service may begin, while another one is
// new to the fleet.
func (h *History) Introducing(name string) (roster.Version, bool) {
	s := h.services[name]
	if s == nil || s.intro == nil || s.intro.isOver && !s.intro.isHeld {
		return "", false
	}
	return s.intro.only, true
}

// record returns the record that the store should have of the service, and whether there should be one.
func (s *service) record(name string, serving []roster.Version, now time.Time, viewBound time.Duration) (Served, bool) {
	r := Served{Service: name, Versions: serving}
	switch {
	case s.intro == nil:
		// A version that is not known is none that others could be taken for.
		return r, len(serving) > 1 || len(serving) == 1 && serving[0] == s.sole && s.sole != ""
	case s.intro.isOver && s.storedOnly != "" && len(serving) < 2:
		// Routers that begin anew must not take the record for the present state.
		r.Versions = slices.Clone(s.stored)
	case !s.intro.isOver && now.Sub(s.intro.seenAt) < viewBound:
		r.Only = s.intro.stated()
	}
	if s.intro != nil && r.Only == "" {
		r.First = s.first()
	}
	return r, len(r.Versions) > 1
}

// first returns the first version that the record names: the one that this router has proven, or that which the record
// named so far.
func (s *service) first() roster.Version {
	if s.intro.isProven {
		return s.intro.only
	}
	return s.storedFirst
}

// has reports whether the store has the record. That of a single version is written once and lasts.
func (s *service) has(r Served, now time.Time) bool {
	if r.IsSole() {
		return slices.Equal(s.stored, r.Versions)
	}
	return s.covers(r.Versions) && s.storedOnly == r.Only && s.storedFirst == r.First && now.Sub(s.storedAt) < storeEvery
}

// isUrgent reports whether this router writes the record whoever's turn it is: it alone may know that streams
// begin at a further version.
func (s *service) isUrgent() bool { return s.intro != nil && s.intro.isOver && s.storedOnly != "" }
