// Package prefix hashes the prefix of a prompt, so that routers and sidecars can
// recognise requests that share it. It is a hint only: equal hashes make a cached
// prefix likely, nothing more.
package prefix

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Length is the number of body bytes that are hashed. An engine caches whole
// blocks of the prompt, so a shorter common prefix is not worth reordering for.
const Length = 512

// messagesKey marks the position in a chat completion request from which the text is
// hashed, so that the parameters before it do not matter.
var messagesKey = []byte(`"messages"`)

// Of returns the hash of the first Length bytes of the messages in the body, or 0
// if there are none or they are too short to matter.
func Of(body []byte) uint64 {
	_, text, found := bytes.Cut(body, messagesKey)
	if !found || len(text) < Length {
		return 0
	}
	return xxhash.Sum64(text[:Length])
}
