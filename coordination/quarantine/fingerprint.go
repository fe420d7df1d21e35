// Package quarantine identifies requests that crash the backend servers that run them, and
// keeps them from being sent to further servers.
//
// Direct routers use it.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// typicalHeadSize is the usual size, in bytes, of what is hashed in addition to the body.
const typicalHeadSize = 192

// Fingerprint identifies a request by its content. It is the same at every router and for
// every attempt of the caller. No part of the request can be recovered from it.
//
// It is truncated from a SHA-256: a team that wanted to have another team's request refused
// would have to try 2^64 bodies.
type Fingerprint uint64

// String formats the fingerprint as in logs and commands.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Of returns the fingerprint of a request, computed from its caller, target and body, which may be in
// parts. Headers are left out, because they differ from attempt to attempt and when a stream is resumed.
func Of(caller, method, host, uri string, body ...[]byte) Fingerprint {
	head := make([]byte, 0, typicalHeadSize)
	for _, part := range []string{caller, method, host, uri} {
		// Length prefixes make the fields unambiguous: "a" "bc" is not "ab" "c".
		head = binary.LittleEndian.AppendUint32(head, uint32(len(part)))
		head = append(head, part...)
	}
	h := sha256.New()
	// Write of a hash never returns an error.
	_, _ = h.Write(head)
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return Fingerprint(binary.LittleEndian.Uint64(h.Sum(nil)))
}
