package digest

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// passOnVersion begins a datagram that holds a message to pass on.
const passOnVersion = 0xA1

// heardSize is the size of one router's entry in such a datagram.
const heardSize = 4 + 4

// Router is a short form of a router's id.
type Router uint32

// RouterOf returns the short form of the id.
func RouterOf(id string) Router { return Router(xxhash.Sum64String(id)) }

// PassOn is a message that its receiver passes on in its data centre.
type PassOn struct {
	// Heard is what the message says to each of the routers there, as Message.Heard.
	Heard    map[Router]uint32
	Revision uint64
	// Message is the written message.
	Message []byte
}

// PassOnSize is what such a datagram adds to a message for that many routers, in bytes.
func PassOnSize(routers int) int { return 1 + revisionSize + countLength + routers*heardSize }

// IsPassOn reports whether a datagram holds a message to pass on.
func IsPassOn(b []byte) bool { return len(b) > 0 && b[0] == passOnVersion }

// AppendPassOn writes a message to pass on.
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

// ReadPassOn reads such a datagram, of which Message stays a part.
func ReadPassOn(b []byte) (p PassOn, err error) {
	if !IsPassOn(b) || len(b) < 1+revisionSize {
		return p, ErrForm
	}
	p.Revision = binary.LittleEndian.Uint64(b[1:])
	heard, rest, n, err := counted(b[1+revisionSize:], heardSize)
	if err != nil {
		return p, err
	}
	p.Heard = make(map[Router]uint32, n)
	for ; len(heard) > 0; heard = heard[heardSize:] {
		p.Heard[Router(binary.LittleEndian.Uint32(heard))] = binary.LittleEndian.Uint32(heard[4:])
	}
	if len(rest) < headSize+1 || rest[0] != version {
		return p, ErrForm
	}
	p.Message = rest
	return p, nil
}

// Address makes the message say to the router what is for it.
func (p *PassOn) Address(router string) {
	SetHeard(p.Message, p.Heard[RouterOf(router)], p.Revision)
}
