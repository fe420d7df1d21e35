// Package ledger maintains the service counters of one pool: the service that
// this process gave each team, and the service reported by other writers.
//
// A counter has one writer and never decreases within one incarnation of that
// writer. Merging therefore takes the maximum per writer and incarnation, and
// tolerates updates that are repeated, reordered or lost. coordination/share uses
// it.
package ledger

import (
	"math"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Config contains the identity of the writer and the limits of the table.
type Config struct {
	// Writer is the name of this process in its own counters. No default.
	Writer string
	// Incarnation identifies this process lifetime of the writer. No default.
	Incarnation string
	// MaxRemotes limits the number of counters of other writers. Default
	// 65536.
	MaxRemotes int
	// MaxTeams limits the number of teams: updates of other writers add no teams
	// beyond it. Default 16384.
	MaxTeams int
	// StaleAfter is how long a counter of another writer is extrapolated without
	// an update. Default 30s.
	StaleAfter time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{MaxRemotes: 65536, MaxTeams: 16384, StaleAfter: 30 * time.Second}
}

// Validate returns an error that names each field out of range.
func (c Config) Validate() error {
	var err error
	if c.MaxRemotes <= 0 {
		err = errors.CombineErrors(err, errors.New("MaxRemotes must be positive"))
	}
	if c.MaxTeams <= 0 {
		err = errors.CombineErrors(err, errors.New("MaxTeams must be positive"))
	}
	if c.StaleAfter <= 0 {
		err = errors.CombineErrors(err, errors.New("StaleAfter must be positive"))
	}
	return err
}

// Counter is the cumulative service that one writer gave one team.
type Counter struct {
	Writer      string
	Incarnation string
	Team        string
	// Served is the cost served since the incarnation started, in cost units.
	Served float64
}

// News is the effect of merging a counter.
type News int

// Kinds of News.
const (
	// Nothing means that the counter was ignored: it is outdated, invalid, one
	// of this process itself, or beyond MaxTeams.
	Nothing News = iota
	// First means the first update of a writer, or of its new incarnation, for a
	// team.
	First
	// Fresh means an update of a writer that is being extrapolated.
	Fresh
	// Late means an update of a writer that was no longer extrapolated.
	Late
)

// team is the state of one team.
type team struct {
	own     float64
	remotes map[string]*remote
	// othersCost is the cost that other writers served after their first update.
	othersCost float64
	// extrapolated is the number of extrapolated writers; ownAtUpdates is the
	// sum, over these writers, of the own counter at their last update.
	extrapolated int
	ownAtUpdates float64
}

// remote is the last update of another writer for one team.
type remote struct {
	incarnation         string
	previousIncarnation string
	served              float64
	ownAtUpdate         float64
	updatedAt           time.Time
	isExtrapolated      bool
}

// Ledger is the table of counters. It is not safe for concurrent use.
type Ledger struct {
	cfg     Config
	teams   map[string]*team
	remotes int
}

// New returns an empty ledger. The config must be valid.
func New(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, teams: map[string]*team{}}
}

func (l *Ledger) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{remotes: map[string]*remote{}}
		l.teams[name] = t
	}
	return t
}

// Add adds cost that this process served the team; it must not be negative.
func (l *Ledger) Add(name string, cost float64) { l.team(name).own += cost }

// Own returns the team's own counter.
func (l *Ledger) Own(name string) float64 {
	if t := l.teams[name]; t != nil {
		return t.own
	}
	return 0
}

// Others returns the cost that other writers served the team since their first
// update, and the number of extrapolated writers. A writer is extrapolated from
// its last update by the cost that this process has served since then.
func (l *Ledger) Others(name string) (cost float64, extrapolated int) {
	t := l.teams[name]
	if t == nil {
		return 0, 0
	}
	return t.othersCost + float64(t.extrapolated)*t.own - t.ownAtUpdates, t.extrapolated
}

// Tellers returns the number of other writers that reported a counter of the team.
func (l *Ledger) Tellers(name string) int {
	if t := l.teams[name]; t != nil {
		return len(t.remotes)
	}
	return 0
}

// Merge merges a counter that was received at the time now.
func (l *Ledger) Merge(now time.Time, c Counter) News {
	if c.Writer == l.cfg.Writer || c.Team == "" || !(c.Served >= 0) || math.IsInf(c.Served, 1) {
		return Nothing
	}
	if l.teams[c.Team] == nil && len(l.teams) >= l.cfg.MaxTeams {
		return Nothing
	}
	t := l.team(c.Team)
	r := t.remotes[c.Writer]
	switch {
	case r == nil:
		l.evictOldest()
		r = &remote{incarnation: c.Incarnation, served: c.Served}
		t.remotes[c.Writer] = r
		l.remotes++
		t.refresh(r, now)
		return First
	case r.previousIncarnation == c.Incarnation:
		return Nothing
	case r.incarnation != c.Incarnation:
		t.settleExtrapolated(r)
		r.previousIncarnation, r.incarnation, r.served = r.incarnation, c.Incarnation, c.Served
		t.refresh(r, now)
		return First
	case c.Served < r.served:
		return Nothing
	}
	effect := Late
	if r.isExtrapolated {
		effect = Fresh
	}
	t.othersCost += c.Served - r.served
	r.served = c.Served
	t.refresh(r, now)
	return effect
}

// refresh restarts the extrapolation of the writer from an update received now.
func (t *team) refresh(r *remote, now time.Time) {
	t.stopExtrapolation(r)
	r.isExtrapolated, r.ownAtUpdate, r.updatedAt = true, t.own, now
	t.extrapolated++
	t.ownAtUpdates += r.ownAtUpdate
}

// stopExtrapolation stops the extrapolation of the writer.
func (t *team) stopExtrapolation(r *remote) {
	if r.isExtrapolated {
		r.isExtrapolated = false
		t.extrapolated--
		t.ownAtUpdates -= r.ownAtUpdate
	}
}

// settleExtrapolated counts the extrapolated cost as served, since the writer's
// previous incarnation can no longer report it.
func (t *team) settleExtrapolated(r *remote) {
	if r.isExtrapolated {
		t.othersCost += t.own - r.ownAtUpdate
	}
	t.stopExtrapolation(r)
}

// removalFactor is the multiple of StaleAfter after which a writer without updates
// is removed.
const removalFactor = 10

// Expire stops the extrapolation of writers without updates for StaleAfter, and
// removes those without updates for removalFactor times as long. The cost that they
// served stays counted.
func (l *Ledger) Expire(now time.Time) {
	for _, t := range l.teams {
		for writer, r := range t.remotes {
			age := now.Sub(r.updatedAt)
			if r.isExtrapolated && age > l.cfg.StaleAfter {
				t.stopExtrapolation(r)
			}
			if age > removalFactor*l.cfg.StaleAfter {
				delete(t.remotes, writer)
				l.remotes--
			}
		}
	}
}

// evictOldest evicts the least recently updated counter when the table is full. Its
// cost stays counted; the writer's next update is treated as its first.
func (l *Ledger) evictOldest() {
	if l.remotes < l.cfg.MaxRemotes {
		return
	}
	var from *team
	var writer string
	var oldest *remote
	for _, t := range l.teams {
		for w, r := range t.remotes {
			if oldest == nil || r.updatedAt.Before(oldest.updatedAt) {
				from, writer, oldest = t, w, r
			}
		}
	}
	from.stopExtrapolation(oldest)
	delete(from.remotes, writer)
	l.remotes--
}

// OwnCounter returns this process's counter of the team.
func (l *Ledger) OwnCounter(name string) Counter {
	return Counter{Writer: l.cfg.Writer, Incarnation: l.cfg.Incarnation, Team: name, Served: l.Own(name)}
}

// All returns all counters, sorted by team and writer; for each team the own
// counter comes first.
func (l *Ledger) All() []Counter {
	names := make([]string, 0, len(l.teams))
	for name := range l.teams {
		names = append(names, name)
	}
	sort.Strings(names)
	var out []Counter
	for _, name := range names {
		out = append(out, l.OwnCounter(name))
		out = append(out, l.teams[name].counters(name)...)
	}
	return out
}

func (t *team) counters(name string) []Counter {
	out := make([]Counter, 0, len(t.remotes))
	for w, r := range t.remotes {
		out = append(out, Counter{Writer: w, Incarnation: r.incarnation, Team: name, Served: r.served})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Writer < out[j].Writer })
	return out
}
