package digest

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// passOnVersion is the first byte of a datagram that holds a message to relay.
const passOnVersion = 0xA1

// heardEntrySize is the size of one router's entry in such a datagram.
const heardEntrySize = 4 + 4

// Router is the hash that stands for a router's id.
type Router uint32

// RouterOf returns the hash of the router's id.
func RouterOf(id string) Router { return Router(xxhash.Sum64String(id)) }

// PassOn is a message that its receiver relays to the routers of its data centre.
type PassOn struct {
	// Heard is the value of Message.Heard for each of the routers there.
	Heard    map[Router]uint32
	Revision uint64
	// Message is the encoded message.
	Message []byte
}

// PassOnSize returns the bytes that a relay datagram for that many routers adds to its
// message.
func PassOnSize(routers int) int { return 1 + revisionSize + countSize + routers*heardEntrySize }

// IsPassOn reports whether a datagram starts as one that holds a message to relay.
func IsPassOn(b []byte) bool { return len(b) > 0 && b[0] == passOnVersion }

// AppendPassOn appends the encoded relay datagram to b.
func AppendPassOn(b []byte, p PassOn) []byte {
	b = append(b, passOnVersion)
	b = binary.LittleEndian.AppendUint64(b, p.Revision)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(p.Heard)))
	for router, seq := range p.Heard {
		b = binary.LittleEndian.AppendUint32(b, uint32(router))
		b = binary.LittleEndian.AppendUint32(b, seq)
	}
	return append(b, p.Message...)
}

// ReadPassOn decodes a relay datagram. The result's Message shares the memory of b.
func ReadPassOn(b []byte) (p PassOn, err error) {
	if !IsPassOn(b) || len(b) < 1+revisionSize {
		return p, ErrForm
	}
	p.Revision = binary.LittleEndian.Uint64(b[1:])
	heard, rest, n, err := splitList(b[1+revisionSize:], heardEntrySize)
	if err != nil {
		return p, err
	}
	p.Heard = make(map[Router]uint32, n)
	for ; len(heard) > 0; heard = heard[heardEntrySize:] {
		p.Heard[Router(binary.LittleEndian.Uint32(heard))] = binary.LittleEndian.Uint32(heard[4:])
	}
	if len(rest) < headerSize+1 || rest[0] != version {
		return p, ErrForm
	}
	p.Message = rest
	return p, nil
}

// Address sets Heard and Revision in the message to the values for the router.
func (p *PassOn) Address(router string) {
	SetHeard(p.Message, p.Heard[RouterOf(router)], p.Revision)
}
