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
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/fairshare"
	"goldcrestport/coordination/rotation"
	"goldcrestport/coordination/telling"
)

// version begins a datagram; others are dropped.
const version = 6

// Sizes of the parts, in bytes, and the unit in which unread tokens are
// written: a long prompt has thousands.
const (
	headSize    = 1 + 1 + 4 + 4 + 8 + 4 + 4
	serverSize  = 4 + 2 + 2
	teamSize    = 4 + 5*4
	unreadUnit  = 16
	maxName     = 255
	flagAll     = 1
	flagTeams   = 2
	flagChanges = 4
	flagLate    = 8
	flagLeaving = 16
	// flagPassesOn is that the sender passes messages on. One that does not say so is
	// not asked to.
	flagPassesOn = 32
	// holdingSize is the size of a server's number and a part's id.
	holdingSize = 4 + 8
	// numberSize is the size of a server's number.
	numberSize  = 4
	countLength = 2
	// revisionSize is the size of a revision of the store.
	revisionSize = 8
)

// ErrForm means that a datagram is not a digest of this version.
var ErrForm = errors.New("no digest of this version")

// DataCentreOf returns the short form of the name.
func DataCentreOf(name string) telling.DataCentre {
	return telling.DataCentre(xxhash.Sum64String(name))
}

// Message is one datagram.
type Message struct {
	// Router is the id of the sender.
	Router string
	// Seq numbers the sender's messages to this receiver's fleet; it rises.
	Seq uint32
	// Heard is the number of the last message that the sender had from the
	// receiver when it asked the store what is newest; 0: it did not ask.
	Heard uint32
	// Revision of the store that was the newest then.
	Revision uint64
	// DataCentre of the sender, and what it tells its neighbours there.
	DataCentre telling.DataCentre
	Rotation   rotation.Status
	// PassesOn tells that the sender passes messages on to its data centre.
	PassesOn bool
	Digest   admission.Digest
	// Changes are what changed in the store after the revision After, in the
	// sender's own form, or nil when that is left out.
	Changes []byte
	After   uint64
}

// Append writes the message.
func Append(b []byte, m Message) []byte {
	flags := byte(0)
	if m.Digest.All {
		flags |= flagAll
	}
	if m.Digest.Teams != nil {
		flags |= flagTeams
	}
	if m.Changes != nil {
		flags |= flagChanges
	}
	if m.Rotation.Late {
		flags |= flagLate
	}
	if len(m.Digest.ShuttingDown) > 0 {
		flags |= flagLeaving
	}
	if m.PassesOn {
		flags |= flagPassesOn
	}
	b = append(b, version, flags)
	b = binary.LittleEndian.AppendUint32(b, m.Seq)
	b = binary.LittleEndian.AppendUint32(b, m.Heard)
	b = binary.LittleEndian.AppendUint64(b, m.Revision)
	b = binary.LittleEndian.AppendUint32(b, uint32(m.DataCentre))
	b = binary.LittleEndian.AppendUint32(b, uint32(min(m.Rotation.Away.Milliseconds(), math.MaxUint32)))
	name := m.Router[:min(len(m.Router), maxName)]
	b = append(b, byte(len(name)))
	b = append(b, name...)
	b = appendServers(b, m.Digest.Servers)
	b = appendHoldings(b, m.Digest.CachedPrefixes)
	if m.Digest.Teams != nil {
		b = appendTeams(b, m.Digest.Teams)
	}
	if len(m.Digest.ShuttingDown) > 0 {
		b = appendLeaving(b, m.Digest.ShuttingDown)
	}
	if m.Changes != nil {
		b = binary.LittleEndian.AppendUint64(b, m.After)
		b = append(b, m.Changes...)
	}
	return b
}

// SetHeard changes what a written message says to one receiver.
func SetHeard(b []byte, heard uint32, revision uint64) {
	binary.LittleEndian.PutUint32(b[6:], heard)
	binary.LittleEndian.PutUint64(b[10:], revision)
}

func appendServers(b []byte, servers map[admission.ServerID]admission.InFlight) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(servers)))
	for id, u := range servers {
		b = binary.LittleEndian.AppendUint32(b, uint32(id))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(u.Unread/unreadUnit, math.MaxUint16)))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(u.Runs, math.MaxUint16)))
	}
	return b
}

func appendTeams(b []byte, teams map[fairshare.TeamID]fairshare.Use) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(teams)))
	for id, u := range teams {
		b = binary.LittleEndian.AppendUint32(b, uint32(id))
		b = binary.LittleEndian.AppendUint32(b, whole(u.Requested))
		b = binary.LittleEndian.AppendUint32(b, whole(u.Started))
		b = binary.LittleEndian.AppendUint32(b, whole(u.RequestedRate))
		b = binary.LittleEndian.AppendUint32(b, whole(u.StartedRate))
		b = binary.LittleEndian.AppendUint32(b, whole(u.ThrottledRate))
	}
	return b
}

func appendHoldings(b []byte, holdings []admission.CachedPrefix) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(holdings)))
	for _, h := range holdings {
		b = binary.LittleEndian.AppendUint32(b, uint32(h.Server))
		b = binary.LittleEndian.AppendUint64(b, h.Prefix)
	}
	return b
}

// appendLeaving writes the servers that leave. Without any the message has no byte
// for them.
func appendLeaving(b []byte, servers []admission.ServerID) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(servers)))
	for _, one := range servers {
		b = binary.LittleEndian.AppendUint32(b, uint32(one))
	}
	return b
}

func whole(tokens float64) uint32 { return uint32(min(max(tokens, 0), math.MaxUint32)) }

// Read reads a datagram.
func Read(b []byte) (m Message, err error) {
	if len(b) < headSize+1 || b[0] != version {
		return m, ErrForm
	}
	flags := b[1]
	m.Seq = binary.LittleEndian.Uint32(b[2:])
	m.Heard = binary.LittleEndian.Uint32(b[6:])
	m.Revision = binary.LittleEndian.Uint64(b[10:])
	m.DataCentre = telling.DataCentre(binary.LittleEndian.Uint32(b[18:]))
	m.Rotation = rotation.Status{Away: time.Duration(binary.LittleEndian.Uint32(b[22:])) * time.Millisecond, Late: flags&flagLate != 0}
	m.PassesOn = flags&flagPassesOn != 0
	name := int(b[headSize])
	b = b[headSize+1:]
	if len(b) < name {
		return m, ErrForm
	}
	m.Router, b = string(b[:name]), b[name:]
	m.Digest.All = flags&flagAll != 0
	if m.Digest.Servers, b, err = readServers(b); err != nil {
		return m, err
	}
	if m.Digest.CachedPrefixes, b, err = readHoldings(b); err != nil {
		return m, err
	}
	if flags&flagTeams != 0 {
		if m.Digest.Teams, b, err = readTeams(b); err != nil {
			return m, err
		}
	}
	if flags&flagLeaving != 0 {
		if m.Digest.ShuttingDown, b, err = readLeaving(b); err != nil {
			return m, err
		}
	}
	if flags&flagChanges != 0 {
		if len(b) < revisionSize {
			return m, ErrForm
		}
		m.After, m.Changes, b = binary.LittleEndian.Uint64(b), append([]byte{}, b[revisionSize:]...), nil
	}
	if len(b) != 0 {
		return m, ErrForm
	}
	return m, nil
}

// counted returns the parts of a size that follow their number.
func counted(b []byte, size int) (parts, rest []byte, n int, err error) {
	if len(b) < countLength {
		return nil, nil, 0, ErrForm
	}
	n = int(binary.LittleEndian.Uint16(b))
	b = b[countLength:]
	if len(b) < n*size {
		return nil, nil, 0, ErrForm
	}
	return b[:n*size], b[n*size:], n, nil
}

func readServers(b []byte) (map[admission.ServerID]admission.InFlight, []byte, error) {
	parts, rest, n, err := counted(b, serverSize)
	if err != nil {
		return nil, nil, err
	}
	out := make(map[admission.ServerID]admission.InFlight, n)
	for ; len(parts) > 0; parts = parts[serverSize:] {
		out[admission.ServerID(binary.LittleEndian.Uint32(parts))] = admission.InFlight{
			Unread: unreadUnit * float64(binary.LittleEndian.Uint16(parts[4:])), Runs: int(binary.LittleEndian.Uint16(parts[6:])),
		}
	}
	return out, rest, nil
}

func readTeams(b []byte) (map[fairshare.TeamID]fairshare.Use, []byte, error) {
	parts, rest, n, err := counted(b, teamSize)
	if err != nil {
		return nil, nil, err
	}
	out := make(map[fairshare.TeamID]fairshare.Use, n)
	for ; len(parts) > 0; parts = parts[teamSize:] {
		out[fairshare.TeamID(binary.LittleEndian.Uint32(parts))] = fairshare.Use{
			Requested: float64(binary.LittleEndian.Uint32(parts[4:])), Started: float64(binary.LittleEndian.Uint32(parts[8:])),
			RequestedRate: float64(binary.LittleEndian.Uint32(parts[12:])), StartedRate: float64(binary.LittleEndian.Uint32(parts[16:])), ThrottledRate: float64(binary.LittleEndian.Uint32(parts[20:])),
		}
	}
	return out, rest, nil
}

func readHoldings(b []byte) ([]admission.CachedPrefix, []byte, error) {
	parts, rest, n, err := counted(b, holdingSize)
	if err != nil || n == 0 {
		return nil, rest, err
	}
	holdings := make([]admission.CachedPrefix, n)
	for i := range holdings {
		p := parts[i*holdingSize:]
		holdings[i] = admission.CachedPrefix{Server: admission.ServerID(binary.LittleEndian.Uint32(p)), Prefix: binary.LittleEndian.Uint64(p[4:])}
	}
	return holdings, rest, nil
}

func readLeaving(b []byte) ([]admission.ServerID, []byte, error) {
	parts, rest, n, err := counted(b, numberSize)
	if err != nil {
		return nil, nil, err
	}
	servers := make([]admission.ServerID, n)
	for i := range servers {
		servers[i] = admission.ServerID(binary.LittleEndian.Uint32(parts[i*numberSize:]))
	}
	return servers, rest, nil
}
