package roster

import (
	"slices"
	"strings"
	"time"
)

// Announced takes that the incarnation said itself, in an answer to this router, that
// it leaves. That holds whatever its entries say, now or later: they may be older, and
// cannot change while the store is away.
func (r *Roster) Announced(id string, incarnation Incarnation) []Change {
	known, drained := r.latest(id)
	if incarnation < known || incarnation == known && drained {
		return nil
	}
	e := r.entries[id]
	if e == nil || incarnation > known {
		changes := r.drop(id, ReasonRestarted)
		r.formers[id] = former{incarnation: incarnation, drained: true, announced: true}
		return changes
	}
	e.server.Draining = true
	r.announced[id] = true
	return e.set(false, ReasonAnnounced)
}

// recall takes up what is known of a server whose entry comes back: the others may not
// know that it leaves.
func (r *Roster) recall(s Server) {
	if f := r.formers[s.ID]; f.announced && f.incarnation == s.Incarnation {
		r.announced[s.ID] = true
	}
	delete(r.formers, s.ID)
}

// Told takes another router's word that the incarnation said so to it. It is believed
// for a time, longer while it goes on to be said, and once: what one router got wrong must
// not keep a sound server idle.
func (r *Roster) Told(now time.Time, id string, incarnation Incarnation) []Change {
	e := r.entries[id]
	if e == nil || e.server.Draining || e.server.Incarnation != incarnation {
		return nil
	}
	if !e.toldUntil.IsZero() {
		if now.Sub(e.toldLast) <= r.cfg.WordGap {
			e.toldLast = now
		}
		return nil
	}
	e.told, e.toldLast = true, now
	e.toldUntil, e.toldMost = now.Add(r.cfg.WordTime), now.Add(r.cfg.WordMost)
	return e.set(false, ReasonTold)
}

// wordEnds reports whether the word of another router counts no longer.
func (r *Roster) wordEnds(now time.Time, e *entry) bool {
	goesOn := now.Sub(e.toldLast) <= r.cfg.WordGap && now.Before(e.toldMost)
	return !now.Before(e.toldUntil) && !goesOn
}

// endWords ends the time in which other routers' words count.
func (r *Roster) endWords(now time.Time) []Change {
	var changes []Change
	for _, e := range r.entries {
		if e.told && r.wordEnds(now, e) {
			e.told = false
			changes = append(changes, e.set(r.isFree(e), ReasonUnconfirmed)...)
		}
	}
	return changes
}

// Leaving returns the servers that told this router that they leave and have an entry
// yet, by their ids: what it tells the others.
func (r *Roster) Leaving() []Server {
	var out []Server
	for id := range r.announced {
		out = append(out, r.entries[id].server)
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Drained returns the number of servers that have an entry and get nothing because
// they leave, by the store, their own answers or another router.
func (r *Roster) Drained() int {
	n := 0
	for _, e := range r.entries {
		if e.server.Draining || e.told {
			n++
		}
	}
	return n
}
