package soak

import (
	"sync"
	"time"

	"goldcrestport/standin/backend"
)

// Call is one attempt of a caller.
type Call struct {
	ID   string
	Kind Kind
	Team string
	// Body of the request, and whether it crashes each server that begins it.
	Body    string
	Crashes bool
	Key     string
	Sent    time.Time
	Ended   time.Time
	// Router and Life identify the process that took it.
	Router, Life int
	// Left is when the caller gave it up, or the zero time.
	Left time.Time
	// Status is 0 when there was no answer.
	Status int
	// Whole is set if the answer came to its end; Problem is what was wrong
	// with its bytes.
	Whole   bool
	Problem string
	// Why is the reason that a refusal gives, and what it says besides; empty for none.
	Why string
	// Err is how the connection ended without an answer.
	Err string
	// Resumes is the attempt that brought the first event of the stream that this one resumes,
	// and After the last event that the caller has of it; empty and 0 for a first attempt.
	Resumes string
	After   int
	// Last is the last event that it brought, and Versions the software versions of its events.
	Last     int
	Versions []string
	// Parts are the shared parts of its prompt, as the header names them; empty for none.
	Parts string
	// Broke is set if the caller broke the stream off to resume it.
	Broke bool
}

// Failure is one failure that was made.
type Failure struct {
	Kind string
	// Router is the number of the router that it touches, everyRouter, or
	// noRouter.
	Router int
	// Server is the backend server that it touches, or empty.
	Server string
	// Planned marks what must cut no request.
	Planned     bool
	From, Until time.Time
}

// Routers of a failure that does not touch one of them.
const (
	everyRouter = -1
	noRouter    = -2
)

// Change is a change of the configuration, as of the store's word that it was
// taken.
type Change struct {
	// Sent is before the write, Acked after it.
	Sent, Acked time.Time
	// Moved is the service of the moving route from then on.
	Moved string
	// Revoked is a key that was taken away, or empty.
	Revoked string
}

// Departure is a backend server's word that it leaves.
type Departure struct {
	Server string
	Acked  time.Time
}

// Crash is the end of a backend server under a request that crashes it.
type Crash struct {
	Server, Body string
	At           time.Time
}

// Evacuation is the operators' word that a data centre's servers get nothing.
type Evacuation struct {
	DataCentre string
	// Acked is when the store took it, Until when it was taken back.
	Acked, Until time.Time
}

// Cold is a span in which a process of a server handles few requests.
type Cold struct {
	Server      string
	Born        int64
	From, Until time.Time
}

// Serving is a span in which a process of an engine served; Until is zero while it does.
type Serving struct {
	Server, Version string
	Born            int64
	From, Until     time.Time
}

// Record is what was seen in a run. It may be added to from any goroutine.
type Record struct {
	mu sync.Mutex
	// Routers is the number of routers.
	Routers  int
	Calls    []Call
	Runs     map[string][]backend.Run
	Arrivals []backend.Arrival
	// Words are what answers said of their servers.
	Words      []backend.Word
	Failures   []Failure
	Changes    []Change
	Departures []Departure
	Crashes    []Crash
	// Evacuations are those of data centres, Colds the spans of cold servers.
	Evacuations []Evacuation
	Colds       []Cold
	// Served are the spans in which engines served.
	Served []Serving
	// Exits names the processes that ended by themselves.
	Exits []string
	// Memory is the greatest resident memory of each router, in bytes, by its number.
	Memory map[int]int64
	// Settled is when every failure was over.
	Settled time.Time
	// Until is the time up to which attempts are in the record, if the run goes on; zero if it is over.
	Until time.Time
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{Runs: map[string][]backend.Run{}, Memory: map[int]int64{}} }

// Began implements backend.Journal.
func (r *Record) Began(run backend.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Runs[run.ID] = append(r.Runs[run.ID], run)
}

// Ended implements backend.Journal.
func (r *Record) Ended(run backend.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, one := range r.Runs[run.ID] {
		if one.Began.Equal(run.Began) && one.Server == run.Server {
			r.Runs[run.ID][i] = run
		}
	}
}

// Arrived implements backend.Journal.
func (r *Record) Arrived(one backend.Arrival) {
	r.add(func() { r.Arrivals = append(r.Arrivals, one) })
}

// Said implements backend.Journal.
func (r *Record) Said(word backend.Word) { r.add(func() { r.Words = append(r.Words, word) }) }

// add changes the record under its lock.
func (r *Record) add(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}
