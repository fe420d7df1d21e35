// Package originmsg encodes and decodes the datagrams in which routers inform each other, and ask each
// other, at which service and software version streams began.
//
// They are separate from digests, so that a router of a version that does not know them drops only
// these.
package originmsg

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
	"goldcrestport/protocol/datagram"
)

// version is the first byte of a datagram. No digest and no crash report starts with it.
const version = 0x82

// Kind is what a datagram says.
type Kind byte

// Kinds of datagrams.
const (
	// Tells lists the origins of streams.
	Tells Kind = 1
	// Asks asks for the origin of one stream.
	Asks Kind = 2
	// Answers answers that.
	Answers Kind = 3
	// HandsOver lists the origins of streams that a router knows as it ends, and asks for a receipt.
	HandsOver Kind = 4
	// Takes is the receipt.
	Takes Kind = 5
)

// maxCount is the limit of counts, which are encoded in two bytes.
const maxCount = math.MaxUint16

// Flags of an answer.
const (
	flagKnown     = 1
	flagUncertain = 2
	flagMixed     = 4
	// flagMayEnd stands beside flagUncertain. Routers that do not know it take the doubt for one that
	// does not end.
	flagMayEnd = 8
	// flagConflicting is not read by builds that do not know it: they see that the origin is uncertain.
	flagConflicting = 16
	// flagProven stands in answers of routers that do not know the stream: the version is in the place of that
	// of its origin, which builds that do not know the flag do not read then.
	flagProven = 32
	// flagSound stands in answers of routers that do not know the stream: the revisions and the process are in
	// the place of the router that knows it, which builds that do not know the flag do not read then.
	flagSound = 64
)

// Flags of a group of records.
const (
	flagDoubted = 1
	// flagLost stands beside flagDoubted. Routers that do not know it ignore it.
	flagLost = 2
)

// ErrForm means that a datagram is not a well-formed message of this version.
var ErrForm = errors.New("no message about origins of this version")

// Message is the content of one datagram. Which fields count depends on its kind.
type Message struct {
	Kind   Kind
	Router string
	// Records are the origins that are announced.
	Records []origin.Record
	// Number identifies an asking and its answers, or a part of what is handed over and its receipt.
	Number uint32
	// ID and Service are the stream that is asked for, and the service that it is to go on at.
	ID      origin.ID
	Service string
	// Known is what the answering router knows of the stream; IsKnown is false if it knows nothing.
	Known   origin.Known
	IsKnown bool
	// Mixed means that the answering router knows of several versions of the service.
	Mixed bool
	// Says is what the answering router says of a stream that it does not know.
	Says versions.Statement
}

// Is reports whether the datagram starts as a message about origins.
func Is(b []byte) bool { return len(b) > 0 && b[0] == version }

// Append appends the encoded message to b.
func Append(b []byte, m Message) []byte {
	b = datagram.AppendName(append(b, version, byte(m.Kind)), m.Router)
	switch m.Kind {
	case Tells:
		return AppendRecords(b, m.Records)
	case Asks:
		b = binary.LittleEndian.AppendUint32(b, m.Number)
		b = binary.LittleEndian.AppendUint64(b, uint64(m.ID))
		return datagram.AppendName(b, m.Service)
	case HandsOver:
		return AppendRecords(binary.LittleEndian.AppendUint32(b, m.Number), m.Records)
	case Takes:
		return binary.LittleEndian.AppendUint32(b, m.Number)
	default:
		return appendAnswer(b, m)
	}
}

// AppendRecords appends the records grouped by their origins.
func AppendRecords(b []byte, records []origin.Record) []byte {
	type group struct {
		origin.Origin
		isDoubted, isLost bool
	}
	groups := make(map[group][]origin.ID)
	for _, one := range records {
		g := group{one.Origin, one.Doubted, one.Lost}
		groups[g] = append(groups[g], one.ID)
	}
	b = binary.LittleEndian.AppendUint16(b, uint16(min(len(groups), maxCount)))
	for o, ids := range groups {
		ids = ids[:min(len(ids), maxCount)]
		flags := byte(0)
		if o.isDoubted {
			flags |= flagDoubted
		}
		if o.isLost {
			flags |= flagLost
		}
		b = datagram.AppendName(datagram.AppendName(append(b, flags), o.Service), string(o.Version))
		b = binary.LittleEndian.AppendUint16(b, uint16(len(ids)))
		for _, id := range ids {
			b = binary.LittleEndian.AppendUint64(b, uint64(id))
		}
	}
	return b
}

func appendAnswer(b []byte, m Message) []byte {
	flags := byte(0)
	if m.IsKnown {
		flags |= flagKnown
	}
	if m.Known.Uncertain {
		flags |= flagUncertain
	}
	if m.Known.Conflicting {
		flags |= flagConflicting
	}
	if m.Known.MayEnd {
		flags |= flagMayEnd
	}
	if m.Mixed {
		flags |= flagMixed
	}
	version, by := m.Known.Version, m.Known.By
	if !m.IsKnown && m.Says.Proven != "" {
		flags |= flagProven
		version = m.Says.Proven
	}
	if !m.IsKnown && m.Says.IsSound {
		flags |= flagSound
		by = string(appendRevisions(nil, m.Says))
	}
	b = append(binary.LittleEndian.AppendUint32(b, m.Number), flags)
	b = datagram.AppendName(datagram.AppendName(datagram.AppendName(b, m.Known.Service), string(version)), by)
	return binary.LittleEndian.AppendUint32(b, uint32(min(m.Known.For.Milliseconds(), math.MaxUint32)))
}

// revisionsSize is the size of the revisions and the process of a statement.
const revisionsSize = 32

func appendRevisions(b []byte, s versions.Statement) []byte {
	for _, one := range []uint64{s.Revision, s.Members, uint64(s.Life), uint64(s.Sees)} {
		b = binary.LittleEndian.AppendUint64(b, one)
	}
	return b
}

// Read decodes a datagram.
func Read(b []byte) (Message, error) {
	if len(b) < 2 || !Is(b) {
		return Message{}, ErrForm
	}
	d := decoder{datagram.NewReader(b[2:])}
	m := Message{Kind: Kind(b[1]), Router: d.Name()}
	switch m.Kind {
	case Tells:
		m.Records = d.records()
	case Asks:
		m.Number, m.ID = d.number(), origin.ID(d.id())
		m.Service = d.Name()
	case HandsOver:
		m.Number = d.number()
		m.Records = d.records()
	case Takes:
		m.Number = d.number()
	case Answers:
		d.answer(&m)
	default:
		return Message{}, ErrForm
	}
	if !d.Complete() {
		return Message{}, ErrForm
	}
	return m, nil
}

// ReadRecords decodes what AppendRecords appended.
func ReadRecords(b []byte) ([]origin.Record, error) {
	d := decoder{datagram.NewReader(b)}
	records := d.records()
	if !d.Complete() {
		return nil, ErrForm
	}
	return records, nil
}

// decoder reads the fields of these datagrams.
type decoder struct{ datagram.Reader }

func (d *decoder) count() int { return int(d.Uint16()) }

func (d *decoder) number() uint32 { return d.Uint32() }

func (d *decoder) id() uint64 { return d.Uint64() }

func (d *decoder) records() []origin.Record {
	var out []origin.Record
	for range d.count() {
		flags := d.Next(1)[0]
		o := origin.Origin{Service: d.Name(), Version: roster.Version(d.Name())}
		for range d.count() {
			if d.Failed() {
				return nil
			}
			out = append(out, origin.Record{ID: origin.ID(d.id()), Origin: o, Doubted: flags&flagDoubted != 0, Lost: flags&flagLost != 0})
		}
	}
	return out
}

func (d *decoder) answer(m *Message) {
	m.Number = d.number()
	flags := d.Next(1)[0]
	m.IsKnown, m.Known.Uncertain, m.Mixed = flags&flagKnown != 0, flags&flagUncertain != 0, flags&flagMixed != 0
	m.Known.Conflicting, m.Known.MayEnd = flags&flagConflicting != 0, flags&flagMayEnd != 0
	m.Known.Service, m.Known.Version, m.Known.By = d.Name(), roster.Version(d.Name()), d.Name()
	m.Known.For = time.Duration(d.number()) * time.Millisecond
	if flags&flagProven != 0 {
		m.Says.Proven, m.Known.Version = m.Known.Version, ""
	}
	if flags&flagSound != 0 && !m.IsKnown && len(m.Known.By) == revisionsSize {
		b := []byte(m.Known.By)
		m.Says.IsSound, m.Known.By = true, ""
		m.Says.Revision, m.Says.Members = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])
		m.Says.Life = versions.Life(binary.LittleEndian.Uint64(b[16:]))
		m.Says.Sees = versions.Life(binary.LittleEndian.Uint64(b[24:]))
	}
}
