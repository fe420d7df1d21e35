// Package fairness computes from routers' log lines how far the least served team of each
// time window was from its share, by the users' fairness rule, and what limited it.
//
// It sees only what routers logged: attempts that reached no router and lost log lines are
// missing. Request sizes are the routers' estimates.
//
// goldcrestctl fairness uses it. Memory use is bounded by the number of seconds, teams and
// routers in the lines.
package fairness

import (
	"math"
	"time"
)

// maxCounts bounds the counts kept of a log. A day of one fleet has some hundred thousand.
const maxCounts = 2_000_000

// Use is what a team requested and was served, in tokens, and the results of its attempts.
type Use struct {
	Asked     float64 `json:"asked"`
	Begun     float64 `json:"begun"`
	Delivered float64 `json:"delivered"`
	// Largest is the size of the largest request.
	Largest float64 `json:"largest"`
	// Late counts the requests that were started later than their latency objective.
	Late int `json:"late"`
	// Requests counts the attempts that the router read and decided on, Unread the
	// connections that it closed before reading a request.
	Requests int `json:"requests"`
	Unread   int `json:"unread"`
	// Refused counts the refusals by their limiting factor.
	Refused map[Bound]int `json:"refused,omitempty"`
}

func (u *Use) add(o Use) {
	u.Asked += o.Asked
	u.Begun += o.Begun
	u.Delivered += o.Delivered
	u.Largest = max(u.Largest, o.Largest)
	u.Late += o.Late
	u.Requests += o.Requests
	u.Unread += o.Unread
	for bound, n := range o.Refused {
		if u.Refused == nil {
			u.Refused = make(map[Bound]int)
		}
		u.Refused[bound] += n
	}
}

// scaled returns the given share of the use. Attempts are rounded up, since each second had
// at least one.
func (u *Use) scaled(share float64) Use {
	out := *u
	out.Asked *= share
	out.Begun *= share
	out.Delivered *= share
	out.Requests = scaledCount(u.Requests, share)
	out.Unread = scaledCount(u.Unread, share)
	out.Late = scaledCount(u.Late, share)
	out.Refused = make(map[Bound]int, len(u.Refused))
	for bound, n := range u.Refused {
		out.Refused[bound] = scaledCount(n, share)
	}
	return out
}

func scaledCount(n int, share float64) int { return int(math.Ceil(float64(n) * share)) }

// unserved returns the number of attempts that were not served or were started late.
func (u *Use) unserved() int {
	n := u.Unread + u.Late
	for _, refusals := range u.Refused {
		n += refusals
	}
	return n
}

// estimatedRequested estimates the tokens that the team requested in all. Requests on connections that
// were closed unread are assumed to have the mean size of those that were read.
func (u *Use) estimatedRequested() float64 {
	if u.Requests == 0 {
		return u.Asked
	}
	return u.Asked * float64(u.Requests+u.Unread) / float64(u.Requests)
}

// Bound is the factor that limited a team's use.
type Bound string

// Limiting factors.
const (
	// ByShare: requests were refused because the team was beyond its share.
	ByShare Bound = "share"
	// ByServer: no backend server could start in time, or none was usable.
	ByServer Bound = "server"
	// ByStreams: the router forwarded as many streams as it can handle.
	ByStreams Bound = "streams"
	// ByUnread: the router closed connections before it read them.
	ByUnread Bound = "unread"
	// ByRouter: the router was shutting down, could not confirm that its state was
	// current, or had no configuration.
	ByRouter Bound = "router"
	// ByNothing: nothing was refused.
	ByNothing Bound = ""
)

// Place is the router at which a team's requests arrived, and its data centre.
type Place struct {
	DataCentre string `json:"data_centre"`
	Router     string `json:"router"`
}

// count is the content of one line: a team's use at one router between two times.
type count struct {
	from, to time.Time
	team     string
	place    Place
	use      Use
}

// splitBySecond splits the count at whole seconds. Tokens are assumed to be spread evenly over the
// span; attempts count in each second of which the line covers at least minCoverage.
func (c *count) splitBySecond(visit func(second int64, part count)) {
	span := c.to.Sub(c.from).Seconds()
	for from := c.from; from.Before(c.to); {
		second := from.Unix()
		to := time.Unix(second+1, 0)
		if to.After(c.to) {
			to = c.to
		}
		part := *c
		share := to.Sub(from).Seconds() / span
		part.use = c.use.scaled(share)
		if to.Sub(from).Seconds() < minCoverage*min(span, 1) {
			part.use.Requests, part.use.Late, part.use.Unread, part.use.Refused = 0, 0, 0, nil
		}
		visit(second, part)
		from = to
	}
}

// minCoverage is the fraction of a second, or of a span shorter than that, that a line must
// cover for its attempts to count in that second.
const minCoverage = 0.25

// Log holds the counts that were read from log lines.
type Log struct {
	counts []count
	// Lines counts the lines that were read, Broken those that are malformed or truncated,
	// and Beyond those dropped because of maxCounts.
	Lines, Broken, Beyond int
}

func (l *Log) add(c count) {
	if len(l.counts) >= maxCounts {
		l.Beyond++
		return
	}
	l.counts = append(l.counts, c)
}
