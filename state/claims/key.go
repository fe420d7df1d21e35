// Package claims defines the records that ensure that a non-idempotent request
// with an idempotency key runs at most once, and their encoding in the platform's
// key-value service.
//
// Keys are hashed to a fixed number of shards; the records of one shard are
// stored as one value. coordination/claim decides what is written.
package claims

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash"
)

// Shards is the number of stored values over which keys are distributed. It is
// part of the storage format: every process must use the same number.
const Shards = 16

// keyPrefix is the prefix of the platform keys of the shards.
const keyPrefix = "goldcrest/claims/v1/"

// digestSize is the size in bytes to which SHA-256 digests are truncated. Keys
// and bodies are chosen by callers, so collisions must be hard to find.
const digestSize = 16

// Key identifies a caller's idempotency key within a team and a service.
type Key string

// NewKey returns the Key of a caller's idempotency key.
func NewKey(team, service, key string) Key {
	return Key(digest([]byte(team), []byte(service), []byte(key)))
}

// NewDigest returns the digest by which requests with the same key are compared
// for equality.
func NewDigest(method, path string, body []byte) string {
	return digest([]byte(method), []byte(path), body)
}

// digest hashes the parts with length prefixes, so that different lists of parts
// never produce the same hash input.
func digest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		writePart(h, p)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestSize])
}

func writePart(h hash.Hash, p []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(p)))
	_, _ = h.Write(size[:])
	_, _ = h.Write(p)
}

// Shard returns the shard of the key.
func (k Key) Shard() int {
	sum := 0
	for i := range len(k) {
		sum = (sum*31 + int(k[i])) % Shards
	}
	return sum
}

// SegmentKey returns the platform key of a segment of a shard.
func SegmentKey(shard int, id string) string {
	return StoreKey(shard) + "/" + id
}

// StoreKey returns the platform key of a shard.
func StoreKey(shard int) string {
	return fmt.Sprintf("%s%02x", keyPrefix, shard)
}
