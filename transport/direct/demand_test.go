package direct

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/fairshare"
)

// Guards against a flooding team whose demand seems small, so that other teams may exceed
// their shares: requests refused for lack of streams count as demand, too.
func TestARefusalForStreamsCountsAsDemand(t *testing.T) {
	r := unservedRouter(newBackend(t, "i-1", ok))
	r.fresh.Confirm(bootTime())
	r.admission.SetService("app", admission.Traits{Engine: true})
	r.load.maxStreams.Store(1)
	r.load.streams = 2
	req := httptest.NewRequest(http.MethodPost, "/stream/", http.NoBody)
	w := httptest.NewRecorder()
	c := &call{
		r: r, w: w, req: req, meta: Meta{ID: "a1", Prompt: 1000, Output: 100}, table: r.table.Load(), service: "app", team: "a",
		received: time.Now(), deadline: time.Now().Add(3 * time.Second),
	}
	c.route = c.table.Route("h", "/stream/")
	c.dispatch(req.Context())
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	asked := r.admission.Digest(time.Now(), true, true).Teams[fairshare.IDOf("a")].Requested
	qt.Check(t, asked >= 1000, qt.IsTrue, qt.Commentf("%v tokens", asked))
}
