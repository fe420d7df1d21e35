package fairness

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The users' fairness rule is broken for a team if in each second of the window one of its
// attempts is refused or waits beyond its latency objective, and the team is served less
// than it is owed. Owed is half of what it requested or of what the best served team got,
// whichever is less in each second, minus some of its largest requests.
const (
	// Window is the time over which teams are compared.
	Window = 6 * time.Second
	// owedFraction is the fraction of the lesser amount that is owed.
	owedFraction = 0.5
	// sparedRequests is the number of largest requests that are subtracted.
	sparedRequests = 3
	// silenceSeconds is the number of seconds for which a waiting team without any log line still
	// counts as waiting, since its attempts may have reached no router.
	silenceSeconds = 2
)

// windowSeconds is the number of whole seconds of a window.
const windowSeconds = int64(Window / time.Second)

// Row is one team's use in a window.
type Row struct {
	Team string `json:"team"`
	Use
	// Waited says that in each second of the window an attempt of the team was not served
	// or was started late.
	Waited bool `json:"waited"`
	// Owed is what the fairness rule requires, in tokens.
	Owed float64 `json:"owed"`
	// Margin is the ratio of what it was served to Owed. Below 1, the rule is broken if
	// the team waited. It is 0 if nothing is owed, where the ratio would be unbounded.
	Margin float64 `json:"margin"`
	// OfBest is the ratio of what it was served to the lesser of what it requested and
	// what the best served team got.
	OfBest float64 `json:"of_best"`
	// Bound is the limiting factor of most of its attempts that were not served.
	Bound Bound `json:"bound"`
	// Places are the routers at which its requests arrived, the busiest first.
	Places []PlaceUse `json:"places,omitempty"`
}

// PlaceUse is a team's use at one router.
type PlaceUse struct {
	Place
	Use
}

// Result is the evaluation of one window.
type Result struct {
	Begin time.Time `json:"begin"`
	// Best is the best served team, BestBegun the tokens of its started requests.
	Best      string  `json:"best"`
	BestBegun float64 `json:"best_begun"`
	// Margin is the smallest margin of the teams that waited in each second, and Least that
	// team; 0 and empty if there is none.
	Margin float64 `json:"margin"`
	Least  string  `json:"least"`
	Rows   []Row   `json:"rows"`
}

// bySecond holds the parts of the counts by Unix second.
type bySecond map[int64][]count

// Windows returns the sliding windows of the log, one starting at each second.
func (l *Log) Windows() []Result {
	if len(l.counts) == 0 {
		return nil
	}
	seconds := make(bySecond)
	for i := range l.counts {
		l.counts[i].splitBySecond(func(second int64, c count) { seconds[second] = append(seconds[second], c) })
	}
	all := slices.Sorted(maps.Keys(seconds))
	first, last := all[0], all[len(all)-1]
	var out []Result
	for start := first; start+windowSeconds-1 <= last; start++ {
		if r, ok := seconds.evaluate(start); ok {
			out = append(out, r)
		}
	}
	return out
}

// tally holds the sums for one team in a window.
type tally struct {
	use    Use
	places map[Place]*Use
	// seconds holds the use in each second of the window, preceded by the silenceSeconds
	// before it.
	seconds [windowSeconds + silenceSeconds]Use
}

func newTally() *tally { return &tally{places: make(map[Place]*Use)} }

// evaluate evaluates the window that starts at the given second.
func (s bySecond) evaluate(start int64) (Result, bool) {
	teams := make(map[string]*tally)
	seen := false
	for i := range windowSeconds + silenceSeconds {
		second := start - silenceSeconds + i
		for _, c := range s[second] {
			t := teams[c.team]
			if t == nil {
				t = newTally()
				teams[c.team] = t
			}
			t.seconds[i].add(c.use)
			if second >= start {
				t.addCount(c)
				seen = true
			}
		}
	}
	if !seen {
		return Result{}, false
	}
	return newResult(time.Unix(start, 0).UTC(), teams), true
}

func (t *tally) addCount(c count) {
	t.use.add(c.use)
	if t.places[c.place] == nil {
		t.places[c.place] = &Use{}
	}
	t.places[c.place].add(c.use)
}

// waited reports whether the team waited in each second. A second without any of its
// attempts counts like the one before.
func (t *tally) waited() bool {
	for i := range windowSeconds {
		if t.lastSeen(i+silenceSeconds).unserved() == 0 {
			return false
		}
	}
	return true
}

// lastSeen returns the use in the given second, or in the last one before it, within
// silenceSeconds, that has an attempt.
func (t *tally) lastSeen(second int64) *Use {
	for i := second; i >= max(second-silenceSeconds, 0); i-- {
		if u := &t.seconds[i]; u.Requests+u.unserved() > 0 {
			return u
		}
	}
	return &t.seconds[second]
}

// lesserSum returns the sum over all seconds of the lesser of what the team requested and what
// the other team was served.
func (t *tally) lesserSum(other *tally) float64 {
	sum := 0.0
	for i := range windowSeconds {
		sum += min(t.lastSeen(i+silenceSeconds).estimatedRequested(), other.seconds[i+silenceSeconds].Begun)
	}
	return sum
}

func newResult(start time.Time, teams map[string]*tally) Result {
	r := Result{Begin: start}
	names := slices.Sorted(maps.Keys(teams))
	for _, team := range names {
		if got := teams[team].use.Begun; got > r.BestBegun {
			r.Best, r.BestBegun = team, got
		}
	}
	for _, team := range names {
		r.addRow(team, teams[team], teams[r.Best])
	}
	slices.SortStableFunc(r.Rows, func(a, b Row) int { return cmp.Compare(b.Asked, a.Asked) })
	return r
}

// addRow adds the team's row and updates the smallest margin.
func (r *Result) addRow(team string, t, best *tally) {
	row := Row{Team: team, Use: t.use, Waited: t.waited(), Bound: mainBound(t.use)}
	if best != nil {
		lesser := t.lesserSum(best)
		row.Owed = owedFraction*lesser - sparedRequests*t.use.Largest
		if lesser > 0 {
			row.OfBest = t.use.Begun / lesser
		}
	}
	if row.Owed > 0 {
		row.Margin = t.use.Begun / row.Owed
	}
	row.Places = t.sortedPlaces()
	r.Rows = append(r.Rows, row)
	if row.Waited && row.Owed > 0 && team != "" && (r.Least == "" || row.Margin < r.Margin) {
		r.Least, r.Margin = team, row.Margin
	}
}

func (t *tally) sortedPlaces() []PlaceUse {
	var out []PlaceUse
	for place, use := range t.places {
		out = append(out, PlaceUse{place, *use})
	}
	slices.SortFunc(out, func(a, b PlaceUse) int {
		return cmp.Or(cmp.Compare(b.Requests+b.Unread, a.Requests+a.Unread), cmp.Compare(a.Router, b.Router))
	})
	return out
}

// mainBound returns the limiting factor of most of the attempts that were not served.
func mainBound(u Use) Bound {
	bound, maxRefusals := ByNothing, 0
	for _, candidate := range []Bound{ByShare, ByServer, ByStreams, ByRouter} {
		if n := u.Refused[candidate]; n > maxRefusals {
			bound, maxRefusals = candidate, n
		}
	}
	if u.Unread > maxRefusals {
		return ByUnread
	}
	return bound
}
