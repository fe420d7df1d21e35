package sidecar

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/wire"
	"goldcrestport/state/attempts"
)

// fates maps phases to their wire values. All other phases are unspecified.
var fates = map[attempts.Phase]wire.Fate{
	attempts.Offered:  wire.Fate_FATE_WAITING,
	attempts.Declined: wire.Fate_FATE_DECLINED,
	attempts.Blocked:  wire.Fate_FATE_BLOCKED,
	attempts.Running:  wire.Fate_FATE_RUNNING,
	attempts.Ended:    wire.Fate_FATE_ENDED,
}

// Settle implements wire.DRPCSidecarServer.
func (s *Sidecar) Settle(_ context.Context, req *wire.SettleRequest) (*wire.SettleResponse, error) {
	if req.Attempt == nil {
		return nil, errors.New("settle: no attempt")
	}
	runs := s.runs.Load()
	out := &wire.SettleResponse{Incarnation: runs.incarnation}
	if req.Attempt.Incarnation != runs.incarnation {
		// Attempts of another incarnation are unknown here and cannot be
		// blocked.
		out.Fate = wire.Fate_FATE_OTHER_INCARNATION
		return out, nil
	}
	fate := runs.settle(req)
	out.Fate, out.AnswerKept = fates[fate.Phase], fate.AnswerKept
	if a := runs.find(idOf(req.Attempt)); a != nil {
		out.Length = a.response.length()
	}
	return out, nil
}
