package observe

import (
	"expvar"
	"io"
	"sync/atomic"
	"time"
)

// queueCapacity bounds the lines queued for a slow writer.
const queueCapacity = 1024

// Writer queues lines for a slower writer and never blocks: when the reader of
// the log stalls, lines are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped expvar.Int
	// pending counts the lines that were accepted and not written yet.
	pending atomic.Int64
	// flushRequested ends the batching delay early.
	flushRequested chan struct{}
}

// NewWriter returns a non-blocking writer that forwards lines to w.
func NewWriter(w io.Writer) *Writer {
	out := &Writer{lines: make(chan []byte, queueCapacity), flushRequested: make(chan struct{}, 1)}
	go out.run(w)
	return out
}

// Write queues one line, or drops it if the queue is full. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	w.pending.Add(1)
	select {
	case w.lines <- queued:
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Value() }

// flushPollInterval is the interval at which Flush checks for pending lines.
const flushPollInterval = time.Millisecond

// Flush waits until the pending lines are written, for the bound at most. It
// reports whether they were.
func (w *Writer) Flush(bound time.Duration) bool {
	for end := time.Now().Add(bound); w.pending.Load() > 0; time.Sleep(flushPollInterval) {
		if time.Now().After(end) {
			return false
		}
		select {
		case w.flushRequested <- struct{}{}:
		default:
		}
	}
	return true
}

// batchDelay is how long lines are collected before they are written together: on
// small instances, a wake-up and a write per line would cost more than the line.
const batchDelay = 100 * time.Millisecond

// maxBatchBytes is the size at which a batch of lines is written.
const maxBatchBytes = 64 << 10

func (w *Writer) run(to io.Writer) {
	for line := range w.lines {
		w.waitForBatch()
		batched := int64(1)
		for more := true; more; {
			select {
			case next := <-w.lines:
				line = append(line, next...)
				batched++
				more = len(line) < maxBatchBytes
			default:
				more = false
			}
		}
		// A failure of the log itself can't be logged.
		_, _ = to.Write(line)
		w.pending.Add(-batched)
	}
}

// waitForBatch waits for further lines, unless the queue is more than half
// full.
func (w *Writer) waitForBatch() {
	if len(w.lines) > queueCapacity/2 {
		return
	}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.flushRequested:
	}
}
