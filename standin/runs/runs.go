// Package runs records the requests that a backend server ran, so that tests can check them afterwards.
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
	// CallID is the identifier that the caller assigned to its call, if any.
	CallID         string `json:"call_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key"`
	Team           string `json:"team"`
	StartedMS      int64  `json:"started_ms"`
	EndedMS        int64  `json:"ended_ms"`
	State          string `json:"state"`
	Bytes          int64  `json:"bytes"`
	SHA256         string `json:"sha256"`
	// CostTokens is the number of uncached prompt tokens plus generated tokens.
	CostTokens int64 `json:"cost_tokens"`
	// PromptTokens is the number of uncached prompt tokens.
	PromptTokens int64 `json:"prompt_tokens"`
}

// Stats holds totals over all runs, including those no longer kept.
type Stats struct {
	Running    int64 `json:"running"`
	Started    int64 `json:"started"`
	Ended      int64 `json:"ended"`
	BusySlotMS int64 `json:"busy_slot_ms"`
	Tokens     int64 `json:"tokens"`
}

// Log keeps the most recent runs.
type Log struct {
	mu        sync.Mutex
	limit     int
	ring      []*Handle
	stats     Stats
	startTime time.Time
	busyTime  time.Duration // of ended runs
	startSum  time.Duration // sum of the start times of the runs in progress, relative to origin

	journal *json.Encoder // nil: none
}

// Line is one line of a journal: a run at its start or at its end.
type Line struct {
	// Born is the start time of the process, in Unix nanoseconds. It distinguishes
	// the processes that write to the same journal.
	Born int64 `json:"born"`
	Run
}

// Handle records the progress of one run.
type Handle struct {
	log   *Log
	run   Run
	start time.Duration
	sum   hash.Hash // nil once ended
}

// NewLog returns a log of at most keep runs (at least one).
func NewLog(keep int) *Log { return &Log{limit: max(keep, 1), startTime: time.Now()} }

// Journal makes the log also write each start and end to w, so that the
// record survives the process. It must be called before the first run.
func (l *Log) Journal(w io.Writer) {
	if w != nil {
		l.journal = json.NewEncoder(w)
	}
}

func (l *Log) writeLine(run Run) {
	if l.journal != nil {
		_ = l.journal.Encode(Line{Born: l.startTime.UnixNano(), Run: run})
	}
}

// Start records the start of a run of r.
func (l *Log) Start(r *http.Request) *Handle {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &Handle{log: l, start: time.Since(l.startTime), sum: sha256.New()}
	h.run = Run{
		Number: l.stats.Started, RequestID: r.Header.Get("X-Request-Id"), CallID: r.Header.Get("X-Call-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), Team: r.Header.Get("X-Team"),
		StartedMS: time.Now().UnixMilli(), State: Running,
	}
	if len(l.ring) < l.limit {
		l.ring = append(l.ring, h)
	} else {
		l.ring[l.stats.Started%int64(l.limit)] = h
	}
	l.stats.Started++
	l.stats.Running++
	l.startSum += h.start
	l.writeLine(h.run)
	return h
}

// Number returns the run's sequence number, starting at 0.
func (h *Handle) Number() int64 { return h.run.Number }

// Write adds body to the run's byte count and checksum. It never fails.
func (h *Handle) Write(body []byte) (int, error) {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	if h.sum != nil {
		h.run.Bytes += int64(len(body))
		_, _ = h.sum.Write(body)
	}
	return len(body), nil
}

// AddPrompt adds n uncached prompt tokens to the run's cost.
func (h *Handle) AddPrompt(n int64) {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	h.run.CostTokens += n
	h.run.PromptTokens += n
	h.log.stats.Tokens += n
}

// AddTokens adds n generated tokens to the run's cost.
func (h *Handle) AddTokens(n int64) {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	h.run.CostTokens += n
	h.log.stats.Tokens += n
}

// End records the end of the run. Only the first call has an effect.
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
	l.startSum -= h.start
	l.busyTime += time.Since(l.startTime) - h.start
	l.writeLine(h.run)
}

// Runs returns the kept runs whose number is at least from, in start order.
func (l *Log) Runs(from int64) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Run{}
	first := max(l.stats.Started-int64(len(l.ring)), from)
	for n := first; n < l.stats.Started; n++ {
		h := l.ring[n%int64(l.limit)]
		run := h.run
		if h.sum != nil {
			run.SHA256 = hex.EncodeToString(h.sum.Sum(nil))
		}
		out = append(out, run)
	}
	return out
}

// Stats returns the totals up to now, including the runs in progress.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	running := time.Duration(stats.Running)*time.Since(l.startTime) - l.startSum
	stats.BusySlotMS = (l.busyTime + running).Milliseconds()
	return stats
}

// ServeRuns handles GET /admin/runs; the query parameter "from" is the first run number to return.
func (l *Log) ServeRuns(w http.ResponseWriter, r *http.Request) {
	from, _, err := reply.Uint(r, "from")
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "from must be a whole number")
		return
	}
	reply.JSON(w, http.StatusOK, map[string]any{"runs": l.Runs(int64(from))})
}

// ServeStats handles GET /admin/stats.
func (l *Log) ServeStats(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, l.Stats())
}
