package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/wire"
)

// A silent stream is given up after two answers in a row that show it broken:
// none, an attempt that is not running, or more bytes than came.
func TestSilentStreamIsGivenUpOnlyIfBroken(t *testing.T) {
	running := &wire.SettleResponse{Fate: wire.Fate_FATE_RUNNING, Length: 7}
	more := &wire.SettleResponse{Fate: wire.Fate_FATE_RUNNING, Length: 8}
	ended := &wire.SettleResponse{Fate: wire.Fate_FATE_ENDED, Length: 7}
	tests := map[string]struct {
		answers []*wire.SettleResponse
		cancels bool
	}{
		"nothing new":      {[]*wire.SettleResponse{running, running, running}, false},
		"no answer once":   {[]*wire.SettleResponse{nil, running, nil}, false},
		"no answer twice":  {[]*wire.SettleResponse{running, nil, nil}, true},
		"more than came":   {[]*wire.SettleResponse{more, more}, true},
		"on its way":       {[]*wire.SettleResponse{more, running}, false},
		"ended, no end":    {[]*wire.SettleResponse{ended, ended}, true},
		"waits for a slot": {[]*wire.SettleResponse{{Fate: wire.Fate_FATE_WAITING}, {Fate: wire.Fate_FATE_WAITING}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cancelled := false
			s := &silence{timer: time.NewTimer(time.Hour), cancel: func() { cancelled = true }}
			defer s.stop()
			s.arm(7)
			for _, answer := range test.answers {
				s.look(func() *wire.SettleResponse { return answer })
			}
			qt.Assert(t, cancelled, qt.Equals, test.cancels)
		})
	}
}
