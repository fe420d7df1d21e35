package admission

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
)

func isolationServers(n int) []*server {
	var out []*server
	for i := range n {
		id := fmt.Sprint("i-", i)
		out = append(out, &server{id: id, seed: xxhash.Sum64String(id)})
	}
	return out
}

// A load with requests that may crash their servers: those with one key go to the same few servers,
// also where one server is missing, and those without a key anywhere.
func TestIsolatedRequestsGoToFewServers(t *testing.T) {
	all := isolationServers(9)
	var none *Isolation
	qt.Check(t, none.choose(all), qt.HasLen, 9)
	qt.Check(t, (&Isolation{Key: 1}).choose(nil), qt.HasLen, 0)
	rare := &Isolation{Key: 7, Share: .1}
	chosen := rare.choose(all)
	qt.Assert(t, chosen, qt.HasLen, 1)
	qt.Check(t, rare.choose(all)[0].id, qt.Equals, chosen[0].id)
	qt.Check(t, (&Isolation{Key: 7, Share: 1}).choose(all), qt.HasLen, 4)
	var others []*server
	for _, one := range all {
		if one.id != chosen[0].id {
			others = append(others, one)
		}
	}
	qt.Check(t, rare.choose(others)[0].id, qt.Not(qt.Equals), chosen[0].id)
	qt.Check(t, rare.choose(append(others[:3:3], chosen[0]))[0].id, qt.Equals, chosen[0].id)
}
