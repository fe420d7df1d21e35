package resumed

import (
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/roster"
)

// Sizes and speeds of an engine.
const (
	engineSlots = 64
	engineQueue = 134
	// prefillRate is the number of prompt tokens that are read in a millisecond.
	prefillRate = 66.2
	// firstTokenTime is the time from the end of the reading to the first token.
	firstTokenTime = 12 * time.Millisecond
	// stepTime and stepTimePerRun make up the time of one token.
	stepTime       = 3880 * time.Microsecond
	stepTimePerRun = 28 * time.Microsecond
	// cacheLife is how long a shared prefix stays in an engine's cache.
	cacheLife = 10 * time.Second
	// heartbeat is the interval at which a server writes its entry, entryLife how long one lasts.
	heartbeat = 1200 * time.Millisecond
	entryLife = 3 * heartbeat
)

// server is one process of a backend server.
type server struct {
	w     *world
	entry roster.Server
	// gone means that the process has ended, draining that it takes no new requests.
	gone, draining bool
	running        int
	waiting        []*run
	runs           map[*run]struct{}
	readUntil      time.Duration
	cached         map[uint64]time.Duration
	// slowness multiplies all of its times.
	slowness float64
	// idleLimit is after which it closes a connection without requests.
	idleLimit time.Duration
}

// run is one request at a server.
type run struct {
	call     *call
	conn     *conn
	server   *server
	admitted *admission.Run
	prompt   int
	prefixes []admission.Prefix
	events   int
	started  bool
	ended    bool
}

// startServer starts a process, whose entry is written at once if the store answers.
func (w *world) startServer(id string, version roster.Version, dataCentre string) *server {
	s := &server{
		w: w, runs: map[*run]struct{}{}, cached: map[uint64]time.Duration{}, slowness: 1, idleLimit: w.idleLimit,
		entry: roster.Server{ID: id, Incarnation: roster.Incarnation(w.wall().UnixMilli()), Version: version, Service: service, DataCentre: dataCentre, Slots: engineSlots},
	}
	w.servers = append(w.servers, s)
	w.processes[s.entry.Identity()] = s
	w.every(heartbeat, func() {
		if !s.gone {
			w.store.write(s.entry)
		}
	})
	return s
}

// accept takes a request, or refuses it.
func (s *server) accept(r *run) bool {
	if s.gone || s.draining || s.running+len(s.waiting) >= engineSlots+engineQueue {
		return false
	}
	s.runs[r] = struct{}{}
	s.waiting = append(s.waiting, r)
	s.fill()
	return true
}

// fill starts requests that wait while there are slots.
func (s *server) fill() {
	for s.running < engineSlots && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if next.ended {
			continue
		}
		s.running++
		next.started = true
		s.readUntil = max(s.w.now, s.readUntil) + s.scaled(time.Duration(float64(s.unread(next))/prefillRate*float64(time.Millisecond)))
		s.w.at(s.readUntil+firstTokenTime, func() { s.begin(next) })
	}
}

func (s *server) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * s.slowness) }

// unread returns the tokens of the prompt that are not in the cache, which holds them from now on.
func (s *server) unread(r *run) int {
	tokens := r.prompt
	for _, one := range r.prefixes {
		if until, known := s.cached[one.ID]; known && until > s.w.now {
			tokens -= one.Tokens
		}
		s.cached[one.ID] = s.w.now + cacheLife
	}
	return max(tokens, 1)
}

// begin generates the first event; the others follow at the speed of this moment.
func (s *server) begin(r *run) {
	if r.ended {
		return
	}
	eventTime := s.scaled(eventTokens * (stepTime + time.Duration(s.running)*stepTimePerRun))
	r.call.serverBegan(r, eventTime)
	s.w.after(time.Duration(r.events-1)*eventTime, func() {
		if !r.ended {
			s.finish(r)
			r.call.serverEnded(r)
		}
	})
}

// finish frees what the run holds.
func (s *server) finish(r *run) {
	if r.ended {
		return
	}
	r.ended = true
	delete(s.runs, r)
	if r.started {
		s.running--
	}
	s.fill()
}

// crash ends the process with all that it runs, in the order of the calls.
func (s *server) crash() {
	s.gone = true
	broken := sortedRuns(s.runs)
	s.w.endConnections(s)
	for _, r := range broken {
		r.ended = true
	}
	s.runs, s.waiting = map[*run]struct{}{}, nil
	for _, r := range broken {
		s.w.after(hop, func() { r.call.serverBroke(r) })
	}
}

// drain announces that the process leaves; it ends when its last run has.
func (s *server) drain() {
	s.draining, s.entry.Draining = true, true
	s.w.store.write(s.entry)
	s.awaitEnd()
}

func (s *server) awaitEnd() {
	if len(s.runs) > 0 {
		s.w.after(100*time.Millisecond, s.awaitEnd)
		return
	}
	s.w.after(lingerTime, func() {
		s.gone = true
		s.w.endConnections(s)
		s.w.store.remove(s.entry.ID)
	})
}

// lingerTime is how long a server that leaves stays after its last run.
const lingerTime = 1500 * time.Millisecond
