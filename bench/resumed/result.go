package resumed

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Doors at which requests end, besides the reasons of continuation and admission.
const (
	doorDoubted     = "doubted"
	doorConflicting = "conflicting"
	doorVersion     = "version-gone"
	doorTrust       = "no trusted connection"
	doorUnusable    = "no usable server"
	doorThrottled   = "throttled"
	doorWait        = "wait"
	doorServers     = "servers refused"
	doorLate        = "router late"
	doorDeadline    = "deadline"
	doorCrash       = "server crashed"
	doorRouter      = "router ended"
)

// window is the length of the part of a play that is looked at alone.
const window = 5 * time.Second

// LeastResumed is the number of resumed streams from which a quotient counts.
const LeastResumed = 12

// Counts are those of streams: new ones of the resumable route that came and began, at routers in
// touch, at their first attempt or their only retry; and such that were taken up again and went on,
// at routers in touch while two servers of their version served.
type Counts struct {
	Came, Began     int
	Resumed, WentOn int
}

// Quotient returns the share of resumed streams that went on in relation to that of new ones that
// began; 1 if there are too few.
func (c Counts) Quotient() float64 {
	if c.Resumed < LeastResumed || c.Began == 0 {
		return 1
	}
	return float64(c.WentOn) / float64(c.Resumed) * float64(c.Came) / float64(c.Began)
}

func (c *Counts) add(o Counts) {
	c.Came, c.Began, c.Resumed, c.WentOn = c.Came+o.Came, c.Began+o.Began, c.Resumed+o.Resumed, c.WentOn+o.WentOn
}

// Result is what became of the streams of one play, or of several.
type Result struct {
	Set Settings
	Counts
	// NewDoors and ResumedDoors count the attempts that were refused.
	NewDoors, ResumedDoors map[string]int
	// Worst are the counts of the window of least quotient.
	Worst   Counts
	WorstAt time.Duration
	seconds [playTime / time.Second]Counts
}

func newResult(set Settings) Result {
	return Result{Set: set, NewDoors: map[string]int{}, ResumedDoors: map[string]int{}}
}

// Add adds the result of another play.
func (r *Result) Add(o Result) {
	if r.NewDoors == nil {
		*r = newResult(Settings{})
	}
	r.Counts.add(o.Counts)
	for door, n := range o.NewDoors {
		r.NewDoors[door] += n
	}
	for door, n := range o.ResumedDoors {
		r.ResumedDoors[door] += n
	}
}

// finish sums the seconds up.
func (r *Result) finish() {
	last := window / time.Second
	for at := range r.seconds {
		r.Counts.add(r.seconds[at])
		var c Counts
		for _, one := range r.seconds[at:min(at+int(last), len(r.seconds))] {
			c.add(one)
		}
		if at == 0 || c.Quotient() < r.Worst.Quotient() {
			r.Worst, r.WorstAt = c, time.Duration(at)*time.Second
		}
	}
}

// second returns the counts of the second.
func (w *world) second(at time.Duration) *Counts { return &w.result.seconds[at/time.Second] }

// count counts an attempt that comes to its router.
func (w *world) count(c *call) {
	s := c.stream
	isCounted := c.r.isInTouch() && w.now >= countFrom && w.now < countUntil
	switch {
	case !c.resumes:
		s.attempts++
		if s.attempts > 1 {
			return
		}
		s.counts, s.cameAt = isCounted && s.route.resumable, w.now
		if s.counts {
			w.second(s.cameAt).Came++
		}
	case s.resumed == 1:
		s.resumeCounts, s.backAt = isCounted && len(w.serving(s.version)) >= leastOfVersion, w.now
		if s.resumeCounts {
			w.second(s.backAt).Resumed++
		}
	}
}

// began counts a new stream that began.
func (w *world) began(c *call) {
	if c.stream.counts {
		w.second(c.stream.cameAt).Began++
	}
}

// wentOn counts a resumed stream that went on.
func (w *world) wentOn(c *call) {
	if c.stream.resumeCounts && !c.stream.isOn {
		c.stream.isOn = true
		w.second(c.stream.backAt).WentOn++
	}
}

// refusals counts an attempt that ended at the door.
func (w *world) refusals(c *call, door string) {
	switch {
	case c.resumes && c.stream.resumeCounts:
		w.result.ResumedDoors[door]++
	case !c.resumes && c.stream.counts:
		w.result.NewDoors[door]++
	}
}

// String returns the counts with the doors, those with the most refusals first.
func (r Result) String() string {
	return fmt.Sprintf("new %d of %d, resumed %d of %d, quotient %.2f | resumed: %s | new: %s",
		r.Began, r.Came, r.WentOn, r.Resumed, r.Quotient(), doors(r.ResumedDoors), doors(r.NewDoors))
}

func doors(all map[string]int) string {
	names := slices.Collect(maps.Keys(all))
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(all[b], all[a]), cmp.Compare(a, b)) })
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s %d", name, all[name])
	}
	return strings.Join(parts, ", ")
}
