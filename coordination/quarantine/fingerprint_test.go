package quarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFingerprintDistinguishesRequests(t *testing.T) {
	base := Of("team", "POST", "h", "/a/1", []byte("body"))
	qt.Check(t, Of("team", "POST", "h", "/a/1", []byte("body")), qt.Equals, base)
	others := []Fingerprint{
		Of("other", "POST", "h", "/a/1", []byte("body")),
		Of("team", "PUT", "h", "/a/1", []byte("body")),
		Of("team", "POST", "i", "/a/1", []byte("body")),
		Of("team", "POST", "h", "/a/2", []byte("body")),
		Of("team", "POST", "h", "/a/1?q", []byte("body")),
		Of("team", "POST", "h", "/a/1", []byte("bodz")),
		Of("team", "POST", "h", "/a/1", nil),
		Of("tea", "mPOST", "h", "/a/1", []byte("body")),
		Of("team", "POST", "h/a", "/1", []byte("body")),
	}
	for i, other := range others {
		qt.Check(t, other, qt.Not(qt.Equals), base, qt.Commentf("case %d", i))
	}
}

func BenchmarkOf(b *testing.B) {
	body := make([]byte, 8<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		Of("team", "POST", "host.example", "/path/2f", body)
	}
}
