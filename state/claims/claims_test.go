package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestTableRoundTripAndExpiry(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	claimed := Record{State: Claimed, Digest: "d", At: now.Unix(), Attempt: "a", Executor: Executor{"i", "127.0.0.1:1"}}
	ended := claimed.End(Result{Outcome: "completed", Status: 201, Kept: true, Body: []byte("ok")})
	unknown := claimed.End(Result{Outcome: "unknown"})
	c.Assert(unknown.State, quicktest.Equals, Unknown)
	old := Record{State: Claimed, Digest: "d", At: now.Add(-2 * time.Hour).Unix()}
	table := (&Table{}).With(map[Key]*Record{"1": &claimed, "2": &ended, "3": &unknown, "4": &old}, now, 3*time.Hour)
	data, err := table.Encode()
	c.Assert(err, quicktest.IsNil)
	back, err := Decode(data)
	c.Assert(err, quicktest.IsNil)
	c.Assert(back, quicktest.DeepEquals, table)
	next := back.With(map[Key]*Record{"1": nil}, now, time.Hour)
	c.Assert(next.Records, quicktest.DeepEquals, map[Key]Record{"2": ended, "3": unknown})
	c.Assert(back.Records, quicktest.HasLen, 4, quicktest.Commentf("With must not modify its receiver"))
	_, err = Decode([]byte("{"))
	c.Assert(err, quicktest.IsNotNil)
}

func TestKeysAreDistinctAndSpreadOverShards(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(NewKey("ab", "c", "k"), quicktest.Not(quicktest.Equals), NewKey("a", "bc", "k"))
	c.Assert(NewDigest("POST", "/a", []byte("b")), quicktest.Not(quicktest.Equals), NewDigest("POST", "/", []byte("ab")))
	counts := [Shards]int{}
	for i := range 16000 {
		counts[NewKey("team", "service", fmt.Sprint(i)).Shard()]++
	}
	for shard, n := range counts {
		c.Check(n > 800 && n < 1200, quicktest.IsTrue, quicktest.Commentf("shard %d has %d of 16000 keys", shard, n))
	}
}

func TestAttemptsReportTheirState(t *testing.T) {
	c := quicktest.New(t)
	a := NewAttempts(2)
	fate := func(id string) Fate { f, _ := a.Fate(id); return f }
	c.Assert(a.Begin("p") && a.Begin("q"), quicktest.IsTrue)
	c.Assert(a.Begin("r"), quicktest.IsFalse, quicktest.Commentf("the table is bounded"))
	c.Assert(fate("p"), quicktest.Equals, FateRunning)
	a.End("p", Result{Status: 201})
	c.Assert(fate("p"), quicktest.Equals, FateEnded)
	a.Forget("p")
	c.Assert(fate("p"), quicktest.Equals, FateNotRun)
}

// TestBytesPerClaim logs and bounds the stored size of one key.
func TestBytesPerClaim(t *testing.T) {
	c := quicktest.New(t)
	const n = 1000
	now := time.Unix(1_800_000_000, 0)
	claimed, ended := map[Key]*Record{}, map[Key]*Record{}
	for i := range n {
		k := NewKey("team", "service", fmt.Sprint(i))
		r := Record{State: Claimed, Digest: NewDigest("POST", "/pledges", []byte(k)), At: now.Unix(),
			Attempt: "6ba7b810-9dad-11d1-80b4-00c04fd430c8", Executor: Executor{"6ba7b811-9dad-11d1-80b4-00c04fd430c8", "10.20.30.40:17400"}}
		e := r.End(Result{Outcome: "completed", Status: 200, MediaType: "application/json", Kept: true, Body: make([]byte, 100)})
		claimed[k], ended[k] = &r, &e
	}
	size := func(m map[Key]*Record) int {
		data, err := (&Table{}).With(m, now, time.Hour).Encode()
		c.Assert(err, quicktest.IsNil)
		return len(data) / n
	}
	t.Logf("bytes per key: claimed %d, finished with an answer of 100 bytes %d", size(claimed), size(ended))
	c.Assert(size(claimed) < 256 && size(ended) < 320, quicktest.IsTrue)
}
