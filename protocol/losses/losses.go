// Package losses counts the requests that were refused, failed, truncated or late
// by routers' log lines, grouped by the inputs of the routers' decisions.
//
// goldcrestctl losses uses it. Logs may be of any length: memory use is
// bounded by the number of groups and seconds, not by that of lines.
package losses

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is the outcome of a request as its caller sees it.
type Outcome string

// Outcomes.
const (
	Served   Outcome = "served"
	Late     Outcome = "late"
	Refused  Outcome = "refused"
	Rejected Outcome = "rejected" // no route, or no valid key
	Failed   Outcome = "failed"
	Cut      Outcome = "cut"
	Left     Outcome = "left" // the caller disconnected
)

// Dimension is a property by which requests are grouped.
type Dimension string

// Dimensions.
const (
	ByOutcome  Dimension = "outcome"
	ByReason   Dimension = "reason"
	ByRoute    Dimension = "route"
	ByTeam     Dimension = "team"
	ByStanding Dimension = "standing"
	BySize     Dimension = "size"
	ByServer   Dimension = "server"
	ByRouter   Dimension = "router"
	BySecond   Dimension = "second"
)

// Dimensions lists all dimensions in the order of the columns.
var Dimensions = []Dimension{ByOutcome, ByReason, ByRoute, ByTeam, ByStanding, BySize, ByServer, ByRouter, BySecond}

// ParseDimensions parses a list such as "outcome,reason".
func ParseDimensions(text string) ([]Dimension, error) {
	var out []Dimension
	for _, name := range strings.Split(text, ",") {
		d := Dimension(strings.TrimSpace(name))
		if !slices.Contains(Dimensions, d) {
			return nil, errors.Newf("unknown dimension %q; known are %v", name, Dimensions)
		}
		out = append(out, d)
	}
	return out, nil
}

// Bounds of a tally. A day of one fleet has some hundred groups.
const (
	maxGroups  = 20_000
	maxSeconds = 200_000
)

// Group summarises the requests that have the same values in the dimensions.
type Group struct {
	// Values are the values of the tally's dimensions, in the same order.
	Values []string `json:"values"`
	Count  int      `json:"count"`
	// First and Last are the times of the first and the last line.
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
	// Means of the decision's inputs: the estimated wait and its limit in
	// milliseconds, the request's own unread prompt tokens, and the tokens and
	// generations that the server had before it.
	WaitMs      float64 `json:"wait_ms"`
	LimitMs     float64 `json:"limit_ms"`
	Unread      float64 `json:"unread"`
	QueueTokens float64 `json:"queue_tokens"`
	QueueRuns   float64 `json:"queue_runs"`
}

// Second counts the requests that ended in one second.
type Second struct {
	At      time.Time `json:"at"`
	Served  int       `json:"served"`
	Late    int       `json:"late"`
	Refused int       `json:"refused"`
	Lost    int       `json:"lost"` // failed, cut, or the caller left
}

// Tally is the result of reading log lines.
type Tally struct {
	By     []Dimension `json:"by"`
	Groups []*Group    `json:"groups"`
	Second []*Second   `json:"seconds"`
	// Lines counts the lines that were read, Requests those of requests among
	// them, Broken those that are malformed or truncated, and LeftOut those
	// that routers omitted to limit the size of their logs.
	Lines    int `json:"lines"`
	Requests int `json:"requests"`
	Broken   int `json:"broken"`
	LeftOut  int `json:"left_out"`
	// Beyond counts requests that were dropped because of maxGroups or
	// maxSeconds.
	Beyond int `json:"beyond"`

	groups  map[string]*Group
	seconds map[int64]*Second
}

func newTally(by []Dimension) *Tally {
	return &Tally{By: by, groups: make(map[string]*Group), seconds: make(map[int64]*Second)}
}

// add counts one request.
func (t *Tally) add(r request) {
	t.Requests++
	t.LeftOut += r.leftOut
	values := make([]string, len(t.By))
	for i, d := range t.By {
		values[i] = r.value(d)
	}
	key := strings.Join(values, "\x00")
	g := t.groups[key]
	if g == nil {
		if len(t.groups) >= maxGroups {
			t.Beyond++
			return
		}
		g = &Group{Values: values, First: r.at}
		t.groups[key] = g
	}
	g.add(r)
	t.addSecond(r)
}

func (g *Group) add(r request) {
	g.Count++
	if r.at.Before(g.First) {
		g.First = r.at
	}
	if r.at.After(g.Last) {
		g.Last = r.at
	}
	n := float64(g.Count)
	for _, m := range []struct {
		mean  *float64
		value float64
	}{
		{&g.WaitMs, r.waitMs}, {&g.LimitMs, r.limitMs}, {&g.Unread, r.unread}, {&g.QueueTokens, r.queueTokens}, {&g.QueueRuns, r.queueRuns},
	} {
		*m.mean += (m.value - *m.mean) / n
	}
}

func (t *Tally) addSecond(r request) {
	s := t.seconds[r.at.Unix()]
	if s == nil {
		if len(t.seconds) >= maxSeconds {
			t.Beyond++
			return
		}
		s = &Second{At: time.Unix(r.at.Unix(), 0).UTC()}
		t.seconds[r.at.Unix()] = s
	}
	switch r.outcome {
	case Served:
		s.Served++
	case Late:
		s.Late++
	case Refused, Rejected:
		s.Refused++
	default:
		s.Lost++
	}
}

// finish sorts what was counted: the largest groups first, seconds by time.
func (t *Tally) finish() {
	for _, g := range t.groups {
		t.Groups = append(t.Groups, g)
	}
	slices.SortFunc(t.Groups, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), slices.Compare(a.Values, b.Values))
	})
	for _, s := range t.seconds {
		t.Second = append(t.Second, s)
	}
	slices.SortFunc(t.Second, func(a, b *Second) int { return a.At.Compare(b.At) })
}
