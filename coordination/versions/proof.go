package versions

import (
	"time"

	"goldcrestport/coordination/roster"
)

// Statement is what one router says of a stream that it does not know.
type Statement struct {
	// Proven is the version at which a stream of the service began that no router knows, by what this one has seen
	// since before any began at another version; empty if it cannot say.
	Proven roster.Version
	// IsSound means that it knows each stream that began at it or was handed over to it, and tells the processes of
	// routers apart. Routers of builds that do not tell them apart never say so.
	IsSound bool
	// Life is the process that says it, and Sees the one that it sees registered for the router that asked. Registered is
	// the one that the router which asked sees registered for the one that says it.
	Life, Sees, Registered Life
	// Revision is that up to which it knows the store, and Members that of the last change of the registered routers.
	Revision, Members uint64
}

// Conclusion is what the statements of routers say together.
type Conclusion int

// Conclusions.
const (
	// Unproven means that the stream may have begun at several versions.
	Unproven Conclusion = iota
	// OutOfStep means that the routers do not know the same others yet.
	OutOfStep
	// IsProven means that it began at the version.
	IsProven
)

// Conclude returns the version at which a stream began that neither this router nor any other one knows, by what all of
// them say. One of them must have seen, since before any stream began at another version, that no process of a router
// ended without handing over what it knew. It must have seen what this router has seen of the others, and this one, so
// that none was lost that is asked no more or that this one replaced; and this router must have seen what the others have, so that none is left out that lives
// and no process answers for an earlier one.
func Conclude(own Statement, others []Statement) (roster.Version, Conclusion) {
	if !own.IsSound {
		return "", Unproven
	}
	proven, isInStep := own.Proven, own.Proven != ""
	for _, one := range others {
		if !one.IsSound && one.Proven == "" || one.Proven != "" && proven != "" && one.Proven != proven {
			return "", Unproven
		}
		if !one.IsSound || one.Proven == "" {
			continue
		}
		proven = one.Proven
		isInStep = isInStep || one.Revision >= own.Members && one.Sees == own.Life
	}
	for _, one := range others {
		isInStep = isInStep && own.Revision >= one.Members && one.Life == one.Registered
	}
	switch {
	case proven == "":
		return "", Unproven
	case !isInStep:
		return "", OutOfStep
	default:
		return proven, IsProven
	}
}

// Says returns what this router says of a stream of the service that it does not know, as far as the history goes.
func (h *History) Says(name string) Statement {
	v, _ := h.Proven(name)
	return Statement{Proven: v, IsSound: true}
}

// Proven returns the version at which a stream of the service began that no running router knows: the
// first one, as no process of a router was lost since it was certain that none had begun a stream at another.
func (h *History) Proven(name string) (roster.Version, bool) {
	s := h.services[name]
	if s == nil || s.intro == nil || s.intro.aloneAt.IsZero() {
		return "", false
	}
	if last := h.lives.lastLoss(); !last.IsZero() && !last.Before(s.intro.aloneAt) {
		return "", false
	}
	return s.intro.only, true
}

// Unproven returns the services of which this router cannot prove the first version since it began too late, while
// another one may: it has seen no loss.
func (h *History) Unproven() []string {
	if !h.lives.lastLoss().IsZero() {
		return nil
	}
	var out []string
	for name, s := range h.services {
		if s.intro != nil && s.intro.isOver && s.intro.aloneAt.IsZero() {
			out = append(out, name)
		}
	}
	return out
}

// TakeOver records what the other routers have proven of a service: its first version, as of the time at which this
// router knew all others that ran. From then on this one sees itself which of them end.
func (h *History) TakeOver(name string, first roster.Version, knewAllAt time.Time) {
	s := h.services[name]
	if s == nil || s.intro == nil || !s.intro.isOver || !s.intro.aloneAt.IsZero() || s.intro.only != "" && s.intro.only != first {
		return
	}
	s.intro.only, s.intro.isProven, s.intro.aloneAt = first, true, knewAllAt
}

// First returns the version at which streams of the service began before any other one, if that is known.
func (h *History) First(name string) (roster.Version, bool) {
	s := h.services[name]
	switch {
	case s == nil:
		return "", false
	case s.intro == nil:
		return s.sole, s.sole != ""
	default:
		return s.intro.only, s.intro.isProven
	}
}
