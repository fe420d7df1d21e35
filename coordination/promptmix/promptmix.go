// Package promptmix decides how long and short prompts share the inference engines of
// one service.
//
// It answers this load: most requests have prompts of some hundred tokens and a short
// objective, some have prompts of tens of thousands and a longer objective. Engines
// prefill in order of arrival, so that one long prompt delays the first token of all
// short ones behind it. One wait limit for all, from the shortest objective, refuses
// long prompts at queues behind which they would have met their own objective. With a
// limit from the own objective alone, long prompts fill all queues to a depth at which
// short ones are refused.
//
// The limit of a long prompt therefore lies between the two. It moves with the fraction
// of short prompts that are crowded: they find a wait beyond the limit of the shortest
// objective at every server they may go to. A long prompt is also sent where it delays the fewest short
// ones: behind other long prompts, where short ones do not go anyway.
//
// A router decides by what it places itself; no messages are needed. The package uses
// no clock and must be used by one goroutine at a time.
package promptmix

import (
	"math"
	"time"
)

// State measures the prompts of one service at one router.
type State struct {
	cfg Config
	// short and crowded count the short prompts and those among them that were crowded.
	short, crowded decayingCount
}

// New returns a State without observed prompts. The config must be valid.
func New(cfg Config) *State { return &State{cfg: cfg} }

// SizeOf returns the size class of a prompt by the time of its prefill. limit is the
// wait limit of the service's shortest objective.
func (s *State) SizeOf(prefill, limit time.Duration) Size {
	if float64(prefill) >= s.cfg.LongShare*float64(limit) {
		return Long
	}
	return Short
}

// ObserveShort records a short prompt that arrived, and whether it was crowded.
func (s *State) ObserveShort(now time.Time, crowded bool) {
	s.short.add(now, s.cfg.Window, 1)
	if crowded {
		s.crowded.add(now, s.cfg.Window, 1)
	}
}

// minShort is the least number of short prompts that the fraction of crowded ones is taken
// of: a few crowded ones after a pause mean little.
const minShort = 5

// Room returns the fraction of their additional wait that long prompts may use.
func (s *State) Room(now time.Time) float64 {
	crowded := s.crowded.at(now, s.cfg.Window) / max(s.short.at(now, s.cfg.Window), minShort)
	used := (crowded - s.cfg.CrowdedLow) / (s.cfg.CrowdedHigh - s.cfg.CrowdedLow)
	return 1 - min(max(used, 0), 1)
}

// LongLimit returns the wait limit of a long prompt: shared is the limit without
// regard to its own objective, own that from its own objective.
func (s *State) LongLimit(now time.Time, shared, own time.Duration) time.Duration {
	if own <= shared {
		return shared
	}
	return shared + time.Duration(s.Room(now)*float64(own-shared))
}

// Placement describes a long prompt at a server to which it may go.
type Placement struct {
	// Wait and Prefill are the estimated times before and of its prefill.
	Wait, Prefill time.Duration
	// ShortLimit is the wait up to which short prompts go to the server.
	ShortLimit time.Duration
	// ShortShare is the number of short prompts that arrive at the server for each one
	// that arrives at this router.
	ShortShare float64
}

// Delay returns the time by which the prompt is expected to delay short ones, summed
// over those that arrive while the server still takes them, with its weight.
func (s *State) Delay(now time.Time, p Placement) time.Duration {
	open := min(max(p.ShortLimit-p.Wait, 0), p.Prefill)
	arrivals := s.short.at(now, s.cfg.Window) / s.cfg.Window.Seconds() * p.ShortShare * open.Seconds()
	// One that arrives during the prefill waits for half of it on average.
	return time.Duration(s.cfg.DelayWeight * arrivals * float64(p.Prefill) / 2)
}

// decayingCount is a count whose entries lose their weight exponentially.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (c *decayingCount) add(now time.Time, window time.Duration, n float64) {
	c.value, c.updatedAt = c.at(now, window)+n, now
}

func (c *decayingCount) at(now time.Time, window time.Duration) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp(-float64(now.Sub(c.updatedAt))/float64(window))
}
