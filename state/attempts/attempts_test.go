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

func TestUnseenAttemptIsBlockedForEver(t *testing.T) {
	c := qt.New(t)
	table := attempts.New(attempts.DefaultConfig())
	c.Assert(table.Settle(epoch, id(1), time.Second).Phase, qt.Equals, attempts.Blocked)
	c.Assert(table.Offer(epoch.Add(time.Minute), id(1)), qt.Equals, attempts.Blocked)
	c.Assert(table.Start(id(1)), qt.IsFalse)
}

func TestWaitingAttemptIsDeclinedByASettle(t *testing.T) {
	c := qt.New(t)
	table := attempts.New(attempts.DefaultConfig())
	c.Assert(table.Offer(epoch, id(1)), qt.Equals, attempts.Unseen)
	c.Assert(table.Peek(id(1)).Phase, qt.Equals, attempts.Offered)
	c.Assert(table.Settle(epoch, id(1), 0).Phase, qt.Equals, attempts.Declined)
	c.Assert(table.Start(id(1)), qt.IsFalse)
}

func TestForgottenAttemptIsNeverCalledUnseen(t *testing.T) {
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
	// An attempt that was sent after the last forgotten one is known not to
	// have come.
	c.Assert(table.Settle(now, id(9), time.Second).Phase, qt.Equals, attempts.Blocked)
}

func TestFullBlockListBlocksNoMore(t *testing.T) {
	c := qt.New(t)
	cfg := attempts.DefaultConfig()
	cfg.MaxBlocked = 1
	table := attempts.New(cfg)
	c.Assert(table.Settle(epoch, id(1), 0).Phase, qt.Equals, attempts.Blocked)
	c.Assert(table.Settle(epoch, id(2), 0).Phase, qt.Equals, attempts.Unsure)
	c.Assert(table.Settle(epoch.Add(cfg.BlockFor), id(2), 0).Phase, qt.Equals, attempts.Blocked)
}

// An attempt that a router was told is declined is offered again after so many
// others ended that there is no room to remember them: it does not run.
func TestADeniedAttemptIsNotForgottenForRoom(t *testing.T) {
	c := qt.New(t)
	cfg := attempts.DefaultConfig()
	cfg.MaxKnown, cfg.MaxBlocked = 1, 1
	table := attempts.New(cfg)
	table.Offer(epoch, id(1))
	c.Assert(table.Settle(epoch, id(1), 0).Phase, qt.Equals, attempts.Declined)
	table.Offer(epoch, id(4))
	// Without room to keep it denied, nothing is promised of it.
	c.Assert(table.Settle(epoch, id(4), 0).Phase, qt.Equals, attempts.Unsure)
	c.Assert(table.Offer(epoch, id(1)), qt.Equals, attempts.Declined)
	c.Assert(table.Start(id(1)), qt.IsFalse)
	c.Assert(table.Offer(epoch.Add(cfg.BlockFor), id(1)), qt.Equals, attempts.Unseen)
}

func TestKeptAnswersAreBounded(t *testing.T) {
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

// An attempt that ran is never told to be blocked or declined, whatever was
// forgotten, and one that was told so never starts afterwards.
func TestNoRunIsDenied(t *testing.T) {
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
				continue // no router keeps a request for so long
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
						t.Fatalf("attempt %d ran and is told %v", n, p)
					}
					denied[n] = true
				}
			}
		}
	})
}
