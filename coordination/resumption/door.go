// Package resumption says why streams that callers resume do not go on, and counts per route and second
// how many of them go on beside how many new streams begin.
//
// A resumed stream has fewer places than a new one: it may only go on at the version that began it.
// Whether it has a smaller chance than a new stream is seen only where both are counted alike.
//
// The package performs no I/O and reads no clock. Direct routers use it.
package resumption

import (
	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/continuation"
)

// Door is why a resumed stream did not go on, or that it did.
type Door string

// Doors.
const (
	// None: nothing is decided yet.
	None Door = ""
	// Sent: it was sent to a server.
	Sent Door = "sent"
	// WentOn: an event was relayed.
	WentOn Door = "went-on"
	// Unknown: no router that may know where it began knows it.
	Unknown Door = "unknown"
	// Unanswered: a router that may know did not answer in time.
	Unanswered Door = "unanswered"
	// Doubted: the process that began it may have been of another version than its entry said.
	Doubted Door = "doubted"
	// Conflicting: routers know different versions that began it.
	Conflicting Door = "conflicting"
	// VersionGone: no server of its version may get requests.
	VersionGone Door = "version-gone"
	// ServiceGone: its route does not lead to its service any more.
	ServiceGone Door = "service-gone"
	// OldView: the router cannot show that there is one version only.
	OldView Door = "old-view"
	// Leaving: the router shuts down.
	Leaving Door = "router-leaving"
	// Stale: the router's configuration or its information about servers is too old.
	Stale Door = "router-stale"
	// Blind: the router has too much work to keep its information about servers.
	Blind Door = "router-blind"
	// Streams: the router relays as many streams as it can.
	Streams Door = "too-many-streams"
	// Throttled: the team's rate at this router is used up.
	Throttled Door = "throttled"
	// WaitLimit: the estimated wait is above its limit.
	WaitLimit Door = "wait-limit"
	// Cold: the rates of cold servers are used up.
	Cold Door = "cold"
	// Backoff: the servers requested a back-off.
	Backoff Door = "backoff"
	// Untrusted: no connection to a server of its version leads to a process that is known well enough.
	Untrusted Door = "no-trusted-connection"
	// Ejected: the servers of its version are ejected.
	Ejected Door = "ejected"
	// Avoided: the request failed at all servers of its version that are left.
	Avoided Door = "avoided"
	// NoServer: no server of its version is known in the allowed regions.
	NoServer Door = "no-server"
	// Refused: servers refused it, or could not be reached.
	Refused Door = "refused-by-servers"
	// Quarantined: servers crashed under the request, or may have.
	Quarantined Door = "quarantined"
	// Deadline: its time limit passed.
	Deadline Door = "deadline"
	// BrokeOff: a server began to serve it, and no event of it was relayed.
	BrokeOff Door = "broke-off"
	// CallerLeft: its caller disconnected before.
	CallerLeft Door = "caller-left"
	// Rejected: the request itself may not be served, such as for its key or its size.
	Rejected Door = "rejected"
)

// OfReason returns the door of a stream that may go on nowhere. Conflicting means that routers know
// different origins of it.
func OfReason(reason continuation.Reason, isConflicting bool) Door {
	switch reason {
	case continuation.ReasonNone:
		return None
	case continuation.ReasonUncertain:
		if isConflicting {
			return Conflicting
		}
		return Doubted
	default:
		// The other reasons are doors of the same name.
		return Door(reason)
	}
}

// OfPlacement returns the door of a stream whose request was placed.
func OfPlacement(d admission.Decision) Door {
	switch {
	case d.Verdict == admission.Send:
		return Sent
	case d.Verdict == admission.NoServer:
		return withoutServer(d.Fitness)
	case d.Cold:
		return Cold
	case d.Reason == admission.ReasonBackoff:
		return Backoff
	case d.Wait > d.Limit:
		return WaitLimit
	case d.Throttled:
		return Throttled
	default:
		return WaitLimit
	}
}

// withoutServer returns the door where no server may get the request. It is that of the servers that
// came closest to getting it.
func withoutServer(f admission.Fitness) Door {
	switch {
	case f.Untrusted > 0:
		return Untrusted
	case f.Avoided > 0:
		return Avoided
	case f.Ejected > 0:
		return Ejected
	default:
		return NoServer
	}
}
