package admission

import "time"

// Holding tells that a server read a shared part.
//
// The pattern that it answers: each router sees a small part of the requests,
// so that it seldom knows from its own which server holds a document, and has
// it read once more. Routers tell each other, each part of a server once in
// half of the time for which it is believed.
type Holding struct {
	Server ServerID
	Part   uint64
}

// Bounds of what routers tell of parts.
const (
	// maxHoldings goes into one digest, 768 bytes of a datagram.
	maxHoldings = 64
	// maxUntold waits for the next digests; more is left out, which costs a
	// reading at the most.
	maxUntold = 1024
)

// use notes that the server reads the parts, and which of them the next digest
// tells.
func (s *State) use(now time.Time, one *server, parts []Part) {
	for _, part := range parts {
		one.use(now, part.ID, s.cfg.BeliefTime)
		if part.Tokens < s.cfg.TellTokens*s.routers || len(s.untold) >= maxUntold {
			continue
		}
		if one.telling(now, part.ID, s.cfg.BeliefTime/2) {
			s.untold = append(s.untold, Holding{Server: one.number, Part: part.ID})
		}
	}
}

// nextHoldings returns what the next digest tells.
func (s *State) nextHoldings() []Holding {
	if len(s.untold) == 0 {
		return nil
	}
	n := min(len(s.untold), maxHoldings)
	out := s.untold[:n:n]
	s.untold = s.untold[n:]
	return out
}

// toldHoldings takes what another router told.
func (s *State) toldHoldings(now time.Time, holdings []Holding) {
	for _, h := range holdings {
		if one := s.numbers[h.Server]; one != nil {
			one.use(now, h.Part, s.cfg.BeliefTime)
			one.telling(now, h.Part, 0)
		}
	}
}
