package direct

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"goldcrestport/coordination/quarantine"
	"goldcrestport/protocol/crashreport"
)

// Times of what routers tell each other of crashes.
const (
	// standEvery is the time between tellings of what was told before, in small
	// fleets: a lost datagram costs a quarter of a second.
	standEvery = 250 * time.Millisecond
	// warnBudget bounds the datagrams of news in a second. News is rare and
	// small: at 800 routers all know of a crash in half a second.
	warnBudget = 2000
)

// warn tells the others what is new of crashes, and what stands when it is time.
func (t *teller) warn(now time.Time) {
	others := time.Duration(len(t.destinations))
	r := t.r
	r.mu.Lock()
	var reports []quarantine.Report
	if r.quarantine.HasUnsent() && now.Sub(t.warned) >= others*time.Second/warnBudget {
		t.warned = now
		reports = r.quarantine.UnsentReports(now)
	}
	if now.Sub(t.stood) >= max(standEvery, others*time.Second/tellBudget) {
		t.stood = now
		reports = append(reports, r.quarantine.PeriodicReports(now)...)
	}
	if len(reports) > 0 {
		t.addresses()
	}
	r.mu.Unlock()
	for _, one := range reports {
		t.buf = crashreport.Append(t.buf[:0], r.set.ID, one)
		for _, to := range t.destinations {
			if _, err := t.conn.WriteToUDPAddrPort(t.buf, to); err != nil {
				r.metrics.peerErrors.Add(1)
			}
		}
	}
}

// takeReport takes another router's report of crashes.
func (r *Router) takeReport(datagram []byte) error {
	router, report, err := crashreport.Read(datagram)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Merge(time.Now(), router, report)
	r.noteQuarantine()
	return nil
}

// listed is a refused request as operators read it.
type listed struct {
	Content string    `json:"content"`
	Since   time.Time `json:"since"`
	// Trials is the number of sends that were allowed since.
	Trials  int      `json:"trials"`
	Crashes []strike `json:"crashes"`
}

// strike is one crash that a request is refused for.
type strike struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`
	// ToldBy are the routers that named the request.
	ToldBy []string `json:"told_by"`
}

// listQuarantine writes the refused requests.
func (r *Router) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	entries := r.quarantine.List()
	r.mu.Unlock()
	out := make([]listed, 0, len(entries))
	for _, e := range entries {
		one := listed{Content: e.Content.String(), Since: e.Since.UTC(), Trials: e.Trials}
		for _, s := range e.Reasons {
			one.Crashes = append(one.Crashes, strike{Server: s.Server, At: s.At.UTC(), ToldBy: s.ReportedBy})
		}
		out = append(out, one)
	}
	w.Header().Set("Content-Type", "application/json")
	// The reader may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(out)
}

// releaseQuarantined takes a request off the list, at all routers.
func (r *Router) releaseQuarantined(w http.ResponseWriter, req *http.Request) {
	content, err := strconv.ParseUint(req.PathValue("content"), 16, 64)
	if err != nil {
		http.Error(w, "content is a number of 16 hexadecimal digits", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	known := r.quarantine.Release(time.Now(), quarantine.Fingerprint(content))
	r.noteQuarantine()
	r.mu.Unlock()
	if !known {
		http.Error(w, "nothing is known of this content", http.StatusNotFound)
	}
}
