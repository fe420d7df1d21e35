// Package crashreport encodes and decodes the datagrams in which routers report crashed
// backend servers to each other, and the requests suspected of crashing them.
//
// Crash reports are separate from digests, so that a router of a version that does not
// know them drops only the crash reports.
package crashreport

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/quarantine"
	"goldcrestport/protocol/datagram"
)

// version is the first byte of a datagram. No digest starts with it.
const version = 0x81

// maxCount is the limit of counts, which are encoded in one byte.
const maxCount = 255

// ErrForm means that a datagram is not a well-formed crash report of this version.
var ErrForm = errors.New("no crash report of this version")

// Is reports whether the datagram starts as a crash report.
func Is(b []byte) bool { return len(b) > 0 && b[0] == version }

// Append appends the router's encoded report to b. Of each list, only the first 255
// entries are written; the reports of coordination/quarantine have fewer.
func Append(b []byte, router string, r quarantine.Report) []byte {
	b = datagram.AppendName(append(b, version), router)
	b = append(b, byte(min(len(r.Crashes), maxCount)))
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCount)] {
		b = appendAge(datagram.AppendName(b, c.Server), c.Age)
		b = append(b, byte(min(len(c.Suspects), maxCount)))
		for _, fingerprint := range c.Suspects[:min(len(c.Suspects), maxCount)] {
			b = binary.LittleEndian.AppendUint64(b, uint64(fingerprint))
		}
	}
	b = append(b, byte(min(len(r.Refusals), maxCount)))
	for _, refusal := range r.Refusals[:min(len(r.Refusals), maxCount)] {
		b = appendAge(binary.LittleEndian.AppendUint64(b, uint64(refusal.Content)), refusal.Age)
		b = append(b, byte(min(refusal.Trials, maxCount)), byte(min(len(refusal.Reasons), maxCount)))
		for _, reason := range refusal.Reasons[:min(len(refusal.Reasons), maxCount)] {
			b = appendAge(datagram.AppendName(b, reason.Server), reason.Age)
		}
	}
	b = append(b, byte(min(len(r.Cleared), maxCount)))
	for _, c := range r.Cleared[:min(len(r.Cleared), maxCount)] {
		b = appendAge(binary.LittleEndian.AppendUint64(b, uint64(c.Content)), c.Age)
	}
	return b
}

// appendAge appends the age in whole milliseconds as a signed 32-bit number, which covers
// three weeks. A negative age stands for something that stays in force for that time.
func appendAge(b []byte, age time.Duration) []byte {
	ms := min(max(age.Milliseconds(), math.MinInt32), math.MaxInt32)
	return binary.LittleEndian.AppendUint32(b, uint32(int32(ms)))
}

// Read decodes a datagram.
func Read(b []byte) (router string, r quarantine.Report, err error) {
	if !Is(b) {
		return "", r, ErrForm
	}
	d := decoder{datagram.NewReader(b[1:])}
	router = d.Name()
	for range d.Byte() {
		c := quarantine.CrashReport{Server: d.Name(), Age: d.age()}
		for range d.Byte() {
			c.Suspects = append(c.Suspects, d.fingerprint())
		}
		r.Crashes = append(r.Crashes, c)
	}
	for range d.Byte() {
		refusal := quarantine.RefusalReport{Content: d.fingerprint(), Age: d.age(), Trials: d.Byte()}
		for range d.Byte() {
			refusal.Reasons = append(refusal.Reasons, quarantine.StrikeReport{Server: d.Name(), Age: d.age()})
		}
		r.Refusals = append(r.Refusals, refusal)
	}
	for range d.Byte() {
		r.Cleared = append(r.Cleared, quarantine.ClearedReport{Content: d.fingerprint(), Age: d.age()})
	}
	if !d.Complete() {
		return "", quarantine.Report{}, ErrForm
	}
	return router, r, nil
}

// decoder reads the fields of these datagrams.
type decoder struct{ datagram.Reader }

func (d *decoder) age() time.Duration {
	return time.Duration(int32(d.Uint32())) * time.Millisecond
}

func (d *decoder) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint(d.Uint64())
}
