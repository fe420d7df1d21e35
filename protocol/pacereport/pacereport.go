// Package pacereport encodes and decodes the datagrams in which routers report to each other how fast backend
// servers prefill prompts.
//
// They are separate from digests, so that a router of a version that does not know them drops only these.
package pacereport

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/pace"
)

// version is the first byte of a datagram. No other datagram starts with it.
const version = 0x83

// Sizes of the encoded fields in bytes, and their units. A server has its number, its evidence and its time per
// token.
const (
	headerSize = 1 + 1 + 2
	serverSize = 4 + 2 + 2
	maxServers = math.MaxUint8
	// tokensUnit covers a million prompt tokens, tokenTimeUnit, in milliseconds, the rates from 4 prompt
	// tokens per millisecond.
	tokensUnit    = 16
	tokenTimeUnit = 4e-6
	ageUnit       = 10 * time.Millisecond
)

// ErrForm means that a datagram is not a well-formed report of this version.
var ErrForm = errors.New("no pace report of this version")

// Is reports whether the datagram starts as a pace report.
func Is(b []byte) bool { return len(b) > 0 && b[0] == version }

// Append appends the encoded report to b. Only the first 255 servers are written; the reports of
// coordination/pace have fewer.
func Append(b []byte, r pace.Report) []byte {
	servers := r.Servers[:min(len(r.Servers), maxServers)]
	b = append(b, version, byte(len(servers)))
	b = appendUnits(b, float64(r.Age)/float64(ageUnit))
	for _, one := range servers {
		b = binary.LittleEndian.AppendUint32(b, uint32(one.Server))
		b = appendUnits(b, one.Tokens/tokensUnit)
		b = appendUnits(b, one.TokenTime/tokenTimeUnit)
	}
	return b
}

// appendUnits appends a number of units in two bytes; what is out of range is limited.
func appendUnits(b []byte, units float64) []byte {
	return binary.LittleEndian.AppendUint16(b, uint16(min(max(math.Round(units), 0), math.MaxUint16)))
}

// Read decodes a datagram.
func Read(b []byte) (pace.Report, error) {
	if !Is(b) || len(b) < headerSize || len(b) != headerSize+int(b[1])*serverSize {
		return pace.Report{}, ErrForm
	}
	r := pace.Report{Age: time.Duration(binary.LittleEndian.Uint16(b[2:])) * ageUnit}
	for rest := b[headerSize:]; len(rest) > 0; rest = rest[serverSize:] {
		r.Servers = append(r.Servers, pace.Evidence{
			Server:    pace.ServerID(binary.LittleEndian.Uint32(rest)),
			Tokens:    float64(binary.LittleEndian.Uint16(rest[4:])) * tokensUnit,
			TokenTime: float64(binary.LittleEndian.Uint16(rest[6:])) * tokenTimeUnit,
		})
	}
	return r, nil
}
