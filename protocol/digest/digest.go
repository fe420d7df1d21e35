// Package digest writes what routers tell each other about their use of
// backend servers and teams as one datagram.
//
// The form is binary and fixed, by encoding/binary: a datagram goes out several
// times a second to each other router, and small instances must read dozens of
// them. Other messages between processes are drpc's.
package digest

import (
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/fairshare"
)

// version begins a datagram; others are dropped.
const version = 1

// Sizes of the parts, in bytes. Tokens are written in units of unit.
const (
	serverSize = 8 + 4 + 2
	teamSize   = 4 + 4 + 4
	// maxName bounds the name of a router.
	maxName = 255
)

// ErrForm means that a datagram is not a digest of this version.
var ErrForm = errors.New("no digest of this version")

// Append writes the digest of the router.
func Append(b []byte, router string, d admission.Digest) []byte {
	name := router[:min(len(router), maxName)]
	b = append(b, version, byte(len(name)))
	b = append(b, name...)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.Servers)))
	for id, u := range d.Servers {
		b = binary.LittleEndian.AppendUint64(b, id)
		b = binary.LittleEndian.AppendUint32(b, whole(u.Unread))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(u.Runs, math.MaxUint16)))
	}
	b = binary.LittleEndian.AppendUint16(b, uint16(len(d.Teams)))
	for id, u := range d.Teams {
		b = binary.LittleEndian.AppendUint32(b, uint32(id))
		b = binary.LittleEndian.AppendUint32(b, whole(u.Asked))
		b = binary.LittleEndian.AppendUint32(b, whole(u.Begun))
	}
	return b
}

func whole(tokens float64) uint32 { return uint32(min(max(tokens, 0), math.MaxUint32)) }

// Read reads a datagram.
func Read(b []byte) (router string, d admission.Digest, err error) {
	if len(b) < 2 || b[0] != version || len(b) < 2+int(b[1])+2 {
		return "", d, ErrForm
	}
	router, b = string(b[2:2+int(b[1])]), b[2+int(b[1]):]
	n := int(binary.LittleEndian.Uint16(b))
	b = b[2:]
	if len(b) < n*serverSize+2 {
		return "", d, ErrForm
	}
	d.Servers = make(map[uint64]admission.Use, n)
	for range n {
		d.Servers[binary.LittleEndian.Uint64(b)] = admission.Use{
			Unread: float64(binary.LittleEndian.Uint32(b[8:])), Runs: int(binary.LittleEndian.Uint16(b[12:])),
		}
		b = b[serverSize:]
	}
	n = int(binary.LittleEndian.Uint16(b))
	b = b[2:]
	if len(b) != n*teamSize {
		return "", d, ErrForm
	}
	d.Teams = make(map[fairshare.TeamID]fairshare.Use, n)
	for range n {
		d.Teams[fairshare.TeamID(binary.LittleEndian.Uint32(b))] = fairshare.Use{
			Asked: float64(binary.LittleEndian.Uint32(b[4:])), Begun: float64(binary.LittleEndian.Uint32(b[8:])),
		}
		b = b[teamSize:]
	}
	return router, d, nil
}
