package roster

// Change reports that a server may get requests from now on, or no more.
type Change struct {
	Server Server
	Usable bool
	// Reason for the log, such as "draining".
	Reason string
}

// Reasons of changes.
const (
	ReasonJoined   = "joined"
	ReasonDraining = "draining"
	ReasonRemoved  = "removed"
	ReasonLapsed   = "lapsed"
	// ReasonRestarted: the id belongs to a later incarnation.
	ReasonRestarted = "restarted"
	// ReasonVersion: the software version of a usable server became known.
	ReasonVersion = "version"
	// ReasonInvalid: the entry under the id is not valid.
	ReasonInvalid = "invalid_entry"
	// ReasonEvacuated and ReasonReturned: the operators evacuated the server's data centre,
	// or revoked that.
	ReasonEvacuated = "evacuated"
	ReasonReturned  = "returned"
	// ReasonAnnounced: the server announced its shutdown in an answer to this router;
	// ReasonReported: another router reported such an announcement; ReasonUnconfirmed:
	// nothing confirmed that report in time.
	ReasonAnnounced   = "announced"
	ReasonReported    = "told"
	ReasonUnconfirmed = "unconfirmed"
)
