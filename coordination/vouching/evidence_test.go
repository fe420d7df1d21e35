package vouching

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Each way in which a process may be known after its stream has ended. The lag of entries is 4 s.
func TestSettles(t *testing.T) {
	c := DefaultConfig()
	for name, tc := range map[string]struct {
		entry Entry
		ev    Evidence
		want  bool
	}{
		"it lives, and would have written another entry": {Entry{ConfirmedAt: 60 * second}, Evidence{Since: 56 * second, Until: 60 * second}, true},
		"it lives, and began too late":                   {Entry{ConfirmedAt: 60 * second}, Evidence{Since: 57 * second, Until: 60 * second}, false},
		"it was last known to live before":               {Entry{ConfirmedAt: 60 * second}, Evidence{Since: 50 * second, Until: 59 * second}, false},
		"the store was away until lately":                {Entry{ConfirmedAt: 60 * second, ResumedAt: 57 * second}, Evidence{Since: 50 * second, Until: 60 * second}, false},
		"the store was away until long ago":              {Entry{ConfirmedAt: 60 * second, ResumedAt: 56 * second}, Evidence{Since: 50 * second, Until: 60 * second}, true},
		"the entry is new, which says nothing of it":     {Entry{SeenAt: 60 * second, ConfirmedAt: 60 * second}, Evidence{Since: 59 * second, Until: 60 * second}, false},
	} {
		qt.Check(t, c.Settles(tc.entry, tc.ev), qt.Equals, tc.want, qt.Commentf(name))
	}
}

// Only a connection that was open when the process was last known to live leads to the same one.
func TestEvidenceContinues(t *testing.T) {
	ev := Evidence{Since: 10 * second, Until: 20 * second}
	qt.Check(t, ev.Continued(20*second, 30*second), qt.Equals, Evidence{Since: 10 * second, Until: 30 * second})
	qt.Check(t, ev.Continued(5*second, 30*second), qt.Equals, Evidence{Since: 5 * second, Until: 30 * second})
	qt.Check(t, ev.Continued(21*second, 30*second), qt.Equals, ev)
}

// How long a doubt lasts that is as old as given: callers are told to come back then. Entries lag 4 s
// and are confirmed each second.
func TestRemaining(t *testing.T) {
	c := DefaultConfig()
	for name, tc := range map[string]struct {
		s          Confirmations
		since, now time.Duration
		want       time.Duration
		mayEnd     bool
	}{
		"it has just begun":                {Confirmations{ConfirmedAt: 60 * second}, 60 * second, 60 * second, 5 * second, true},
		"it ends soon":                     {Confirmations{ConfirmedAt: 64 * second}, 60 * second, 64 * second, second, true},
		"it is overdue":                    {Confirmations{ConfirmedAt: 67 * second}, 60 * second, 67 * second, second / 4, true},
		"nobody can know it any more":      {Confirmations{ConfirmedAt: 70 * second}, 60 * second, 70 * second, 0, false},
		"the store is away":                {Confirmations{ConfirmedAt: 60 * second}, 60 * second, 80 * second, 5 * second, true},
		"the store has answered for 2 s":   {Confirmations{ConfirmedAt: 80 * second, ResumedAt: 78 * second}, 60 * second, 80 * second, 3 * second, true},
		"the store has answered for 10 s":  {Confirmations{ConfirmedAt: 80 * second, ResumedAt: 70 * second}, 60 * second, 80 * second, 0, false},
		"it is older than any known entry": {Confirmations{ConfirmedAt: 80 * second}, 0, 80 * second, 0, false},
	} {
		got, mayEnd := c.Remaining(tc.s, tc.since, tc.now)
		qt.Check(t, got, qt.Equals, tc.want, qt.Commentf(name))
		qt.Check(t, mayEnd, qt.Equals, tc.mayEnd, qt.Commentf(name))
	}
}

// tick is the unit of the model's time.
const tick = 100 * time.Millisecond

// addressModel is a server's address behind which one process follows the other, its entry, and what
// a router sees of both.
type addressModel struct {
	cfg Config
	now time.Duration
	// process numbers the one that serves; version is its software's, servedT how long it has served, and
	// writesAfter how long it takes to write its entry, not counting time in which the store is away:
	// half of the lag at most, as the other half is for a store that is away for too short to be noticed.
	process, version     int
	writesAfter, servedT time.Duration
	// entry is the version in the store, number that of its changes, and heldBy the process that wrote it.
	entry, number, heldBy int
	storeAway             bool
	confirmations         Confirmations
	// open are the times since which the process of each open connection is known.
	open []time.Duration
}

// restart lets another process take the address.
func (m *addressModel) restart(version int, writesAfter time.Duration) {
	m.process++
	m.version, m.writesAfter, m.servedT = version, writesAfter, 0
	m.open = nil
}

// advance lets one tick pass: a process that has served for long enough writes its entry.
func (m *addressModel) advance() {
	m.now += tick
	if m.storeAway {
		return
	}
	m.servedT += tick
	if m.heldBy == m.process {
		return
	}
	if m.servedT >= m.writesAfter {
		if m.entry != m.version {
			m.entry = m.version
			m.number++
		}
		m.heldBy = m.process
	}
}

// since returns since when the process is known to which a connection is opened now.
func (m *addressModel) since() time.Duration {
	first := m.now
	for _, one := range m.open {
		first = min(first, one)
	}
	return first
}

// doubtedStream is a stream that began at a process of the version while the entry said another, or the
// same, as its change of that number.
type doubtedStream struct {
	ev                     Evidence
	version, entry, number int
}

// act lets something happen, or mostly nothing.
func (m *addressModel) act(r *rand.Rand) {
	switch r.IntN(150) {
	case 0, 1:
		m.restart(1+r.IntN(2), tick*time.Duration(r.IntN(20)))
	case 2:
		m.storeAway = !m.storeAway
	case 3, 4, 5, 6, 7, 8:
		m.open = append(m.open, m.since())
	case 9, 10:
		m.open = m.open[:max(len(m.open)-1, 0)]
	}
	if !m.storeAway {
		m.confirmations = m.cfg.Confirm(m.confirmations, m.now)
	}
}

// settles reports whether the stream is settled now.
func (m *addressModel) settles(one *doubtedStream) bool {
	if len(m.open) > 0 {
		one.ev = one.ev.Continued(m.since(), m.now)
	}
	e := Entry{ConfirmedAt: m.confirmations.ConfirmedAt, ResumedAt: m.confirmations.ResumedAt}
	return one.number == m.number && m.cfg.Settles(e, one.ev)
}

// Guards against a stream that is settled as of the version of an entry which its process never wrote:
// whatever processes follow each other at the address, however short they live, whenever the store is
// away, and whatever connections are opened and closed.
func TestADoubtIsNeverSettledForAnotherProcess(t *testing.T) {
	settled, doubted := 0, 0
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 0))
		m := &addressModel{cfg: DefaultConfig(), now: time.Minute, process: 1, version: 1, entry: 1, heldBy: 1}
		var streams []doubtedStream
		for range 600 {
			m.advance()
			m.act(r)
			if r.IntN(20) == 0 {
				streams = append(streams, doubtedStream{Evidence{m.since(), m.now}, m.version, m.entry, m.number})
				doubted++
			}
			for i := range streams {
				one := &streams[i]
				if !m.settles(one) {
					continue
				}
				settled++
				if one.version != one.entry {
					t.Fatalf("seed %d: a stream of version %d is settled as of %d: %+v", seed, one.version, one.entry, one.ev)
				}
				one.number = -1
			}
		}
	}
	t.Logf("%d of %d doubts end", settled, doubted)
	qt.Check(t, settled > doubted/10, qt.IsTrue)
}
