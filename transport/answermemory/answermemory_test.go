package answermemory

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Many answers that hold and release at once leave nothing held, and one without a budget is granted everything.
func TestHoldsAreGivenBack(t *testing.T) {
	b := New(64 << 20)
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			h := b.Hold()
			for size := int64(4 << 10); h.Resize(size) && size < 64<<10; size *= 2 {
				qt.Check(t, h.Held(), qt.Equals, size)
			}
			h.Release()
			h.Release()
		})
	}
	wg.Wait()
	qt.Check(t, b.Used(), qt.Equals, int64(0))
	b.SetLimit(1)
	h := b.Hold()
	qt.Check(t, h.Resize(2), qt.IsFalse)
	qt.Check(t, b.Refused(), qt.Not(qt.Equals), int64(0))
	b.SetMemory(64 << 20)
	qt.Check(t, h.Resize(2), qt.IsTrue)
	var none Hold
	qt.Check(t, none.Resize(1<<40), qt.IsTrue)
}
