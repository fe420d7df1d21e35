// Package datagram reads and appends the fields that the datagrams between routers have in common.
package datagram

import "encoding/binary"

// MaxName bounds the length of a name in bytes, which is encoded in one byte.
const MaxName = 255

// AppendName appends a name of up to 255 bytes; a longer one is cut.
func AppendName(b []byte, name string) []byte {
	name = name[:min(len(name), MaxName)]
	return append(append(b, byte(len(name))), name...)
}

// Reader reads fields in order. After the first truncated field, all reads return zero values.
type Reader struct {
	rest   []byte
	failed bool
}

// NewReader returns a reader of the encoded fields.
func NewReader(b []byte) Reader { return Reader{rest: b} }

// Failed reports whether a field was truncated.
func (r *Reader) Failed() bool { return r.failed }

// Complete reports whether all bytes were read and no field was truncated.
func (r *Reader) Complete() bool { return !r.failed && len(r.rest) == 0 }

// Next returns the next n bytes.
func (r *Reader) Next(n int) []byte {
	if len(r.rest) < n {
		r.rest, r.failed = nil, true
		return make([]byte, n)
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

// Byte returns the next byte as a number.
func (r *Reader) Byte() int { return int(r.Next(1)[0]) }

// Name returns the next name.
func (r *Reader) Name() string { return string(r.Next(r.Byte())) }

// Uint16 returns the next number of 2 bytes.
func (r *Reader) Uint16() uint16 { return binary.LittleEndian.Uint16(r.Next(2)) }

// Uint32 returns the next number of 4 bytes.
func (r *Reader) Uint32() uint32 { return binary.LittleEndian.Uint32(r.Next(4)) }

// Uint64 returns the next number of 8 bytes.
func (r *Reader) Uint64() uint64 { return binary.LittleEndian.Uint64(r.Next(8)) }
