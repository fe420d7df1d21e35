package direct

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/protocol/crashreport"
	"goldcrestport/protocol/partreport"
)

// Intervals and limits of the crash reports between routers.
const (
	// repeatInterval is the interval between repetitions of earlier reports in small fleets: a
	// lost datagram costs a quarter of a second.
	repeatInterval = 250 * time.Millisecond
	// reportBudget bounds the datagrams per second with new reports. New reports are rare and
	// small: with 800 routers, all receive a crash report within half a second.
	reportBudget = 2000
)

// sendCrashReports sends new crash reports to the other routers, and repeats the earlier ones
// when they are due.
func (t *gossiper) sendCrashReports(now time.Time) {
	others := time.Duration(len(t.destinations))
	r := t.r
	r.mu.Lock()
	var reports []quarantine.Report
	var partReports []partquarantine.Report
	if (r.quarantine.HasUnsent() || r.parts.HasUnsent()) && now.Sub(t.reportsSent) >= others*time.Second/reportBudget {
		t.reportsSent = now
		reports, partReports = r.quarantine.UnsentReports(now), r.parts.UnsentReports(now)
	}
	if now.Sub(t.repeatsSent) >= max(repeatInterval, others*time.Second/digestBudget) {
		t.repeatsSent = now
		reports = append(reports, r.quarantine.PeriodicReports(now)...)
		partReports = append(partReports, r.parts.PeriodicReports(now)...)
	}
	if len(reports)+len(partReports) > 0 {
		t.updateDestinations()
	}
	r.mu.Unlock()
	for _, one := range reports {
		t.buf = crashreport.Append(t.buf[:0], r.set.ID, one)
		t.sendToAll()
	}
	for _, one := range partReports {
		t.buf = partreport.Append(t.buf[:0], r.set.ID, one)
		t.sendToAll()
	}
}

// sendToAll sends the datagram in the buffer to all other routers.
func (t *gossiper) sendToAll() {
	for _, to := range t.destinations {
		if _, err := t.conn.WriteToUDPAddrPort(t.buf, to); err != nil {
			t.r.metrics.peerErrors.Add(1)
		}
	}
}

// receiveReport processes another router's crash report.
func (r *Router) receiveReport(datagram []byte) error {
	router, report, err := crashreport.Read(datagram)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteDeaths(report.Crashes)
	r.quarantine.Merge(time.Now(), router, report)
	r.handleQuarantineEvents()
	return nil
}

// noteDeaths records which processes other routers saw end: the entry of a server may still be that of
// such a process, also if this router began after its end. The caller holds mu.
func (r *Router) noteDeaths(crashes []quarantine.CrashReport) {
	for _, c := range crashes {
		id, _, _ := strings.Cut(c.Server, "@")
		if server, known := r.servers[id]; known && server.Identity() == c.Server {
			r.pool.DeathSeen(c.Server, c.Age)
		}
	}
}

// refusedRequest is a refused request in the list for operators.
type refusedRequest struct {
	Content string    `json:"content"`
	Since   time.Time `json:"since"`
	// Probes is the number of probe requests that were allowed since.
	Probes  int      `json:"trials"`
	Crashes []strike `json:"crashes"`
	// Parts is the refused set, if not one request is refused but all with these parts of prompts.
	Parts []string `json:"parts,omitempty"`
}

// strike is a crash counted against a request's fingerprint.
type strike struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`
	// ReportedBy are the routers that reported the request.
	ReportedBy []string `json:"told_by"`
}

// listQuarantine writes the refused requests.
func (r *Router) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	entries, parts := r.quarantine.List(), r.parts.List()
	r.mu.Unlock()
	out := make([]refusedRequest, 0, len(entries))
	for _, e := range entries {
		one := refusedRequest{Content: e.Content.String(), Since: e.Since.UTC(), Probes: e.Trials}
		for _, s := range e.Reasons {
			one.Crashes = append(one.Crashes, strike{Server: s.Server, At: s.At.UTC(), ReportedBy: s.ReportedBy})
		}
		out = append(out, one)
	}
	for _, e := range parts {
		out = append(out, refusedParts(e))
	}
	w.Header().Set("Content-Type", "application/json")
	// The reader may be gone, and the error cannot be reported elsewhere.
	_ = json.NewEncoder(w).Encode(out)
}

// releaseQuarantined removes a request, or a part of prompts, from the quarantine, at all routers.
func (r *Router) releaseQuarantined(w http.ResponseWriter, req *http.Request) {
	content, err := strconv.ParseUint(req.PathValue("content"), 16, 64)
	if err != nil {
		http.Error(w, "content is a number of 16 hexadecimal digits", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	known := r.quarantine.Release(time.Now(), quarantine.Fingerprint(content))
	known = r.parts.Release(time.Now(), partquarantine.Part(content)) || known
	r.handleQuarantineEvents()
	r.mu.Unlock()
	if !known {
		http.Error(w, "nothing is known of this content", http.StatusNotFound)
	}
}
