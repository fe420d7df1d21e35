// Package ledger keeps the service counters of one pool: what this process
// gave each team, and what other writers say they gave.
//
// A counter has one writer and never falls within one incarnation of that
// writer, so merging is a maximum per writer and incarnation; it may be
// repeated, reordered or lost. coordination/share calls it.
package ledger

import (
	"math"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the identity of the writer and the bounds of the table.
type Config struct {
	// Writer is the name of this process in its own counters. No default.
	Writer string
	// Incarnation tells this run of the writer from earlier ones. No default.
	Incarnation string
	// MaxRemotes bounds the counters of other writers, in counters. Default
	// 65536.
	MaxRemotes int
	// MaxTeams bounds the teams that are learnt from other writers. Default
	// 16384.
	MaxTeams int
	// StaleAfter is how long a counter of another writer is extrapolated
	// without news. Default 30s.
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

// Counter is the service that one writer gave one team.
type Counter struct {
	Writer      string
	Incarnation string
	Team        string
	// Served is the cost given since the incarnation began, in cost units.
	Served float64
}

// News says what a merged counter changed.
type News int

// Kinds of News.
const (
	// Nothing: an old, repeated or own counter.
	Nothing News = iota
	// First: the first word of a writer, or of a new incarnation, on a team.
	First
	// Fresh: the next word of a writer that is extrapolated.
	Fresh
	// Late: a word after the writer was no longer extrapolated.
	Late
)

// team is what is known of one team.
type team struct {
	own     float64
	remotes map[string]*remote
	// known is the cost that other writers gave after their first word.
	known float64
	// fresh counts the extrapolated writers; ownAt sums the own counter at
	// the time of their last words.
	fresh int
	ownAt float64
}

// remote is the last word of another writer on one team.
type remote struct {
	incarnation string
	retired     string
	served      float64
	ownAt       float64
	heard       time.Time
	fresh       bool
}

// Ledger is the table. It must be used by one goroutine at a time.
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

// Add charges cost that this process gave the team; it must not be negative.
func (l *Ledger) Add(name string, cost float64) { l.team(name).own += cost }

// Own returns the team's own counter.
func (l *Ledger) Own(name string) float64 {
	if t := l.teams[name]; t != nil {
		return t.own
	}
	return 0
}

// Others returns what other writers gave the team since their first word, each
// extrapolated from its last word by what this process gave since, and the
// number of writers so extrapolated.
func (l *Ledger) Others(name string) (cost float64, fresh int) {
	t := l.teams[name]
	if t == nil {
		return 0, 0
	}
	return t.known + float64(t.fresh)*t.own - t.ownAt, t.fresh
}

// Tellers returns the number of other writers that told of the team.
func (l *Ledger) Tellers(name string) int {
	if t := l.teams[name]; t != nil {
		return len(t.remotes)
	}
	return 0
}

// Merge takes in one counter that was heard at the time now.
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
		l.makeRoom()
		r = &remote{incarnation: c.Incarnation, served: c.Served}
		t.remotes[c.Writer] = r
		l.remotes++
		t.refresh(r, now)
		return First
	case r.retired == c.Incarnation:
		return Nothing
	case r.incarnation != c.Incarnation:
		t.settleAsPresumed(r)
		r.retired, r.incarnation, r.served = r.incarnation, c.Incarnation, c.Served
		t.refresh(r, now)
		return First
	case c.Served < r.served:
		return Nothing
	}
	news := Late
	if r.fresh {
		news = Fresh
	}
	t.known += c.Served - r.served
	r.served = c.Served
	t.refresh(r, now)
	return news
}

// refresh makes now the time of the writer's last word.
func (t *team) refresh(r *remote, now time.Time) {
	t.stop(r)
	r.fresh, r.ownAt, r.heard = true, t.own, now
	t.fresh++
	t.ownAt += r.ownAt
}

// stop ends the extrapolation of the writer.
func (t *team) stop(r *remote) {
	if r.fresh {
		r.fresh = false
		t.fresh--
		t.ownAt -= r.ownAt
	}
}

// settleAsPresumed counts the extrapolated cost as given, since the writer's
// old incarnation cannot tell any more.
func (t *team) settleAsPresumed(r *remote) {
	if r.fresh {
		t.known += t.own - r.ownAt
	}
	t.stop(r)
}

// forgetFactor is after how many times StaleAfter a silent writer is dropped.
const forgetFactor = 10

// Expire stops the extrapolation of writers without news for StaleAfter, and
// drops those that were silent for much longer. What they gave stays counted.
func (l *Ledger) Expire(now time.Time) {
	for _, t := range l.teams {
		for writer, r := range t.remotes {
			silent := now.Sub(r.heard)
			if r.fresh && silent > l.cfg.StaleAfter {
				t.stop(r)
			}
			if silent > forgetFactor*l.cfg.StaleAfter {
				delete(t.remotes, writer)
				l.remotes--
			}
		}
	}
}

// makeRoom drops the counter that was heard longest ago when the table is
// full. What it added stays counted; its next word counts as its first.
func (l *Ledger) makeRoom() {
	if l.remotes < l.cfg.MaxRemotes {
		return
	}
	var from *team
	var writer string
	var oldest *remote
	for _, t := range l.teams {
		for w, r := range t.remotes {
			if oldest == nil || r.heard.Before(oldest.heard) {
				from, writer, oldest = t, w, r
			}
		}
	}
	from.stop(oldest)
	delete(from.remotes, writer)
	l.remotes--
}

// OwnCounter returns this process's counter of the team.
func (l *Ledger) OwnCounter(name string) Counter {
	return Counter{Writer: l.cfg.Writer, Incarnation: l.cfg.Incarnation, Team: name, Served: l.Own(name)}
}

// All returns every counter that is known, sorted by team and writer, own ones
// first.
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
