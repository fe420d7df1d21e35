package datagram

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFieldsAreReadInOrder(t *testing.T) {
	b := AppendName(nil, "router-1")
	b = append(b, 7, 1, 2, 1, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0)
	r := NewReader(b)
	qt.Check(t, r.Name(), qt.Equals, "router-1")
	qt.Check(t, r.Byte(), qt.Equals, 7)
	qt.Check(t, r.Uint16(), qt.Equals, uint16(0x0201))
	qt.Check(t, r.Uint32(), qt.Equals, uint32(1))
	qt.Check(t, r.Complete(), qt.IsFalse)
	qt.Check(t, r.Uint64(), qt.Equals, uint64(2))
	qt.Check(t, r.Complete(), qt.IsTrue)
}

// A truncated field fails the whole datagram, whatever is read after it.
func TestATruncatedFieldFails(t *testing.T) {
	b := AppendName(nil, strings.Repeat("x", 300))
	for cut := range len(b) {
		r := NewReader(b[:cut])
		_ = r.Name()
		qt.Check(t, r.Failed(), qt.IsTrue)
		qt.Check(t, r.Uint32(), qt.Equals, uint32(0))
		qt.Check(t, r.Complete(), qt.IsFalse)
	}
	r := NewReader(b)
	qt.Check(t, r.Name(), qt.Equals, strings.Repeat("x", 255))
	qt.Check(t, r.Complete(), qt.IsTrue)
}
