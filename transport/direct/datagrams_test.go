package direct

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/pace"
	"goldcrestport/coordination/partquarantine"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/protocol/crashreport"
	"goldcrestport/protocol/digest"
	"goldcrestport/protocol/originmsg"
	"goldcrestport/protocol/pacereport"
	"goldcrestport/protocol/partreport"
)

// Guards against two kinds of datagrams that begin alike: one of them would be dropped at every router.
func TestEachDatagramIsOfOneKind(t *testing.T) {
	for name, datagram := range map[string][]byte{
		"crash report": crashreport.Append(nil, "r", quarantine.Report{}),
		"part report":  partreport.Append(nil, "r", partquarantine.Report{}),
		"pace report":  pacereport.Append(nil, pace.Report{}),
		"digest":       digest.Append(nil, digest.Message{Router: "r"}),
	} {
		kinds := map[string]bool{
			"crash report": crashreport.Is(datagram), "part report": partreport.Is(datagram), "pace report": pacereport.Is(datagram),
			"origin": originmsg.Is(datagram), "relayed digest": digest.IsPassOn(datagram),
		}
		_, err := digest.Read(datagram)
		kinds["digest"] = err == nil
		for kind, is := range kinds {
			qt.Check(t, is, qt.Equals, kind == name, qt.Commentf("%s as %s", name, kind))
		}
	}
}
