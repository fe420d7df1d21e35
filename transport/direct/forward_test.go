package direct

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/mirror"
	"goldcrestport/coordination/watchduty"
	"goldcrestport/protocol/digest"
	"goldcrestport/protocol/settings"
)

// neighbour is another router of the fleet, simulated by the test.
type neighbour struct {
	id   string
	conn *net.UDPConn
}

// sendMessage sends a message to the router under test.
func (n *neighbour) sendMessage(c *qt.C, f *fixture, dataCentre string, seq uint32) {
	n.send(c, f, digest.Append(nil, digest.Message{Router: n.id, Seq: seq, DataCentre: digest.DataCentreOf(dataCentre), PassesOn: true}))
}

func (n *neighbour) send(c *qt.C, f *fixture, b []byte) {
	to, err := net.ResolveUDPAddr("udp4", f.set.Listen.Peers)
	c.Assert(err, qt.IsNil)
	_, err = n.conn.WriteToUDP(b, to)
	c.Assert(err, qt.IsNil)
}

// receive returns the messages of a router that arrive within the time, and how many of them
// were to be forwarded.
func (n *neighbour) receive(router string, within time.Duration) (out []digest.Message, passOn int) {
	buf := make([]byte, maxDatagram)
	_ = n.conn.SetReadDeadline(time.Now().Add(within))
	for {
		size, err := n.conn.Read(buf)
		if err != nil {
			return out, passOn
		}
		datagram := buf[:size]
		if p, err := digest.ReadPassOn(datagram); err == nil {
			datagram = p.Message
			passOn++
		}
		if m, err := digest.Read(datagram); err == nil && m.Router == router {
			out = append(out, m)
		}
	}
}

// startWithNeighbours starts a router that knows the simulated neighbours.
func startWithNeighbours(t *testing.T, ids ...string) (*fixture, map[string]*neighbour) {
	c := qt.New(t)
	all := map[string]*neighbour{}
	joined := map[string]mirror.Registration{}
	for _, id := range ids {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		all[id] = &neighbour{id, conn}
		joined[id] = mirror.Registration{Address: conn.LocalAddr().String()}
	}
	f := startWith(t, testConfig(1), func(set *settings.Direct, _ *testSource) {
		set.ID, set.Listen.Peers, set.DataCentre = "self", freeAddress(c), "here"
	}, newBackend(t, "i-1", ok))
	f.source.changes <- mirror.Delta{Revision: 2, Joined: joined}
	return f, all
}

// A message to be forwarded from another data centre's router goes to the routers of this data
// centre, each with its own part of the message, and to no other router.
func TestAMessageIsForwardedInItsDataCentre(t *testing.T) {
	f, all := startWithNeighbours(t, "near-1", "near-2", "far-1", "far-2")
	for _, n := range all {
		dataCentre := "there"
		if strings.HasPrefix(n.id, "near") {
			dataCentre = "here"
		}
		n.sendMessage(f.C, f, dataCentre, 1)
	}
	time.Sleep(300 * time.Millisecond)
	message := digest.Append(nil, digest.Message{Router: "far-1", Seq: 2, DataCentre: digest.DataCentreOf("there"), PassesOn: true})
	heard := map[digest.Router]uint32{digest.RouterOf("near-1"): 7, digest.RouterOf("near-2"): 8}
	all["far-1"].send(f.C, f, digest.AppendPassOn(nil, digest.PassOn{Heard: heard, Revision: 2, Message: message}))
	for id, n := range all {
		got, _ := n.receive("far-1", 300*time.Millisecond)
		if strings.HasPrefix(id, "far") {
			f.Check(got, qt.HasLen, 0, qt.Commentf("%s", id))
			continue
		}
		f.Assert(got, qt.HasLen, 1, qt.Commentf("%s", id))
		f.Check(got[0].Seq, qt.Equals, uint32(2))
		f.Check(got[0].Heard, qt.Equals, heard[digest.RouterOf(id)])
		f.Check(got[0].Revision, qt.Equals, uint64(2))
	}
}

// In a data centre of many routers, a digest is sent there once or, with a confirmation by the
// store, twice, through routers that take turns; watchers receive each digest directly.
func TestADigestIsSentOncePerDataCentre(t *testing.T) {
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprintf("far-%d", i))
	}
	f, all := startWithNeighbours(t, ids...)
	crossed := map[uint32]int{}
	passers := map[string]bool{}
	for round := range 8 {
		for _, n := range all {
			n.sendMessage(f.C, f, "there", uint32(round+1))
		}
		for id, n := range all {
			got, passOn := n.receive("self", 30*time.Millisecond)
			for _, m := range got {
				crossed[m.Seq]++
			}
			if passOn > 0 {
				passers[id] = true
			}
		}
	}
	few := 0
	for _, times := range crossed {
		if times <= confirmationCopies+watchduty.DefaultConfig().Watchers {
			few++
		}
	}
	// The first ones were sent before a message of any router was received.
	f.Check(few > 5, qt.IsTrue, qt.Commentf("%v", crossed))
	f.Check(len(passers) > 2, qt.IsTrue, qt.Commentf("%d routers were asked to forward", len(passers)))
}
