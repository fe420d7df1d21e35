package inforce

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/fleet"
)

// life is one run of one process.
type life struct {
	process *fleet.Process
	start   time.Time
	// end is when it was killed, zero while it runs.
	end time.Time
	// inForce holds the revisions in the order in which they came in force.
	inForce []moment
}

// moment is when a revision came in force in a process.
type moment struct {
	at       time.Time
	revision uint64
}

// readLog sorts the process's log lines to its lives.
func readLog(dir string, lives []*life) error {
	f, err := os.Open(filepath.Join(dir, lives[0].process.Name+".log"))
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer f.Close()
	scan := bufio.NewScanner(f)
	for scan.Scan() {
		m, ok := parseLine(scan.Text())
		if !ok {
			continue
		}
		for _, l := range lives {
			if m.at.After(l.start) && (l.end.IsZero() || m.at.Before(l.end)) {
				l.inForce = append(l.inForce, m)
			}
		}
	}
	return scan.Err()
}

// parseLine reads a key=value line that tells of a revision in force.
func parseLine(line string) (moment, bool) {
	if !strings.Contains(line, "event=config_in_force") {
		return moment{}, false
	}
	at, err1 := time.Parse(time.RFC3339Nano, value(line, "ts="))
	revision, err2 := strconv.ParseUint(value(line, "revision="), 10, 64)
	return moment{at: at, revision: revision}, err1 == nil && err2 == nil
}

func value(line, key string) string {
	_, rest, _ := strings.Cut(line, key)
	v, _, _ := strings.Cut(rest, " ")
	return v
}

// change is an accepted revision.
type change struct {
	revision uint64
	at       time.Time
}

// reached returns how long after the change the life had it in force. The
// second value is false if the life does not count: it ended too soon.
func (l *life) reached(c change, bound time.Duration) (time.Duration, bool) {
	from := c.at
	if l.start.After(from) {
		from = l.start
	}
	for _, m := range l.inForce {
		if m.revision >= c.revision {
			return max(m.at.Sub(from), 0), true
		}
	}
	if !l.end.IsZero() && l.end.Sub(from) < bound {
		return 0, false
	}
	return bound, true
}

// falls counts the times that a revision in force was lower than the one
// before it.
func (l *life) falls() int {
	n := 0
	for i := 1; i < len(l.inForce); i++ {
		if l.inForce[i].revision <= l.inForce[i-1].revision {
			n++
		}
	}
	return n
}
