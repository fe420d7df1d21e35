// Package lateness measures by how much a process lags in reading its input. It writes
// timestamps into a pipe, which are read as late as any other input. Timers cannot measure this,
// as the runtime serves them before it polls connections.
//
// It is used by direct routers.
package lateness

import (
	"context"
	"encoding/binary"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Interval is the time between two measurements.
const Interval = 25 * time.Millisecond

// Watch calls take with each measurement until ctx ends, one call at a time. For a measurement
// that is not complete it reports the lateness so far.
func Watch(ctx context.Context, report func(now time.Time, late time.Duration)) error {
	out, in, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "pipe")
	}
	defer out.Close()
	watch(ctx, out, in, report)
	return nil
}

// watcher measures with the two ends of a pipe. At each send, it reports the lateness so far of
// the oldest timestamp that is still unread.
type watcher struct {
	out    io.Reader
	in     io.WriteCloser
	report func(now time.Time, late time.Duration)
	start  time.Time

	// reporting is held while report is called.
	reporting sync.Mutex

	mu sync.Mutex
	// unread holds the timestamps, as times since start, that were sent and not read, in
	// order.
	unread []time.Duration
}

// watch measures until ctx ends.
func watch(ctx context.Context, out io.Reader, in io.WriteCloser, report func(now time.Time, late time.Duration)) {
	w := &watcher{out: out, in: in, report: report, start: time.Now()}
	go w.send(ctx)
	var b [8]byte
	for {
		if _, err := out.Read(b[:]); err != nil {
			// The sending end is closed when ctx ends.
			return
		}
		w.complete(time.Duration(binary.LittleEndian.Uint64(b[:])))
	}
}

// complete ends the oldest measurement and reports it.
func (w *watcher) complete(sent time.Duration) {
	w.mu.Lock()
	if len(w.unread) > 0 {
		w.unread = w.unread[1:]
	}
	w.mu.Unlock()
	w.reporting.Lock()
	defer w.reporting.Unlock()
	now := time.Now()
	w.report(now, now.Sub(w.start)-sent)
}

// reportOverdue reports the lateness so far of the oldest incomplete measurement, unless another
// report is in progress.
func (w *watcher) reportOverdue() {
	w.mu.Lock()
	unread := len(w.unread)
	var oldest time.Duration
	if unread > 0 {
		oldest = w.unread[0]
	}
	w.mu.Unlock()
	if unread == 0 || !w.reporting.TryLock() {
		return
	}
	defer w.reporting.Unlock()
	now := time.Now()
	w.report(now, now.Sub(w.start)-oldest)
}

// send periodically writes the time since start into the pipe.
func (w *watcher) send(ctx context.Context) {
	defer w.in.Close()
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	var b [8]byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.reportOverdue()
		now := time.Since(w.start)
		w.mu.Lock()
		w.unread = append(w.unread, now)
		w.mu.Unlock()
		binary.LittleEndian.PutUint64(b[:], uint64(now))
		if _, err := w.in.Write(b[:]); err != nil {
			return
		}
	}
}
