package roster

// Change tells that a server may get work from now on, or no more.
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
	// ReasonRestarted: a later incarnation has the id.
	ReasonRestarted = "restarted"
	// ReasonInvalid: what stands under the id now cannot be an entry of it.
	ReasonInvalid = "invalid_entry"
	// ReasonEvacuated and ReasonReturned: the operators evacuated its data
	// centre, or took that back.
	ReasonEvacuated = "evacuated"
	ReasonReturned  = "returned"
	// ReasonAnnounced: it said in an answer to this router that it leaves;
	// ReasonTold: another router heard that, and ReasonUnconfirmed: nothing else
	// came of such a word.
	ReasonAnnounced   = "announced"
	ReasonTold        = "told"
	ReasonUnconfirmed = "unconfirmed"
)
