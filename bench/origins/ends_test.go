package origins

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// endFleets are the sizes, the smallest with a router in each data centre.
var endFleets = []Fleet{{3, 3}, {5, 4}, {12, 3}, {30, 3}, {103, 5}, {300, 10}, {800, 24}}

// endRouters bounds the routers that are ended in one measurement of the table.
const endRouters = 100_000

// The table of docs/design: go test -v -run TestKeepings ./origins.
func TestKeepings(t *testing.T) {
	for _, f := range endFleets {
		n := 1
		if testing.Verbose() {
			n = min(tableStreams, endRouters/f.Routers)
		}
		for _, k := range Keepings() {
			line := fmt.Sprintf("%4d routers, %-22s:", f.Routers, k.Name)
			for _, e := range Ends() {
				line += fmt.Sprintf(" %.2f", PlayEnd(f, k, e, n, 1))
			}
			t.Log(line)
		}
		writes, reads, written, watched := StoreLoad(f, load)
		t.Logf("%4d routers: store %.1f writes/s, %.1f reads/s, %.0f B/s written, %.0f B/s watched; hand-over %.0f B once", f.Routers, writes, reads, written, watched, HandOverBytes(f, load))
	}
}

// After any end of routers that the fleet may meet, more than half of the streams are known again, which is
// the aim; where that cannot be, as all routers of a large fleet are killed, the exception is named here.
func TestWhatIsKnownOutlivesTheRouters(t *testing.T) {
	ways := Keepings()
	chosen := ways[len(ways)-1]
	for _, f := range endFleets {
		for _, e := range Ends() {
			if e.Share == 1 && !e.Planned && StoreInterval(f) == 0 {
				continue
			}
			got := PlayEnd(f, chosen, e, streams, 1)
			qt.Check(t, got >= .5, qt.IsTrue, qt.Commentf("%d routers, %s: %.3f", f.Routers, e.Name, got))
		}
		writes, _, _, _ := StoreLoad(f, load)
		qt.Check(t, writes <= 400, qt.IsTrue)
	}
}
