package document_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/document"
	"goldcrestport/state/config"
)

func TestDecodeReadsPlainJSON(t *testing.T) {
	c := qt.New(t)
	d, err := document.Decode([]byte(`{"revision":3,"teams":{"x":{"share":1}},"services":{}}`))
	c.Assert(err, qt.IsNil)
	c.Assert(d.Revision, qt.Equals, uint64(3))
	for _, bad := range []string{"", "{", "\x1f\x8b", "\x1f\x8b\x08garbage-garbage"} {
		_, err := document.Decode([]byte(bad))
		c.Assert(errors.Is(err, document.ErrNotDocument), qt.IsTrue, qt.Commentf("%q", bad))
	}
}

// fleetDocument returns a document in which every team has two tokens and may use
// every service, as in the largest fleet that the encoding is designed for.
func fleetDocument(teams, services int) *config.Document {
	d := &config.Document{Teams: map[string]config.Team{}, Services: map[string]config.Service{}}
	var all []string
	for s := range services {
		name := fmt.Sprintf("service-number-%02d", s)
		all = append(all, name)
		d.Services[name] = config.Service{
			Kind:   config.KindModel,
			Models: []config.Model{{Name: name, Version: "2026-11-30"}},
		}
	}
	for n := range teams {
		name := fmt.Sprintf("team-with-a-long-name-%04d", n)
		d.Teams[name] = config.Team{
			Share:    float64(n%97) + 0.5,
			Tokens:   []string{digestOf(name + "old"), digestOf(name + "new")},
			Services: all,
		}
	}
	return d
}

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func TestDocumentOfTheLargestFleetFits(t *testing.T) {
	c := qt.New(t)
	d := fleetDocument(2100, 19)
	// The largest change replaces everything, so that the document has to hold the
	// whole previous content for a rollback.
	other := fleetDocument(2100, 19)
	for name, team := range other.Teams {
		team.Tokens = []string{digestOf(name + "1"), digestOf(name + "2")}
		other.Teams[name] = team
	}
	back := config.Between(d, other)
	plain, err := json.Marshal(d)
	c.Assert(err, qt.IsNil)
	alone, err := document.Encode(d)
	c.Assert(err, qt.IsNil)
	d.Back = &back
	data, err := document.Encode(d)
	c.Assert(err, qt.IsNil)
	t.Logf("2,100 teams, 19 services: %d bytes of JSON, %d stored, %d with the rollback of a change of every team",
		len(plain), len(alone), len(data))
	read, err := document.Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(config.Equal(read, d), qt.IsTrue)
}

func TestEncodeRejectsTooLargeDocuments(t *testing.T) {
	_, err := document.Encode(fleetDocument(20000, 19))
	qt.Assert(t, errors.Is(err, document.ErrTooLarge), qt.IsTrue)
}
