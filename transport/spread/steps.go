package spread

import (
	"encoding/json"
	"sync"

	"goldcrestport/state/config"
)

// maxSteps is the number of encoded patches kept for peers that are behind.
const maxSteps = 64

// step is a patch from one revision to a later one.
type step struct {
	From       uint64             `json:"from"`
	To         uint64             `json:"to"`
	Patch      config.Patch       `json:"patch"`
	Back       *config.Patch      `json:"back,omitempty"`
	PlanDigest string             `json:"plan_digest,omitempty"`
	Accepted   *config.Acceptance `json:"accepted,omitempty"`
}

// apply returns the document that results from applying the step to base.
func (st step) apply(base *config.Document) *config.Document {
	next := st.Patch.Apply(base)
	next.Revision = st.To
	next.PlanDigest = st.PlanDigest
	next.Accepted = st.Accepted
	next.Back = st.Back
	return next
}

// steps keeps the most recent steps, encoded.
type steps struct {
	mu   sync.Mutex
	kept []encodedStep
}

type encodedStep struct {
	from, to uint64
	data     []byte
}

// add appends the step between two documents that were in force in succession.
func (s *steps) add(from, to *config.Document) {
	st := step{
		From:       from.Revision,
		To:         to.Revision,
		Patch:      config.Between(from, to),
		Back:       to.Back,
		PlanDigest: to.PlanDigest,
		Accepted:   to.Accepted,
	}
	data, err := json.Marshal(st)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		// Without this step the chain has a gap: drop it, so that peers receive
		// the whole document.
		s.kept = nil
		return
	}
	s.kept = append(s.kept, encodedStep{from: st.From, to: st.To, data: data})
	if over := len(s.kept) - maxSteps; over > 0 {
		s.kept = append(s.kept[:0:0], s.kept[over:]...)
	}
}

// since returns the steps from one revision to another, and false if some of them
// are no longer kept or there are none.
func (s *steps) since(from, to uint64) ([][]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]byte
	at := from
	for _, st := range s.kept {
		if st.from == at && st.to <= to {
			out = append(out, st.data)
			at = st.to
		}
	}
	return out, at == to && len(out) > 0
}
