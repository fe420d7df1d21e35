package load

import (
	"sync"
	"sync/atomic"
	"time"
)

// Ending says how one request ended for its caller.
type Ending int

const (
	// Completed means that the whole answer came.
	Completed Ending = iota + 1
	// Refused means that the router said that it was not run.
	Refused
	// Broken means that the connection failed or the answer was cut short.
	Broken
	// Failed is any other answer.
	Failed
)

// Result is how one request went.
type Result struct {
	Team   string
	Ending Ending
	// ID is the fleet's name of the request, if an answer came.
	ID    string
	Sent  time.Time
	First time.Time
	End   time.Time
}

// Recorder collects results and counts what is outstanding per team.
type Recorder struct {
	mu          sync.Mutex
	results     []Result
	outstanding map[string]*atomic.Int64
}

// NewRecorder returns a recorder for the teams.
func NewRecorder(teams []Team) *Recorder {
	r := &Recorder{outstanding: map[string]*atomic.Int64{}}
	for _, t := range teams {
		r.outstanding[t.Name] = &atomic.Int64{}
	}
	return r
}

// Outstanding returns the team's requests that were sent and have not ended.
func (r *Recorder) Outstanding(team string) int {
	return int(r.outstanding[team].Load())
}

// Results returns the requests that ended in the span, in order of their end.
func (r *Recorder) Results(from, to time.Time) []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Result
	for _, v := range r.results {
		if !v.End.Before(from) && v.End.Before(to) {
			out = append(out, v)
		}
	}
	return out
}

func (r *Recorder) begin(team string) { r.outstanding[team].Add(1) }

func (r *Recorder) end(v Result) {
	r.outstanding[v.Team].Add(-1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, v)
}
