package prove

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/fleet"
	"goldcrestport/bench/history"
)

// journalLine is one line of a backend server's journal.
type journalLine struct {
	Born      int64            `json:"born"`
	Number    int64            `json:"number"`
	RequestID string           `json:"request_id"`
	CallID    string           `json:"call_id"`
	Key       string           `json:"idempotency_key"`
	Team      string           `json:"team"`
	StartedMS int64            `json:"started_ms"`
	State     history.RunState `json:"state"`
	Bytes     int64            `json:"bytes"`
	SHA256    string           `json:"sha256"`
}

// collect adds to the history what backend servers and processes wrote down.
func (w *World) collect() error {
	for _, s := range w.servers {
		if err := w.collectRuns(s); err != nil {
			return err
		}
		if err := w.collectInForce(s.sidecar); err != nil {
			return err
		}
	}
	for _, r := range w.routers {
		if err := w.collectInForce(r.Process); err != nil {
			return err
		}
	}
	return nil
}

// collectRuns joins the starts and ends in a journal, which go on over the
// server's restarts.
func (w *World) collectRuns(s *server) error {
	file, err := os.Open(w.journal(s))
	if err != nil {
		return errors.Wrap(err, "journal")
	}
	defer file.Close()
	type name struct{ born, number int64 }
	last := map[name]journalLine{}
	dec := json.NewDecoder(file)
	for {
		var l journalLine
		err := dec.Decode(&l)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrapf(err, "journal of %s", s.name)
		}
		last[name{l.Born, l.Number}] = l
	}
	for _, l := range last {
		w.History.Add(history.Run{
			Server: s.name, CallID: l.CallID, RequestID: l.RequestID, Key: l.Key, Team: l.Team,
			Started: time.UnixMilli(l.StartedMS), State: l.State, Bytes: l.Bytes, SHA256: l.SHA256,
		})
	}
	return nil
}

// Patterns of log lines.
var (
	servingLine = regexp.MustCompile(`event=serving`)
	inForceLine = regexp.MustCompile(`^ts=(\S+) .*event=config_in_force .*?revision=(\d+)`)
)

// collectInForce reads from a process's log when it put revisions in force.
func (w *World) collectInForce(p *fleet.Process) error {
	file, err := os.Open(filepath.Join(w.fleet.Dir, p.Name+".log"))
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer file.Close()
	lines, start := bufio.NewScanner(file), 0
	for lines.Scan() {
		if servingLine.MatchString(lines.Text()) {
			start++
		}
		m := inForceLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		at, err1 := time.Parse(time.RFC3339Nano, m[1])
		revision, err2 := strconv.ParseUint(m[2], 10, 64)
		if err := errors.CombineErrors(err1, err2); err != nil {
			return errors.Wrapf(err, "log of %s", p.Name)
		}
		w.History.Add(history.InForce{Process: p.Name, Start: start, Revision: revision, At: at})
	}
	return lines.Err()
}
