package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Report is a router's evidence that is new since its last report. Receivers add it to theirs, so that they
// need no state of the sender, and a lost report costs its evidence only.
type Report struct {
	// Age is the time since the report was made.
	Age     time.Duration
	Servers []Evidence
}

// Evidence is a number of prompt tokens that a server prefilled and the time per token in milliseconds.
type Evidence struct {
	Server    ServerID
	Tokens    float64
	TokenTime float64
}

// TakeReport returns the servers with the most new evidence. The rest stays for the next report.
func (s *State) TakeReport(now time.Time) Report {
	var out []Evidence
	for id, srv := range s.servers {
		tokens := srv.unsent.tokens * srv.unsent.weight(now, s.cfg.Decay)
		if tokens >= s.cfg.Sharing.MinTokens && srv.InUse(now) {
			out = append(out, Evidence{Server: id, Tokens: tokens, TokenTime: srv.unsent.ms / srv.unsent.tokens})
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Server, b.Server))
	})
	out = out[:min(len(out), s.cfg.Sharing.MaxServers)]
	for _, one := range out {
		s.servers[one.Server].unsent = evidence{}
	}
	return Report{Servers: out}
}

// Merge adds another router's report. Servers that are not known here are left out, and values that are not
// plausible are limited like observations.
func (s *State) Merge(now time.Time, r Report) {
	weight := math.Exp(-float64(max(r.Age, 0)) / float64(s.cfg.Decay))
	for _, one := range r.Servers {
		srv := s.servers[one.Server]
		if srv == nil || !srv.InUse(now) || !(one.Tokens > 0) || !(one.TokenTime > 0) {
			continue
		}
		tokens := min(one.Tokens, s.cfg.MaxServerEvidence/2) * weight
		srv.add(now, tokens, srv.plausible(now, one.TokenTime))
	}
}
