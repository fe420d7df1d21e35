package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/health"
	"goldcrestport/coordination/pace"
	"goldcrestport/protocol/pacereport"
)

// startPaced starts a router that uses the pace of servers, with a simulated neighbour.
func startPaced(t *testing.T) (*fixture, *neighbour) {
	f, all := startWithNeighbours(t, "near-1")
	f.router.mu.Lock()
	f.router.admission.SetService("app", admission.Traits{Engine: true})
	f.router.admission.SetPaceMode(pace.On)
	f.router.mu.Unlock()
	return f, all["near-1"]
}

// prefillOnce lets the server prefill a prompt and answer it after the time.
func (f *fixture) prefillOnce(tokens int, took time.Duration) {
	r := f.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	d := r.admission.Place(now, admission.Request{Service: "app", Team: "a", Prompt: tokens})
	f.Assert(d.Run, qt.IsNotNil)
	r.admission.FirstByte(now.Add(took), d.Run)
	r.admission.Ended(now.Add(took), d.Run, health.Success)
}

// receiveReport returns the first pace report that arrives within the time.
func (n *neighbour) receiveReport(c *qt.C, within time.Duration) (pace.Report, bool) {
	c.Assert(n.conn.SetReadDeadline(time.Now().Add(within)), qt.IsNil)
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return pace.Report{}, false
		}
		if pacereport.Is(buf[:size]) {
			report, err := pacereport.Read(buf[:size])
			c.Assert(err, qt.IsNil)
			return report, true
		}
	}
}

// What a router learns of a server goes to the other routers; without new evidence nothing is sent.
func TestLearntPaceIsSentToOtherRouters(t *testing.T) {
	f, neighbour := startPaced(t)
	neighbour.sendMessage(f.C, f, "here", 1)
	time.Sleep(300 * time.Millisecond)
	_, sent := neighbour.receiveReport(f.C, 1500*time.Millisecond)
	f.Check(sent, qt.IsFalse)
	var report pace.Report
	for seq := uint32(2); !sent; seq++ {
		f.Assert(seq < 20, qt.IsTrue, qt.Commentf("nothing was sent"))
		// Nothing is learnt while the other routers' digests are old, or while the process reads late as the
		// machine is busy.
		neighbour.sendMessage(f.C, f, "here", seq)
		time.Sleep(100 * time.Millisecond)
		f.prefillOnce(20_000, 200*time.Millisecond)
		report, sent = neighbour.receiveReport(f.C, 1500*time.Millisecond)
	}
	f.Assert(report.Servers, qt.HasLen, 1)
	f.Check(report.Servers[0].Server, qt.Equals, pace.ServerID(admission.NumberOf("i-1", 0)))
}

// Guards against a malformed report, or one of servers that are not known, that does more than count as an error.
func TestReceivedPaceIsUsed(t *testing.T) {
	f, neighbour := startPaced(t)
	valid := pacereport.Append(nil, pace.Report{Servers: []pace.Evidence{{Server: pace.ServerID(admission.NumberOf("i-1", 0)), Tokens: 100_000, TokenTime: 0.02}}})
	unknown := pacereport.Append(nil, pace.Report{Servers: []pace.Evidence{{Server: 1, Tokens: 100_000, TokenTime: 0.02}}})
	errors := f.router.metrics.peerErrors.Value()
	neighbour.send(f.C, f, valid[:len(valid)-1])
	neighbour.send(f.C, f, unknown)
	time.Sleep(200 * time.Millisecond)
	f.Check(f.router.metrics.peerErrors.Value()-errors, qt.Equals, int64(1))
	f.Check(f.router.paceByService(func(one pace.Summary) float64 { return one.Rate }), qt.HasLen, 0)
	neighbour.send(f.C, f, valid)
	time.Sleep(200 * time.Millisecond)
	rates := f.router.paceByService(func(one pace.Summary) float64 { return one.Rate })
	f.Check(rates["app"] > 45 && rates["app"] < 60, qt.IsTrue, qt.Commentf("%v", rates))
}
