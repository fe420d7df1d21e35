package admission

import "time"

// Holding says that a server read a shared part.
//
// The pattern that it answers: each router sees a small part of the requests,
// so that it seldom knows from its own which server holds a document, and has
// it read once more. So routers announce holdings to each other, each once in
// half of the time for which it is believed.
type Holding struct {
	Server ServerID
	Part   uint64
}

// Bounds of announcements.
const (
	// maxHoldings goes into one digest, 768 bytes of a datagram.
	maxHoldings = 64
	// maxUnannounced waits for the next digests; more is left out, which costs a
	// reading at the most.
	maxUnannounced = 1024
)

// use notes that the server reads the parts, and which of them the next digest
// announces.
func (s *State) use(now time.Time, one *server, parts []Part) {
	for _, part := range parts {
		one.use(now, part.ID, s.cfg.BeliefTime)
		if part.Tokens < s.cfg.AnnounceTokens*s.routers || len(s.unannounced) >= maxUnannounced {
			continue
		}
		if one.announce(now, part.ID, s.cfg.BeliefTime/2) {
			s.unannounced = append(s.unannounced, Holding{Server: one.number, Part: part.ID})
		}
	}
}

// dueHoldings returns what the next digest announces.
func (s *State) dueHoldings() []Holding {
	if len(s.unannounced) == 0 {
		return nil
	}
	n := min(len(s.unannounced), maxHoldings)
	out := s.unannounced[:n:n]
	s.unannounced = s.unannounced[n:]
	return out
}

// learnHoldings takes what another router announced.
func (s *State) learnHoldings(now time.Time, holdings []Holding) {
	for _, h := range holdings {
		if one := s.numbers[h.Server]; one != nil {
			one.use(now, h.Part, s.cfg.BeliefTime)
			one.announce(now, h.Part, 0)
		}
	}
}
