// Package turns orders the routers for a duty that one of them has to do, such as writing an entry to
// the store: the first does it at once, the next if it is still to be done a while later, and so on,
// as those before may have been killed with what they knew. No messages are needed.
package turns

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Step is the time after which it is the next router's turn. It is above the time that a write to the
// store and its notice take.
const Step = time.Second

// At returns when it is the router's turn to do what the key names and is to be done from the given
// time on.
func At(from time.Time, key, self string, routers []string) time.Time {
	ahead := 0
	for _, other := range routers {
		if other != self && precedes(key, other, self) {
			ahead++
		}
	}
	return from.Add(time.Duration(ahead) * Step)
}

// precedes orders the routers by a hash for each key.
func precedes(key, a, b string) bool {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(key+a), xxhash.Sum64String(key+b)), cmp.Compare(a, b)) > 0
}
