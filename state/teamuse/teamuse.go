// Package teamuse counts per team the requests that one router received and served, and
// records which team's callers connect from which address.
//
// It is for diagnosing a team that is served far less than others: the counts show
// whether its requests were refused because of its share or for lack of streams, or were
// never read because its connections were closed unread.
//
// All tables are bounded and not safe for concurrent use. Direct routers use the package
// through transport/teamlog.
package teamuse

import (
	"cmp"
	"maps"
	"slices"
)

// Use contains the counts of one team since the start of the interval.
type Use struct {
	// Requests is the number of attempts whose header was read, and Asked their tokens.
	Requests int
	Asked    float64
	// Largest is the largest of those requests, in tokens.
	Largest float64
	// Begun is the tokens of the requests to which a backend server started to respond,
	// and Delivered those of the requests whose response was complete.
	Begun, Delivered float64
	// Late counts the requests whose response started after their objective.
	Late int
	// Refused counts the refusals by their reason.
	Refused map[string]int
	// Unread counts the connections that were closed before anything was read from them.
	Unread int
	// Streams is the number of the team's open streams.
	Streams int
}

// isEmpty reports whether nothing was counted in the interval.
func (u *Use) isEmpty() bool {
	return u.Requests == 0 && u.Begun == 0 && u.Delivered == 0 && u.Unread == 0 && len(u.Refused) == 0
}

// Row contains the counts of the named team.
type Row struct {
	Team string
	Use
}

// Unknown is the team of callers from whom nothing has been read yet.
const Unknown = ""

// Others is the name under which teams beyond the limit are aggregated.
const Others = "(others)"

// Table contains the counts of the current interval.
type Table struct {
	capacity int
	teams    map[string]*Use
}

// NewTable returns a table of at most the given number of teams; further teams are
// counted as Others.
func NewTable(capacity int) *Table { return &Table{capacity: capacity, teams: make(map[string]*Use)} }

// counts returns the counts of the team, or those of Others if the table is full.
func (t *Table) counts(team string) *Use {
	u := t.teams[team]
	if u == nil && len(t.teams) >= t.capacity {
		team = Others
		u = t.teams[team]
	}
	if u == nil {
		u = &Use{}
		t.teams[team] = u
	}
	return u
}

// Asked counts a request whose header was read.
func (t *Table) Asked(team string, tokens float64) {
	u := t.counts(team)
	u.Requests++
	u.Asked += tokens
	u.Largest = max(u.Largest, tokens)
}

// Begun counts a request to which a backend server started to respond; isLate marks a
// start after the request's objective.
func (t *Table) Begun(team string, tokens float64, isLate bool) {
	u := t.counts(team)
	u.Begun += tokens
	if isLate {
		u.Late++
	}
}

// Delivered counts a request whose response was complete.
func (t *Table) Delivered(team string, tokens float64) {
	t.counts(team).Delivered += tokens
}

// Refused counts a refusal.
func (t *Table) Refused(team, reason string) {
	u := t.counts(team)
	if u.Refused == nil {
		u.Refused = make(map[string]int)
	}
	u.Refused[reason]++
}

// Unread counts a connection that was closed unread.
func (t *Table) Unread(team string) {
	t.counts(team).Unread++
}

// Stream adjusts the number of the team's open streams: 1 when a stream opens, -1 when it
// closes.
func (t *Table) Stream(team string, by int) {
	t.counts(team).Streams += by
}

// Take returns the teams with activity since the last call, in descending order of
// requested tokens, and resets the counts except those of open streams.
func (t *Table) Take() []Row {
	var rows []Row
	for _, team := range slices.Sorted(maps.Keys(t.teams)) {
		u := t.teams[team]
		if !u.isEmpty() {
			rows = append(rows, Row{team, *u})
		}
		if u.Streams == 0 {
			delete(t.teams, team)
		} else {
			*u = Use{Streams: u.Streams}
		}
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.Asked, a.Asked) })
	return rows
}
