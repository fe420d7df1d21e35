// Package crashreport writes what routers tell each other of backend servers that
// crashed, and of the requests that did it, as datagrams.
//
// They are apart from the digests, so that routers of a version that does not know
// them drop them and no more.
package crashreport

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/quarantine"
)

// version begins a datagram. No digest begins so.
const version = 0x81

// Sizes of the parts, in bytes.
const (
	fingerprintSize = 8
	ageSize         = 4
	maxName         = 255
	maxCount        = 255
)

// ErrForm means that a datagram is no report of this version.
var ErrForm = errors.New("no crash report of this version")

// Is reports whether the datagram claims to be a report.
func Is(b []byte) bool { return len(b) > 0 && b[0] == version }

// Append writes the router's report. Parts beyond 255 of a kind are left out; the
// reports of coordination/quarantine have fewer.
func Append(b []byte, router string, r quarantine.Report) []byte {
	b = appendName(append(b, version), router)
	b = append(b, byte(min(len(r.Crashes), maxCount)))
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCount)] {
		b = appendAge(appendName(b, c.Server), c.Age)
		b = append(b, byte(min(len(c.Suspects), maxCount)))
		for _, content := range c.Suspects[:min(len(c.Suspects), maxCount)] {
			b = binary.LittleEndian.AppendUint64(b, uint64(content))
		}
	}
	b = append(b, byte(min(len(r.Refusals), maxCount)))
	for _, h := range r.Refusals[:min(len(r.Refusals), maxCount)] {
		b = appendAge(binary.LittleEndian.AppendUint64(b, uint64(h.Content)), h.Age)
		b = append(b, byte(min(h.Trials, maxCount)), byte(min(len(h.Reasons), maxCount)))
		for _, reason := range h.Reasons[:min(len(h.Reasons), maxCount)] {
			b = appendAge(appendName(b, reason.Server), reason.Age)
		}
	}
	b = append(b, byte(min(len(r.Cleared), maxCount)))
	for _, c := range r.Cleared[:min(len(r.Cleared), maxCount)] {
		b = appendAge(binary.LittleEndian.AppendUint64(b, uint64(c.Content)), c.Age)
	}
	return b
}

func appendName(b []byte, name string) []byte {
	name = name[:min(len(name), maxName)]
	return append(append(b, byte(len(name))), name...)
}

// appendAge writes whole milliseconds, which cover three weeks. An age is negative
// where something holds for some time yet.
func appendAge(b []byte, age time.Duration) []byte {
	ms := min(max(age.Milliseconds(), math.MinInt32), math.MaxInt32)
	return binary.LittleEndian.AppendUint32(b, uint32(int32(ms)))
}

// Read reads a datagram.
func Read(b []byte) (router string, r quarantine.Report, err error) {
	if !Is(b) {
		return "", r, ErrForm
	}
	d := decoder{rest: b[1:]}
	router = d.name()
	for range d.count() {
		c := quarantine.CrashReport{Server: d.name(), Age: d.age()}
		for range d.count() {
			c.Suspects = append(c.Suspects, d.fingerprint())
		}
		r.Crashes = append(r.Crashes, c)
	}
	for range d.count() {
		h := quarantine.RefusalReport{Content: d.fingerprint(), Age: d.age(), Trials: d.count()}
		for range d.count() {
			h.Reasons = append(h.Reasons, quarantine.StrikeReport{Server: d.name(), Age: d.age()})
		}
		r.Refusals = append(r.Refusals, h)
	}
	for range d.count() {
		r.Cleared = append(r.Cleared, quarantine.ClearedReport{Content: d.fingerprint(), Age: d.age()})
	}
	if d.failed || len(d.rest) > 0 {
		return "", quarantine.Report{}, ErrForm
	}
	return router, r, nil
}

// decoder reads parts until one is cut short; what follows is then zero.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) take(n int) []byte {
	if len(d.rest) < n {
		d.rest, d.failed = nil, true
		return make([]byte, n)
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) count() int { return int(d.take(1)[0]) }

func (d *decoder) name() string { return string(d.take(d.count())) }

func (d *decoder) age() time.Duration {
	return time.Duration(int32(binary.LittleEndian.Uint32(d.take(ageSize)))) * time.Millisecond
}

func (d *decoder) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint(binary.LittleEndian.Uint64(d.take(fingerprintSize)))
}
