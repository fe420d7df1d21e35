package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/wire"
)

// Guards against cancelling a stream that is only idle, and against keeping a
// broken one. A silent stream is cancelled after two failed checks in a row: no
// answer, an attempt that is not running, or more bytes than were received.
func TestSilentStreamIsCancelledOnlyIfBroken(t *testing.T) {
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
		"bytes missing":    {[]*wire.SettleResponse{more, more}, true},
		"in transit":       {[]*wire.SettleResponse{more, running}, false},
		"ended, no end":    {[]*wire.SettleResponse{ended, ended}, true},
		"waits for a slot": {[]*wire.SettleResponse{{Fate: wire.Fate_FATE_WAITING}, {Fate: wire.Fate_FATE_WAITING}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cancelled := false
			s := &silenceWatch{timer: time.NewTimer(time.Hour), cancel: func() { cancelled = true }}
			defer s.stop()
			s.arm(7)
			for _, answer := range test.answers {
				s.check(func() *wire.SettleResponse { return answer })
			}
			qt.Assert(t, cancelled, qt.Equals, test.cancels)
		})
	}
}
