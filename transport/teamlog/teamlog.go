// Package teamlog reports what each team requested from a router and received: as metrics, and
// as one log line per second for each team with activity.
//
// It is used by direct routers.
package teamlog

import (
	"context"
	"expvar"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcrestport/state/teamuse"
	"goldcrestport/transport/observe"
)

// Bounds of a Recorder.
const (
	// maxTeams is the number of teams that are counted by name.
	maxTeams = 512
	// maxCallers is the number of callers' addresses whose team is remembered.
	maxCallers = 8192
	// maxLines bounds the lines per second; the teams that requested least are left out, and
	// the lines report how many (left_out).
	maxLines = 40
	// interval is the time between two lines of a team; lines are written at whole seconds of
	// the clock.
	interval = time.Second
)

// Standing is the usage of a team relative to its share, as far as the router knows it.
type Standing struct {
	// Share and Served are the team's standings: see admission.Decision.
	Share, Served float64
	// Level is the team's max-min fair share of the configured capacity in its window, in
	// tokens; 0 while the total demand fits.
	Level float64
	// Bound is the rate up to which a team may send, over all routers, in tokens per second;
	// 0 if no team is throttled.
	Bound float64
	// PeersAge is the age of the oldest message of another router that the standing is based
	// on.
	PeersAge time.Duration
}

// Recorder counts the usage of teams at one router. It is safe for concurrent use.
type Recorder struct {
	dataCentre string
	event      func(name string, keyvals ...any)
	// standing returns the current standing of a team.
	standing func(team string) Standing
	totals   totals

	mu      sync.Mutex
	table   *teamuse.Table
	callers *teamuse.Callers[netip.Addr]
}

// totals are the metrics: sums since the start of the process, by team.
type totals struct {
	asked, started, delivered, refused, unread *expvar.Map
}

// New returns the recorder of a router in the data centre. It writes its log lines with event
// and registers its metrics in vars.
func New(dataCentre string, vars *observe.Vars, event func(name string, keyvals ...any), standing func(team string) Standing) *Recorder {
	return &Recorder{
		dataCentre: dataCentre, table: teamuse.NewTable(maxTeams), callers: teamuse.NewCallers[netip.Addr](maxCallers), event: event, standing: standing,
		totals: totals{
			asked: vars.Map("direct_team_asked_tokens"), started: vars.Map("direct_team_begun_tokens"), delivered: vars.Map("direct_team_delivered_tokens"),
			refused: vars.Map("direct_team_refused"), unread: vars.Map("direct_team_unread"),
		},
	}
}

// Seen records the team of a caller's address.
func (r *Recorder) Seen(from netip.Addr, team string) {
	if !from.IsValid() || team == teamuse.Unknown {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callers.Seen(from, team)
}

// TeamOf returns the team of a caller's address, or teamuse.Unknown.
func (r *Recorder) TeamOf(from netip.Addr) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callers.Team(from)
}

// Count applies a change to the counts of the current interval.
func (r *Recorder) Count(change func(*teamuse.Table)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.table)
}

// takeRows returns the counts since the last call.
func (r *Recorder) takeRows() []teamuse.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Take()
}

// Run writes the log lines until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(untilNext(time.Now())):
			now := time.Now()
			r.write(now.Sub(last))
			last = now
		}
	}
}

// untilNext returns the time until the clock's next whole second.
func untilNext(now time.Time) time.Duration { return now.Truncate(interval).Add(interval).Sub(now) }

// write logs the counts of the span since the last call, and adds them to the metrics. The span
// is a second, or more if the router lags.
func (r *Recorder) write(span time.Duration) {
	rows := r.takeRows()
	for i, row := range rows {
		r.totals.add(row)
		if i >= maxLines {
			continue
		}
		s := r.standing(row.Team)
		r.event("team_use", "data_centre", r.dataCentre, "team", row.Team, "span_ms", span.Milliseconds(), "requests", row.Requests, "asked", wholeTokens(row.Asked), "largest", wholeTokens(row.Largest), "begun", wholeTokens(row.Begun), "late", row.Late, "delivered", wholeTokens(row.Delivered),
			"refused", formatReasons(row.Refused), "unread", row.Unread, "streams", row.Streams,
			"standing", twoDecimals(s.Share), "served", twoDecimals(s.Served), "level", wholeTokens(s.Level), "bound", wholeTokens(s.Bound), "peers_age_ms", s.PeersAge.Milliseconds(),
			"left_out", max(len(rows)-maxLines, 0))
	}
}

func (t totals) add(row teamuse.Row) {
	t.asked.Add(row.Team, wholeTokens(row.Asked))
	t.started.Add(row.Team, wholeTokens(row.Begun))
	t.delivered.Add(row.Team, wholeTokens(row.Delivered))
	t.unread.Add(row.Team, int64(row.Unread))
	for _, n := range row.Refused {
		t.refused.Add(row.Team, int64(n))
	}
}

func wholeTokens(tokens float64) int64 { return int64(tokens) }

// twoDecimals formats a standing with two decimals.
func twoDecimals(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// formatReasons formats counts as comma-separated reason:count pairs, sorted by reason.
func formatReasons(counts map[string]int) string {
	pairs := make([]string, 0, len(counts))
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		pairs = append(pairs, reason+":"+strconv.Itoa(counts[reason]))
	}
	return strings.Join(pairs, ",")
}
