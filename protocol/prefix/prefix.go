// Package prefix names the begin of a prompt by a hash, so that routers and
// sidecars can tell requests that share it. It is a hint only: equal hashes
// make a cached prefix likely, nothing more.
package prefix

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Length is the number of body bytes that are hashed. An engine caches whole
// blocks of the prompt, so a shorter common begin is not worth a reorder.
const Length = 512

// begin marks the place in a chat completion from which the text is hashed,
// so that the parameters before it do not matter.
var begin = []byte(`"messages"`)

// Of returns the hash of the begin of the messages in the body, or 0 if there
// are none or they are too short to matter.
func Of(body []byte) uint64 {
	_, text, found := bytes.Cut(body, begin)
	if !found || len(text) < Length {
		return 0
	}
	return xxhash.Sum64(text[:Length])
}
