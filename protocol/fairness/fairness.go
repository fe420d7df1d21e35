// Package fairness finds from routers' log lines how far the least served team of each
// window was from its share, and what kept it from it.
//
// goldcrestctl fairness uses it. What is kept is bounded by the seconds, teams and
// routers of the lines.
package fairness

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Window is the time over which teams are compared: that of the users' rule.
const Window = 6 * time.Second

// Bounds of a log. A day of one fleet has some hundred thousand counts.
const maxCounts = 2_000_000

// Use is what a team asked and got, in tokens, and what its tries met.
type Use struct {
	Asked     float64 `json:"asked"`
	Begun     float64 `json:"begun"`
	Delivered float64 `json:"delivered"`
	// Requests are the tries that were read, so that a decision was made on them, and
	// Unread the connections that were closed before that.
	Requests int `json:"requests"`
	Unread   int `json:"unread"`
	// Refused counts the refusals by what bound them.
	Refused map[Bound]int `json:"refused,omitempty"`
}

func (u *Use) add(o Use) {
	u.Asked += o.Asked
	u.Begun += o.Begun
	u.Delivered += o.Delivered
	u.Requests += o.Requests
	u.Unread += o.Unread
	for bound, n := range o.Refused {
		if u.Refused == nil {
			u.Refused = make(map[Bound]int)
		}
		u.Refused[bound] += n
	}
}

// refusals is the number of tries that got nothing.
func (u *Use) refusals() int {
	n := u.Unread
	for _, some := range u.Refused {
		n += some
	}
	return n
}

// wanted estimates what the team asked in all: what was closed unread is presumed to be
// of the size of what was read.
func (u *Use) wanted() float64 {
	if u.Requests == 0 {
		return u.Asked
	}
	return u.Asked * float64(u.Requests+u.Unread) / float64(u.Requests)
}

// Bound is what kept a team from more.
type Bound string

// Bounds.
const (
	// ByShare: the team was refused as it is beyond its share.
	ByShare Bound = "share"
	// ByServer: no backend server could begin in time, or none was usable.
	ByServer Bound = "server"
	// ByStreams: the router passed on as many streams as it can.
	ByStreams Bound = "streams"
	// ByUnread: the router closed connections before it read them.
	ByUnread Bound = "unread"
	// ByRouter: the router was leaving, blind, or had no configuration.
	ByRouter Bound = "router"
	// ByNothing: nothing was refused.
	ByNothing Bound = ""
)

// Place is where a team came in.
type Place struct {
	DataCentre string `json:"data_centre"`
	Router     string `json:"router"`
}

// count is one line.
type count struct {
	second int64
	team   string
	place  Place
	use    Use
}

// Log holds the lines' counts.
type Log struct {
	counts []count
	// Lines that were read, Broken ones that are no whole log line, and Beyond those
	// beyond this package's bound.
	Lines, Broken, Beyond int
}

func (l *Log) add(c count) {
	if len(l.counts) >= maxCounts {
		l.Beyond++
		return
	}
	l.counts = append(l.counts, c)
}

// Row is what one team asked and got in a window.
type Row struct {
	Team string `json:"team"`
	Use
	// Waited tells that in each second of the window a try of the team got nothing.
	Waited bool `json:"waited"`
	// Margin is what it got in relation to the lesser of half of what it asked and half
	// of what the best served team got: below 1 the rule is broken if it waited.
	Margin float64 `json:"margin"`
	// Bound is what most of its tries met that got nothing.
	Bound Bound `json:"bound"`
	// Places are where it came in, the largest first.
	Places []PlaceUse `json:"places,omitempty"`
}

// PlaceUse is what a team asked and got at one router.
type PlaceUse struct {
	Place
	Use
}

// Result is one window.
type Result struct {
	Begin time.Time `json:"begin"`
	// Best is the best served team and what was begun for it.
	Best      string  `json:"best"`
	BestBegun float64 `json:"best_begun"`
	// Margin is the least of the teams that waited in each second; 0 without any, and
	// then Least is empty.
	Margin float64 `json:"margin"`
	Least  string  `json:"least"`
	Rows   []Row   `json:"rows"`
}

// windowSeconds is the number of whole seconds of a window.
const windowSeconds = int64(Window / time.Second)

// Windows returns the windows of the log, one for each second at which one begins.
func (l *Log) Windows() []Result {
	if len(l.counts) == 0 {
		return nil
	}
	slices.SortStableFunc(l.counts, func(a, b count) int { return cmp.Compare(a.second, b.second) })
	first, last := l.counts[0].second, l.counts[len(l.counts)-1].second
	var out []Result
	from := 0
	for begin := first; begin+windowSeconds-1 <= last; begin++ {
		for l.counts[from].second < begin {
			from++
		}
		to := from
		for to < len(l.counts) && l.counts[to].second < begin+windowSeconds {
			to++
		}
		if from < to {
			out = append(out, result(begin, l.counts[from:to]))
		}
	}
	return out
}

// tally is what is summed for a team in a window.
type tally struct {
	use    Use
	places map[Place]*Use
	// failed are the seconds in which a try got nothing.
	failed map[int64]bool
}

func result(begin int64, counts []count) Result {
	teams := make(map[string]*tally)
	for _, c := range counts {
		t := teams[c.team]
		if t == nil {
			t = &tally{places: make(map[Place]*Use), failed: make(map[int64]bool)}
			teams[c.team] = t
		}
		t.use.add(c.use)
		if c.use.refusals() > 0 {
			t.failed[c.second] = true
		}
		if t.places[c.place] == nil {
			t.places[c.place] = &Use{}
		}
		t.places[c.place].add(c.use)
	}
	r := Result{Begin: time.Unix(begin, 0).UTC()}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		if got := teams[team].use.Begun; got > r.BestBegun {
			r.Best, r.BestBegun = team, got
		}
	}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		r.take(team, teams[team])
	}
	slices.SortStableFunc(r.Rows, func(a, b Row) int { return cmp.Compare(b.Asked, a.Asked) })
	return r
}

// take adds the team's row.
func (r *Result) take(team string, t *tally) {
	row := Row{Team: team, Use: t.use, Waited: int64(len(t.failed)) == windowSeconds, Bound: boundOf(t.use)}
	if lesser := min(t.use.wanted(), r.BestBegun) / 2; lesser > 0 {
		row.Margin = t.use.Begun / lesser
	}
	for place, use := range t.places {
		row.Places = append(row.Places, PlaceUse{place, *use})
	}
	slices.SortFunc(row.Places, func(a, b PlaceUse) int {
		return cmp.Or(cmp.Compare(b.Requests+b.Unread, a.Requests+a.Unread), cmp.Compare(a.Router, b.Router))
	})
	r.Rows = append(r.Rows, row)
	if row.Waited && team != "" && (r.Least == "" || row.Margin < r.Margin) {
		r.Least, r.Margin = team, row.Margin
	}
}

// boundOf returns what most of the tries met that got nothing.
func boundOf(u Use) Bound {
	bound, most := ByNothing, 0
	for _, one := range []Bound{ByShare, ByServer, ByStreams, ByRouter} {
		if n := u.Refused[one]; n > most {
			bound, most = one, n
		}
	}
	if u.Unread > most {
		return ByUnread
	}
	return bound
}
