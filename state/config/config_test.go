package config_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/state/config"
)

// document draws a small document, so that two draws overlap often.
func document(t *rapid.T, label string) *config.Document {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	lists := rapid.SliceOfN(names, 0, 3)
	teams := rapid.MapOfN(names, rapid.Custom(func(t *rapid.T) config.Team {
		return config.Team{
			Share:    float64(rapid.IntRange(0, 2).Draw(t, "share")),
			Tokens:   lists.Draw(t, "tokens"),
			Services: lists.Draw(t, "services"),
		}
	}), 0, 4)
	services := rapid.MapOfN(names, rapid.Custom(func(t *rapid.T) config.Service {
		return config.Service{Kind: config.KindModel, NonIdempotent: lists.Draw(t, "paths")}
	}), 0, 4)
	return &config.Document{
		Teams:     teams.Draw(t, label+" teams"),
		Services:  services.Draw(t, label+" services"),
		Drain:     lists.Draw(t, label+" drain"),
		Operators: rapid.MapOfN(names, names, 0, 3).Draw(t, label+" operators"),
	}
}

func TestPatchLeadsThereAndBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := document(t, "a"), document(t, "b")
		forth, back := config.Between(a, b), config.Between(b, a)
		stored, err := json.Marshal(back)
		if err != nil {
			t.Fatal(err)
		}
		var read config.Patch
		if err := json.Unmarshal(stored, &read); err != nil {
			t.Fatal(err)
		}
		if !config.Equal(forth.Apply(a), b) || !config.Equal(read.Apply(b), a) {
			t.Fatalf("a patch lost something: forth %+v back %+v", forth, back)
		}
		if forth.Empty() != config.Equal(a, b) {
			t.Fatal("an empty patch must mean equal documents")
		}
	})
}

func TestPlanDigest(t *testing.T) {
	c := qt.New(t)
	a := &config.Document{Teams: map[string]config.Team{"x": {Share: 1, Services: []string{"s", "r"}}}}
	same := &config.Document{
		Revision: 9,
		Teams:    map[string]config.Team{"x": {Share: 1, Services: []string{"r", "s", "r"}}},
		Drain:    []string{},
	}
	of := func(base uint64, d *config.Document) string {
		digest, err := config.PlanDigest(base, d)
		c.Assert(err, qt.IsNil)
		return digest
	}
	c.Assert(of(4, a), qt.Equals, of(4, same))
	c.Assert(of(4, a), qt.Not(qt.Equals), of(5, a))
	same.Teams["x"] = config.Team{Share: 2, Services: []string{"r", "s"}}
	c.Assert(of(4, a), qt.Not(qt.Equals), of(4, same))
}

func TestDecodeReadsPlainJSON(t *testing.T) {
	c := qt.New(t)
	d, err := config.Decode([]byte(`{"revision":3,"teams":{"x":{"share":1}},"services":{}}`))
	c.Assert(err, qt.IsNil)
	c.Assert(d.Revision, qt.Equals, uint64(3))
	for _, bad := range []string{"", "{", "\x1f\x8b", "\x1f\x8b\x08garbage-garbage"} {
		_, err := config.Decode([]byte(bad))
		c.Assert(errors.Is(err, config.ErrNotDocument), qt.IsTrue, qt.Commentf("%q", bad))
	}
}

// fleetDocument has the sizes to design for: every team has two tokens and
// reaches every service.
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
	// The worst change replaces everything, so that the way back is whole too.
	other := fleetDocument(2100, 19)
	for name, team := range other.Teams {
		team.Tokens = []string{digestOf(name + "1"), digestOf(name + "2")}
		other.Teams[name] = team
	}
	back := config.Between(d, other)
	plain, err := json.Marshal(d)
	c.Assert(err, qt.IsNil)
	alone, err := config.Encode(d)
	c.Assert(err, qt.IsNil)
	d.Back = &back
	data, err := config.Encode(d)
	c.Assert(err, qt.IsNil)
	t.Logf("2,100 teams, 19 services: %d bytes of JSON, %d stored, %d with the way back of a change of every team",
		len(plain), len(alone), len(data))
	read, err := config.Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(config.Equal(read, d), qt.IsTrue)
}

func TestEncodeRefusesWhatDoesNotFit(t *testing.T) {
	_, err := config.Encode(fleetDocument(20000, 19))
	qt.Assert(t, errors.Is(err, config.ErrTooLarge), qt.IsTrue)
}
