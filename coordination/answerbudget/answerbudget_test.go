package answerbudget

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a sum that has no bound: 600 answers of up to 64 KiB each at once, that grow and end in any order.
func TestTheSumOfAllAnswersIsBounded(t *testing.T) {
	const limit, answers, most = 4 << 20, 600, 64 << 10
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := New(limit)
		held := make([]int64, answers)
		for range 20 * answers {
			n := r.IntN(answers)
			want := min(max(2*held[n], 4<<10), most)
			if r.IntN(6) == 0 {
				want = 0
			}
			granted := s.Resize(held[n], want)
			qt.Assert(t, s.Used() <= limit, qt.IsTrue)
			qt.Assert(t, granted || want > held[n], qt.IsTrue)
			if granted {
				held[n] = want
			}
		}
		qt.Check(t, s.Refused() > 0, qt.IsTrue)
		for n := range held {
			s.Resize(held[n], 0)
		}
		qt.Check(t, s.Used(), qt.Equals, int64(0))
	}
}

// What does not fit is refused and changes nothing; less is always granted, also above a lowered limit.
func TestWhatIsGranted(t *testing.T) {
	s := New(100)
	qt.Check(t, s.Resize(0, 60), qt.IsTrue)
	qt.Check(t, s.Resize(0, 50), qt.IsFalse)
	qt.Check(t, s.Used(), qt.Equals, int64(60))
	qt.Check(t, s.Refused(), qt.Equals, int64(1))
	s.SetLimit(10)
	qt.Check(t, s.Resize(60, 40), qt.IsTrue)
	qt.Check(t, s.Resize(40, 41), qt.IsFalse)
	qt.Check(t, s.Used(), qt.Equals, int64(40))
	qt.Check(t, LimitOf(134<<20), qt.Equals, int64(14050918))
	qt.Check(t, LimitOf(1<<20), qt.Equals, int64(MinLimit))
}

// BenchmarkResize is what an answer costs that holds more than the first kilobytes.
func BenchmarkResize(b *testing.B) {
	s := New(1 << 30)
	for b.Loop() {
		s.Resize(0, 8<<10)
		s.Resize(8<<10, 0)
	}
}
