// Package quarantine tells which requests crash the backend servers that run
// them, and keeps them from further servers.
//
// Direct routers use it.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// typicalHead is the size, in bytes, of what is hashed beside the body.
const typicalHead = 192

// Fingerprint names a request by its content, alike at every router and for
// every attempt of its caller. No part of the request can be read from it.
//
// It is cut from a SHA-256: a team that wanted to have another team's request
// refused would have to try 2^64 bodies.
type Fingerprint uint64

// String writes the fingerprint as in logs and commands.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Of returns the fingerprint of a request: who asks for what. Headers are left
// out, as they differ from attempt to attempt and where a stream is resumed.
func Of(caller, method, host, uri string, body []byte) Fingerprint {
	head := make([]byte, 0, typicalHead)
	for _, part := range []string{caller, method, host, uri} {
		// Lengths keep neighbours apart: "a" "bc" is not "ab" "c".
		head = binary.LittleEndian.AppendUint32(head, uint32(len(part)))
		head = append(head, part...)
	}
	h := sha256.New()
	// A hash takes every write.
	_, _ = h.Write(head)
	_, _ = h.Write(body)
	return Fingerprint(binary.LittleEndian.Uint64(h.Sum(nil)))
}
