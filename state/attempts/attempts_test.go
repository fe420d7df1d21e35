package attempts_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/state/attempts"
)

var epoch = time.Unix(1_000_000, 0)

func id(n uint32) attempts.ID { return attempts.ID{Request: "r", Number: n} }

func TestUnseenAttemptIsBlockedWhenQueried(t *testing.T) {
	c := qt.New(t)
	table := attempts.New(attempts.DefaultConfig())
	c.Assert(table.Settle(epoch, id(1), time.Second).Phase, qt.Equals, attempts.Blocked)
	c.Assert(table.Offer(epoch.Add(time.Minute), id(1)), qt.Equals, attempts.Blocked)
	c.Assert(table.Start(id(1)), qt.IsFalse)
}

func TestSettleDeclinesQueuedAttempt(t *testing.T) {
	c := qt.New(t)
	table := attempts.New(attempts.DefaultConfig())
	c.Assert(table.Offer(epoch, id(1)), qt.Equals, attempts.Unseen)
	c.Assert(table.Peek(id(1)).Phase, qt.Equals, attempts.Offered)
	c.Assert(table.Settle(epoch, id(1), 0).Phase, qt.Equals, attempts.Declined)
	c.Assert(table.Start(id(1)), qt.IsFalse)
}

func TestEvictedAttemptIsReportedAsUnsure(t *testing.T) {
	c := qt.New(t)
	cfg := attempts.DefaultConfig()
	cfg.MaxKnown = 2
	table := attempts.New(cfg)
	for n := uint32(1); n <= 4; n++ {
		at := epoch.Add(time.Duration(n) * time.Second)
		table.Offer(at, id(n))
		table.Start(id(n))
		table.End(at, id(n), 0)
	}
	now := epoch.Add(10 * time.Second)
	c.Assert(table.Settle(now, id(1), 9*time.Second).Phase, qt.Equals, attempts.Unsure)
	c.Assert(table.Settle(now, id(4), 6*time.Second).Phase, qt.Equals, attempts.Ended)
	// An attempt that was sent after the last evicted one is known not to have
	// arrived.
	c.Assert(table.Settle(now, id(9), time.Second).Phase, qt.Equals, attempts.Blocked)
}

func TestFullBlockListReturnsUnsure(t *testing.T) {
	c := qt.New(t)
	cfg := attempts.DefaultConfig()
	cfg.MaxBlocked = 1
	table := attempts.New(cfg)
	c.Assert(table.Settle(epoch, id(1), 0).Phase, qt.Equals, attempts.Blocked)
	c.Assert(table.Settle(epoch, id(2), 0).Phase, qt.Equals, attempts.Unsure)
	c.Assert(table.Settle(epoch.Add(cfg.BlockFor), id(2), 0).Phase, qt.Equals, attempts.Blocked)
}

// Guards against running a request twice: an attempt that was reported to a
// router as declined must stay denied when it is offered again, even after other
// attempts have filled the table.
func TestDeniedAttemptIsNotEvictedWhenTableIsFull(t *testing.T) {
	c := qt.New(t)
	cfg := attempts.DefaultConfig()
	cfg.MaxKnown, cfg.MaxBlocked = 1, 1
	table := attempts.New(cfg)
	table.Offer(epoch, id(1))
	c.Assert(table.Settle(epoch, id(1), 0).Phase, qt.Equals, attempts.Declined)
	table.Offer(epoch, id(4))
	// The list of denied attempts is full, so the result is Unsure.
	c.Assert(table.Settle(epoch, id(4), 0).Phase, qt.Equals, attempts.Unsure)
	c.Assert(table.Offer(epoch, id(1)), qt.Equals, attempts.Declined)
	c.Assert(table.Start(id(1)), qt.IsFalse)
	c.Assert(table.Offer(epoch.Add(cfg.BlockFor), id(1)), qt.Equals, attempts.Unseen)
}

func TestRetainedAnswersAreBounded(t *testing.T) {
	c := qt.New(t)
	cfg := attempts.DefaultConfig()
	cfg.AnswerBytes = 100
	table := attempts.New(cfg)
	var dropped []attempts.ID
	for n := uint32(1); n <= 3; n++ {
		table.Offer(epoch, id(n))
		table.Start(id(n))
		dropped = append(dropped, table.End(epoch, id(n), 40)...)
	}
	c.Assert(dropped, qt.DeepEquals, []attempts.ID{id(1)})
	c.Assert(table.Settle(epoch, id(1), 0), qt.Equals, attempts.Fate{Phase: attempts.Ended})
	c.Assert(table.Settle(epoch, id(3), 0), qt.Equals, attempts.Fate{Phase: attempts.Ended, AnswerKept: true})
	c.Assert(table.Expire(epoch.Add(cfg.AnswerFor)), qt.DeepEquals, []attempts.ID{id(2), id(3)})
	c.Assert(table.AnswerBytes(), qt.Equals, int64(0))
}

// An attempt that ran is never reported as blocked or declined, whatever was
// evicted, and an attempt that was reported so never starts afterwards.
func TestAttemptThatRanIsNeverReportedAsDenied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := attempts.DefaultConfig()
		cfg.MaxKnown = rapid.IntRange(1, 4).Draw(t, "known")
		cfg.MaxBlocked = rapid.IntRange(1, 4).Draw(t, "blocked")
		table := attempts.New(cfg)
		now := epoch
		sent := map[uint32]time.Time{}
		ran, denied := map[uint32]bool{}, map[uint32]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Second)
			n := uint32(rapid.IntRange(1, 12).Draw(t, "attempt"))
			if _, ok := sent[n]; !ok {
				sent[n] = now
			}
			if now.Sub(sent[n]) >= cfg.BlockFor {
				continue // routers do not retain a request this long
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				table.Offer(now, id(n))
			case 1:
				if table.Start(id(n)) {
					if denied[n] {
						t.Fatalf("attempt %d starts after it was denied", n)
					}
					ran[n] = true
				}
			case 2:
				table.End(now, id(n), 10)
			case 3:
				p := table.Settle(now, id(n), now.Sub(sent[n])).Phase
				if p == attempts.Blocked || p == attempts.Declined {
					if ran[n] {
						t.Fatalf("attempt %d ran but is reported as %v", n, p)
					}
					denied[n] = true
				}
			}
		}
	})
}
