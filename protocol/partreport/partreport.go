// Package partreport encodes and decodes the datagrams in which routers report to each other which
// parts of prompts were at backend servers that crashed.
//
// They are separate from crash reports, so that a router of a version that does not know them drops
// only these.
package partreport

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/partquarantine"
	"goldcrestport/protocol/datagram"
)

// version is the first byte of a datagram. No other datagram starts with it.
const version = 0x84

// maxCount is the limit of counts, which are encoded in one byte.
const maxCount = 255

// Flags of runs.
const (
	isolatedFlag = 1 << iota
	doubtfulFlag
)

// ErrForm means that a datagram is not a well-formed report of this version.
var ErrForm = errors.New("no report on parts of this version")

// Is reports whether the datagram starts as a report on parts.
func Is(b []byte) bool { return len(b) > 0 && b[0] == version }

// Append appends the router's encoded report to b. Of each list, only the first 255 entries are
// written; the reports of coordination/partquarantine have fewer.
func Append(b []byte, router string, r partquarantine.Report) []byte {
	b = datagram.AppendName(append(b, version), router)
	crashes := r.Crashes[:min(len(r.Crashes), maxCount)]
	b = append(b, byte(len(crashes)))
	for _, c := range crashes {
		b = appendAge(datagram.AppendName(b, c.Server), c.Age)
		runs := c.Runs[:min(len(c.Runs), maxCount)]
		b = append(b, byte(len(runs)))
		for _, run := range runs {
			b = appendParts(append(b, flags(run)), run.Parts)
		}
	}
	harmless := r.Harmless[:min(len(r.Harmless), maxCount)]
	b = append(b, byte(len(harmless)))
	for _, one := range harmless {
		b = appendAge(binary.LittleEndian.AppendUint64(b, uint64(one.Part)), one.Age)
	}
	refusals := r.Refusals[:min(len(r.Refusals), maxCount)]
	b = append(b, byte(len(refusals)))
	for _, one := range refusals {
		b = appendAge(appendParts(b, one.Parts), one.Age)
		b = append(b, byte(min(one.Probes, maxCount)), byte(min(one.Partial, maxCount)), byte(min(len(one.Servers), maxCount)))
		for _, server := range one.Servers[:min(len(one.Servers), maxCount)] {
			b = datagram.AppendName(b, server)
		}
	}
	return b
}

func flags(run partquarantine.RunReport) byte {
	var out byte
	if run.Isolated {
		out |= isolatedFlag
	}
	if run.Doubtful {
		out |= doubtfulFlag
	}
	return out
}

func appendParts(b []byte, parts []partquarantine.Part) []byte {
	parts = parts[:min(len(parts), maxCount)]
	b = append(b, byte(len(parts)))
	for _, p := range parts {
		b = binary.LittleEndian.AppendUint64(b, uint64(p))
	}
	return b
}

// appendAge appends the age in whole milliseconds, limited to seven weeks.
func appendAge(b []byte, age time.Duration) []byte {
	return binary.LittleEndian.AppendUint32(b, uint32(min(max(age.Milliseconds(), 0), math.MaxUint32)))
}

// Read decodes a datagram.
func Read(b []byte) (router string, r partquarantine.Report, err error) {
	if !Is(b) {
		return "", r, ErrForm
	}
	d := decoder{datagram.NewReader(b[1:])}
	router = d.Name()
	for range d.Byte() {
		c := partquarantine.CrashReport{Server: d.Name(), Age: d.age()}
		for range d.Byte() {
			flags := d.Byte()
			c.Runs = append(c.Runs, partquarantine.RunReport{Parts: d.parts(), Isolated: flags&isolatedFlag != 0, Doubtful: flags&doubtfulFlag != 0})
		}
		r.Crashes = append(r.Crashes, c)
	}
	for range d.Byte() {
		r.Harmless = append(r.Harmless, partquarantine.HarmlessReport{Part: d.part(), Age: d.age()})
	}
	for range d.Byte() {
		one := partquarantine.RefusalReport{Parts: d.parts(), Age: d.age(), Probes: d.Byte(), Partial: d.Byte()}
		for range d.Byte() {
			one.Servers = append(one.Servers, d.Name())
		}
		r.Refusals = append(r.Refusals, one)
	}
	if !d.Complete() {
		return "", partquarantine.Report{}, ErrForm
	}
	return router, r, nil
}

// decoder reads the fields of these datagrams.
type decoder struct{ datagram.Reader }

func (d *decoder) age() time.Duration {
	return time.Duration(d.Uint32()) * time.Millisecond
}

func (d *decoder) part() partquarantine.Part {
	return partquarantine.Part(d.Uint64())
}

func (d *decoder) parts() []partquarantine.Part {
	var out []partquarantine.Part
	for range d.Byte() {
		out = append(out, d.part())
	}
	return out
}
