// Package digest encodes and decodes the gossip datagram in which a router sends its
// use of backend servers and teams to other routers.
//
// The encoding is a fixed binary layout by encoding/binary: a datagram is sent several
// times a second to each other router, and small instances must decode dozens of them.
// Other messages between processes use drpc.
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

// version is the first byte of a datagram; datagrams of other versions are dropped.
const version = 6

// Sizes of the encoded fields in bytes, the flag bits, and the unit in which unread prompt
// tokens are written: a long prompt has thousands, which have to fit in 16 bits.
const (
	headerSize       = 1 + 1 + 4 + 4 + 8 + 4 + 4
	serverSize       = 4 + 2 + 2
	teamSize         = 4 + 5*4
	unreadUnit       = 16
	maxName          = 255
	flagAll          = 1
	flagTeams        = 2
	flagChanges      = 4
	flagLate         = 8
	flagShuttingDown = 16
	// flagPassesOn says that the sender relays messages. A router that does not set it
	// is not asked to relay any.
	flagPassesOn = 32
	// cachedPrefixSize is the size of a server's number and a prompt prefix's id.
	cachedPrefixSize = 4 + 8
	// serverIDSize is the size of a server's number.
	serverIDSize = 4
	countSize    = 2
	// revisionSize is the size of a revision of the store.
	revisionSize = 8
)

// ErrForm means that a datagram is not a well-formed digest of this version.
var ErrForm = errors.New("no digest of this version")

// DataCentreOf returns the hash that stands for the data centre's name in messages.
func DataCentreOf(name string) telling.DataCentre {
	return telling.DataCentre(xxhash.Sum64String(name))
}

// Message is the content of one datagram.
type Message struct {
	// Router is the id of the sender.
	Router string
	// Seq is the rising sequence number of the sender's messages to the receiver's fleet.
	Seq uint32
	// Heard is the sequence number of the last message that the sender had received
	// from the receiver when it asked the store for the newest revision; 0 if it did
	// not ask.
	Heard uint32
	// Revision is the store's newest revision at that time.
	Revision uint64
	// DataCentre of the sender, and the rotation status that it reports to the other
	// routers there.
	DataCentre telling.DataCentre
	Rotation   rotation.Status
	// PassesOn says that the sender relays messages to its data centre.
	PassesOn bool
	Digest   admission.Digest
	// Changes are the store's changes after the revision After, in the sender's own
	// encoding; nil if the message carries none.
	Changes []byte
	After   uint64
}

// Append appends the encoded message to b.
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
		flags |= flagShuttingDown
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
	b = appendCachedPrefixes(b, m.Digest.CachedPrefixes)
	if m.Digest.Teams != nil {
		b = appendTeams(b, m.Digest.Teams)
	}
	if len(m.Digest.ShuttingDown) > 0 {
		b = appendShuttingDown(b, m.Digest.ShuttingDown)
	}
	if m.Changes != nil {
		b = binary.LittleEndian.AppendUint64(b, m.After)
		b = append(b, m.Changes...)
	}
	return b
}

// SetHeard overwrites Heard and Revision in an encoded message, which differ between
// receivers.
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
		b = binary.LittleEndian.AppendUint32(b, clampTokens(u.Requested))
		b = binary.LittleEndian.AppendUint32(b, clampTokens(u.Started))
		b = binary.LittleEndian.AppendUint32(b, clampTokens(u.RequestedRate))
		b = binary.LittleEndian.AppendUint32(b, clampTokens(u.StartedRate))
		b = binary.LittleEndian.AppendUint32(b, clampTokens(u.ThrottledRate))
	}
	return b
}

func appendCachedPrefixes(b []byte, prefixes []admission.CachedPrefix) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(prefixes)))
	for _, prefix := range prefixes {
		b = binary.LittleEndian.AppendUint32(b, uint32(prefix.Server))
		b = binary.LittleEndian.AppendUint64(b, prefix.Prefix)
	}
	return b
}

// appendShuttingDown appends the servers that are shutting down. Append calls it only if there
// are any: otherwise the message has no byte for them.
func appendShuttingDown(b []byte, servers []admission.ServerID) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(servers)))
	for _, id := range servers {
		b = binary.LittleEndian.AppendUint32(b, uint32(id))
	}
	return b
}

func clampTokens(tokens float64) uint32 { return uint32(min(max(tokens, 0), math.MaxUint32)) }

// Read decodes a datagram.
func Read(b []byte) (m Message, err error) {
	if len(b) < headerSize+1 || b[0] != version {
		return m, ErrForm
	}
	flags := b[1]
	m.Seq = binary.LittleEndian.Uint32(b[2:])
	m.Heard = binary.LittleEndian.Uint32(b[6:])
	m.Revision = binary.LittleEndian.Uint64(b[10:])
	m.DataCentre = telling.DataCentre(binary.LittleEndian.Uint32(b[18:]))
	m.Rotation = rotation.Status{Away: time.Duration(binary.LittleEndian.Uint32(b[22:])) * time.Millisecond, Late: flags&flagLate != 0}
	m.PassesOn = flags&flagPassesOn != 0
	name := int(b[headerSize])
	b = b[headerSize+1:]
	if len(b) < name {
		return m, ErrForm
	}
	m.Router, b = string(b[:name]), b[name:]
	m.Digest.All = flags&flagAll != 0
	if m.Digest.Servers, b, err = readServers(b); err != nil {
		return m, err
	}
	if m.Digest.CachedPrefixes, b, err = readCachedPrefixes(b); err != nil {
		return m, err
	}
	if flags&flagTeams != 0 {
		if m.Digest.Teams, b, err = readTeams(b); err != nil {
			return m, err
		}
	}
	if flags&flagShuttingDown != 0 {
		if m.Digest.ShuttingDown, b, err = readShuttingDown(b); err != nil {
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

// splitList splits b after a list of entries of the given size, which follow their count.
func splitList(b []byte, size int) (entries, rest []byte, n int, err error) {
	if len(b) < countSize {
		return nil, nil, 0, ErrForm
	}
	n = int(binary.LittleEndian.Uint16(b))
	b = b[countSize:]
	if len(b) < n*size {
		return nil, nil, 0, ErrForm
	}
	return b[:n*size], b[n*size:], n, nil
}

func readServers(b []byte) (map[admission.ServerID]admission.InFlight, []byte, error) {
	parts, rest, n, err := splitList(b, serverSize)
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
	parts, rest, n, err := splitList(b, teamSize)
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

func readCachedPrefixes(b []byte) ([]admission.CachedPrefix, []byte, error) {
	parts, rest, n, err := splitList(b, cachedPrefixSize)
	if err != nil || n == 0 {
		return nil, rest, err
	}
	prefixes := make([]admission.CachedPrefix, n)
	for i := range prefixes {
		p := parts[i*cachedPrefixSize:]
		prefixes[i] = admission.CachedPrefix{Server: admission.ServerID(binary.LittleEndian.Uint32(p)), Prefix: binary.LittleEndian.Uint64(p[4:])}
	}
	return prefixes, rest, nil
}

func readShuttingDown(b []byte) ([]admission.ServerID, []byte, error) {
	parts, rest, n, err := splitList(b, serverIDSize)
	if err != nil {
		return nil, nil, err
	}
	servers := make([]admission.ServerID, n)
	for i := range servers {
		servers[i] = admission.ServerID(binary.LittleEndian.Uint32(parts[i*serverIDSize:]))
	}
	return servers, rest, nil
}
