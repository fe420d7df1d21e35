package resumption

import "time"

const (
	// window is the number of seconds that are kept: as long as a caller that comes back takes with
	// all its attempts, and short enough to show a trouble of some seconds.
	window = 16
	// near is the number of seconds, the present one included, that Near sums up. The present one
	// alone may have just begun.
	near = 2
	// maxRoutes bounds the routes that are counted. Those that are not are left out.
	maxRoutes = 1024
)

// Counts are numbers of streams of one route.
type Counts struct {
	// Came is the number of requests for new streams, and Began that of those of which an event was
	// relayed.
	Came, Began uint64
	// Resumed is the number of requests that resume a stream, and WentOn that of those of which an
	// event was relayed.
	Resumed, WentOn uint64
}

// add adds the other counts.
func (c *Counts) add(other Counts) {
	c.Came += other.Came
	c.Began += other.Began
	c.Resumed += other.Resumed
	c.WentOn += other.WentOn
}

// Quotient returns the share of the resumed streams that go on divided by the share of the new ones
// that begin. It is not known if no resumed stream came or no new one began.
func (c Counts) Quotient() (quotient float64, isKnown bool) {
	if c.Resumed == 0 || c.Began == 0 {
		return 0, false
	}
	return float64(c.WentOn) / float64(c.Resumed) * float64(c.Came) / float64(c.Began), true
}

// Rates counts streams by route and by the second in which they came. It must not be used concurrently.
type Rates struct {
	routes map[string]*ring
}

// ring holds the counts of one route.
type ring struct {
	total   Counts
	seconds [window]bucket
	// last is the second of the last request.
	last int64
}

// bucket holds the counts of the streams that came in one second.
type bucket struct {
	second int64
	Counts
}

// NewRates returns empty rates.
func NewRates() *Rates { return &Rates{routes: make(map[string]*ring)} }

// Came counts a request for a stream of the route, which resumes one or begins a new one.
func (r *Rates) Came(now time.Time, route string, resumes bool) {
	one := r.routes[route]
	if one == nil {
		one = r.addRoute(now, route)
	}
	if one == nil {
		return
	}
	one.last = now.Unix()
	c := Counts{Came: 1}
	if resumes {
		c = Counts{Resumed: 1}
	}
	one.total.add(c)
	one.at(now.Unix()).add(c)
}

// Relayed counts that the first event of a request was relayed. It counts for the second in which the
// request came, if that is still kept.
func (r *Rates) Relayed(came time.Time, route string, resumes bool) {
	one := r.routes[route]
	if one == nil {
		return
	}
	c := Counts{Began: 1}
	if resumes {
		c = Counts{WentOn: 1}
	}
	one.total.add(c)
	if b := one.bucket(came.Unix()); b.second == came.Unix() {
		b.add(c)
	}
}

// addRoute adds the route. If there are too many, those without requests in the window are dropped; it
// returns nil if there are none.
func (r *Rates) addRoute(now time.Time, route string) *ring {
	if len(r.routes) >= maxRoutes {
		for name, one := range r.routes {
			if now.Unix()-one.last >= window {
				delete(r.routes, name)
			}
		}
	}
	if len(r.routes) >= maxRoutes {
		return nil
	}
	one := &ring{}
	r.routes[route] = one
	return one
}

// bucket returns the place of the second in the ring.
func (o *ring) bucket(second int64) *bucket { return &o.seconds[uint64(second)%window] }

// at returns the counts of the second, which are new if the place was that of an earlier one.
func (o *ring) at(second int64) *Counts {
	b := o.bucket(second)
	if b.second != second {
		*b = bucket{second: second}
	}
	return &b.Counts
}

// sum returns the counts of the last seconds.
func (o *ring) sum(now time.Time, seconds int64) Counts {
	var out Counts
	for i := range o.seconds {
		if age := now.Unix() - o.seconds[i].second; age >= 0 && age < seconds {
			out.add(o.seconds[i].Counts)
		}
	}
	return out
}

// Near returns the counts of the streams of the route that came in this second and in the one before.
func (r *Rates) Near(now time.Time, route string) Counts {
	if one := r.routes[route]; one != nil {
		return one.sum(now, near)
	}
	return Counts{}
}

// Window returns by route the counts of the streams that came in the window, without routes of which
// none came.
func (r *Rates) Window(now time.Time) map[string]Counts {
	out := make(map[string]Counts, len(r.routes))
	for name, one := range r.routes {
		if c := one.sum(now, window); c != (Counts{}) {
			out[name] = c
		}
	}
	return out
}

// Totals returns by route the counts since the start.
func (r *Rates) Totals() map[string]Counts {
	out := make(map[string]Counts, len(r.routes))
	for name, one := range r.routes {
		out[name] = one.total
	}
	return out
}
