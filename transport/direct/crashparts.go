package direct

import (
	"strings"
	"time"

	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/protocol/partreport"
)

// sentRun is one send of a request, as the quarantines of requests and of parts of prompts know it.
type sentRun struct {
	request *quarantine.Run
	parts   *partquarantine.Run
}

// checkParts decides on the request by the parts of its prompt. The caller holds mu.
func (c *call) checkParts(now time.Time) quarantine.Verdict {
	decision := c.r.parts.Check(now, c.service, c.route.Name, c.meta.Shared)
	c.isolation = decision.Isolation
	switch decision.Verdict {
	case partquarantine.Refuse:
		return quarantine.Refuse
	case partquarantine.Wait:
		return quarantine.Wait
	default:
		return quarantine.Pass
	}
}

// answerBegins records that a server has started a successful answer.
func (c *call) answerBegins(run sentRun, status int, reply Reply) {
	if run.parts == nil || !isSuccess(status) || !reply.Marked {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.parts.Answered(time.Now(), run.parts)
}

// receivePartReport processes another router's report on parts of prompts.
func (r *Router) receivePartReport(datagram []byte) error {
	_, report, err := partreport.Read(datagram)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts.Merge(time.Now(), report)
	r.handleQuarantineEvents()
	return nil
}

// explainCrashes tells the quarantine of requests which crashes had a refused set of parts as their
// cause. The caller holds mu.
func (r *Router) explainCrashes() {
	if r.parts.RefusedCount() > 0 {
		r.quarantine.Explain(r.parts.Explained())
	}
}

// handlePartEvents logs and counts what became of parts of prompts. The caller holds mu.
func (r *Router) handlePartEvents() {
	for _, e := range r.parts.Events() {
		switch e.Kind {
		case partquarantine.Refused:
			r.metrics.partsRefused.Add(1)
			r.explainCrashes()
			r.event("parts_refused", "parts", writeParts(e.Parts), "servers", strings.Join(e.Servers, ","), "peer", e.ByPeer)
		case partquarantine.Cleared:
			r.metrics.partsCleared.Add(1)
			if allowed, dropped := r.failureLines.Allow("part_cleared", time.Now()); allowed {
				r.event("part_cleared", "part", writeParts(e.Parts), "left_out", dropped)
			}
		}
	}
}

// writeParts lists the parts as hexadecimal numbers.
func writeParts(parts []partquarantine.Part) string {
	var texts []string
	for _, p := range parts {
		texts = append(texts, partText(p))
	}
	return strings.Join(texts, ",")
}

// refusedParts returns a refused set for the list for operators.
func refusedParts(e partquarantine.Entry) refusedRequest {
	one := refusedRequest{Since: e.Since.UTC(), Probes: e.Probes + e.Partial}
	for _, p := range e.Parts {
		one.Parts = append(one.Parts, partText(p))
	}
	for _, server := range e.Servers {
		one.Crashes = append(one.Crashes, strike{Server: server})
	}
	return one
}

// partText writes a part as operators name it, like a fingerprint of 16 hexadecimal digits.
func partText(p partquarantine.Part) string { return quarantine.Fingerprint(p).String() }

// inPartQuarantine reads a count from the quarantine of parts.
func (r *Router) inPartQuarantine(number func(*partquarantine.State) int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return number(r.parts)
}
