package router_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkPath measures sequential requests through a router, a TCP proxy and a
// sidecar in this process.
func BenchmarkPath(b *testing.B) {
	backend := newBackend(b, func(http.ResponseWriter, *http.Request) {})
	f := newFleet(b)
	f.sidecar("sidecar-1", backend.URL)
	f.start()
	b.ReportAllocs()
	for b.Loop() {
		got, err := f.call(http.MethodPost, lookupPath, "body")
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, got.status, qt.Equals, http.StatusOK)
	}
}
