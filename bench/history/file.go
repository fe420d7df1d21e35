package history

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// line is one line of a history file; one field is set.
type line struct {
	Call      *Call      `json:"call,omitempty"`
	Operation *Operation `json:"operation,omitempty"`
	Run       *Run       `json:"run,omitempty"`
	Fault     *Fault     `json:"fault,omitempty"`
	Leave     *Leave     `json:"leave,omitempty"`
	Change    *Change    `json:"change,omitempty"`
	InForce   *InForce   `json:"in_force,omitempty"`
}

// Write writes the history as JSON lines.
func (h *History) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	for _, l := range h.lines() {
		if err := enc.Encode(l); err != nil {
			return errors.Wrap(err, "write history")
		}
	}
	return out.Flush()
}

func (h *History) lines() []line {
	var out []line
	for i := range h.Operations {
		out = append(out, line{Operation: &h.Operations[i]})
	}
	for i := range h.Calls {
		out = append(out, line{Call: &h.Calls[i]})
	}
	for i := range h.Runs {
		out = append(out, line{Run: &h.Runs[i]})
	}
	for i := range h.Faults {
		out = append(out, line{Fault: &h.Faults[i]})
	}
	for i := range h.Leaves {
		out = append(out, line{Leave: &h.Leaves[i]})
	}
	for i := range h.Changes {
		out = append(out, line{Change: &h.Changes[i]})
	}
	for i := range h.InForce {
		out = append(out, line{InForce: &h.InForce[i]})
	}
	return out
}

// Read reads a history that Write wrote.
func Read(r io.Reader) (*History, error) {
	h := &History{}
	dec := json.NewDecoder(r)
	for dec.More() {
		var l line
		if err := dec.Decode(&l); err != nil {
			return nil, errors.Wrap(err, "read history")
		}
		h.addLine(l)
	}
	return h, nil
}

func (h *History) addLine(l line) {
	switch {
	case l.Operation != nil:
		h.Add(*l.Operation)
	case l.Call != nil:
		h.Add(*l.Call)
	case l.Run != nil:
		h.Add(*l.Run)
	case l.Fault != nil:
		h.Add(*l.Fault)
	case l.Leave != nil:
		h.Add(*l.Leave)
	case l.Change != nil:
		h.Add(*l.Change)
	case l.InForce != nil:
		h.Add(*l.InForce)
	}
}
