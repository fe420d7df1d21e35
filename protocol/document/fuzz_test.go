package document_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/document"
	"goldcrestport/state/config"
)

// Any input is either rejected with ErrNotDocument or decodes to a document that
// survives encoding and decoding unchanged.
func FuzzDecode(f *testing.F) {
	packed, err := document.Encode(fleetDocument(3, 2))
	qt.Assert(f, err, qt.IsNil)
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	for _, text := range []string{
		"", "null", "[]", "\x1f\x8b", `{"revision":-1}`, `{"revision":18446744073709551615}`,
		`{"teams":{"":{"share":1e308}},"services":{"s":null},"drain":[""]}`,
		`{"revision":3,"teams":{"x":{"share":1}},"services":{},"back":{}}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := document.Decode(data)
		if err != nil {
			qt.Assert(t, errors.Is(err, document.ErrNotDocument), qt.IsTrue)
			return
		}
		again, err := document.Encode(d)
		if errors.Is(err, document.ErrTooLarge) {
			return
		}
		qt.Assert(t, err, qt.IsNil)
		read, err := document.Decode(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, read.Revision, qt.Equals, d.Revision)
		qt.Assert(t, config.Equal(read, d), qt.IsTrue)
	})
}
