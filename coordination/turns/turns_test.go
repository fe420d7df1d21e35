package turns

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Each router has a turn of its own, another for each key, so that one does the duty and each does it if
// all others are gone.
func TestEachRouterHasATurn(t *testing.T) {
	routers := []string{"a", "b", "c", "d"}
	from := time.Unix(1000, 0)
	first := map[string]bool{}
	for n := range 100 {
		key := fmt.Sprint(n)
		seen := map[time.Duration]bool{}
		for _, r := range routers {
			wait := At(from, key, r, routers).Sub(from)
			seen[wait] = true
			if wait == 0 {
				first[r] = true
			}
		}
		qt.Check(t, seen, qt.DeepEquals, map[time.Duration]bool{0: true, Step: true, 2 * Step: true, 3 * Step: true})
	}
	qt.Check(t, first, qt.HasLen, len(routers))
	qt.Check(t, At(from, "x", "alone", nil), qt.Equals, from)
}
