// Package runs records what a backend server ran, for checks made afterwards.
package runs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"net/http"
	"sync"
	"time"

	"goldcrestport/standin/internal/reply"
)

// States of a run.
const (
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
	Failed    = "failed"
)

// Run is the record of one run.
type Run struct {
	Number    int64  `json:"number"`
	RequestID string `json:"request_id"`
	// CallID is a name that the caller gave to its call, if any.
	CallID         string `json:"call_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key"`
	Team           string `json:"team"`
	StartedMS      int64  `json:"started_ms"`
	EndedMS        int64  `json:"ended_ms"`
	State          string `json:"state"`
	Bytes          int64  `json:"bytes"`
	SHA256         string `json:"sha256"`
	// CostTokens counts prompt tokens that were not cached and generated ones.
	CostTokens int64 `json:"cost_tokens"`
	// PromptTokens is the part of CostTokens that was not generated.
	PromptTokens int64 `json:"prompt_tokens"`
}

// Stats sums up all runs, also those no longer kept.
type Stats struct {
	Running    int64 `json:"running"`
	Started    int64 `json:"started"`
	Ended      int64 `json:"ended"`
	BusySlotMS int64 `json:"busy_slot_ms"`
	Tokens     int64 `json:"tokens"`
}

// Log keeps the last runs.
type Log struct {
	mu     sync.Mutex
	keep   int
	ring   []*Handle
	stats  Stats
	origin time.Time
	busy   time.Duration // of ended runs
	starts time.Duration // sum of the running runs' starts since origin

	journal *json.Encoder // nil: none
}

// Line is one line of a journal: a run at its start or at its end.
type Line struct {
	// Born tells the processes of one journal apart.
	Born int64 `json:"born"`
	Run
}

// Handle is a run that is being recorded.
type Handle struct {
	log   *Log
	run   Run
	start time.Duration
	sum   hash.Hash // nil once ended
}

// NewLog returns a log of at most keep runs (at least one).
func NewLog(keep int) *Log { return &Log{keep: max(keep, 1), origin: time.Now()} }

// Journal makes the log write each start and end to w as well, so that the
// record outlives the process. It is called before the first run.
func (l *Log) Journal(w io.Writer) {
	if w != nil {
		l.journal = json.NewEncoder(w)
	}
}

func (l *Log) write(run Run) {
	if l.journal != nil {
		_ = l.journal.Encode(Line{Born: l.origin.UnixNano(), Run: run})
	}
}

// Start records the start of a run of a request.
func (l *Log) Start(r *http.Request) *Handle {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &Handle{log: l, start: time.Since(l.origin), sum: sha256.New()}
	h.run = Run{
		Number: l.stats.Started, RequestID: r.Header.Get("X-Request-Id"), CallID: r.Header.Get("X-Call-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), Team: r.Header.Get("X-Team"),
		StartedMS: time.Now().UnixMilli(), State: Running,
	}
	if len(l.ring) < l.keep {
		l.ring = append(l.ring, h)
	} else {
		l.ring[l.stats.Started%int64(l.keep)] = h
	}
	l.stats.Started++
	l.stats.Running++
	l.starts += h.start
	l.write(h.run)
	return h
}

// Number returns the run's number, counted from 0.
func (h *Handle) Number() int64 { return h.run.Number }

// Write adds to the answer's bytes; it never fails.
func (h *Handle) Write(body []byte) (int, error) {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	if h.sum != nil {
		h.run.Bytes += int64(len(body))
		_, _ = h.sum.Write(body)
	}
	return len(body), nil
}

// AddPrompt adds prompt tokens that were not cached to the run's cost.
func (h *Handle) AddPrompt(n int64) {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	h.run.CostTokens += n
	h.run.PromptTokens += n
	h.log.stats.Tokens += n
}

// AddTokens adds to the run's cost.
func (h *Handle) AddTokens(n int64) {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	h.run.CostTokens += n
	h.log.stats.Tokens += n
}

// End records the end of the run; only the first end counts.
func (h *Handle) End(state string) {
	l := h.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.sum == nil {
		return
	}
	h.run.State, h.run.EndedMS = state, time.Now().UnixMilli()
	h.run.SHA256, h.sum = hex.EncodeToString(h.sum.Sum(nil)), nil
	l.stats.Running--
	l.stats.Ended++
	l.starts -= h.start
	l.busy += time.Since(l.origin) - h.start
	l.write(h.run)
}

// Runs returns the kept runs with a number of at least from, in the order of their start.
func (l *Log) Runs(from int64) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Run{}
	first := max(l.stats.Started-int64(len(l.ring)), from)
	for n := first; n < l.stats.Started; n++ {
		h := l.ring[n%int64(l.keep)]
		run := h.run
		if h.sum != nil {
			run.SHA256 = hex.EncodeToString(h.sum.Sum(nil))
		}
		out = append(out, run)
	}
	return out
}

// Stats returns the sums.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	open := time.Duration(stats.Running)*time.Since(l.origin) - l.starts
	stats.BusySlotMS = (l.busy + open).Milliseconds()
	return stats
}

// ServeRuns answers GET /admin/runs; the query may give the first number wanted as "from".
func (l *Log) ServeRuns(w http.ResponseWriter, r *http.Request) {
	from, _, err := reply.Uint(r, "from")
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "from must be a whole number")
		return
	}
	reply.JSON(w, http.StatusOK, map[string]any{"runs": l.Runs(int64(from))})
}

// ServeStats answers GET /admin/stats.
func (l *Log) ServeStats(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, l.Stats())
}
