package intent_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/intent"
	"goldcrestport/state/config"
)

var (
	digestA = config.TokenDigest("a")
	digestB = config.TokenDigest("b")
	digestO = config.TokenDigest("o")
)

const good = `{
  "teams": {"idle": {"share": 0, "tokens": [], "services": []}, "bequests": {"share": 3, "tokens": ["A"], "services": ["counsel-llm"]}},
  "services": {"counsel-llm": {"kind": "model", "models": [{"name": "counsel", "version": "7"}]}},
  "operators": {"ops": "O"}
}`

// withDigests replaces the placeholders "A", "B" and "O" by token digests.
func withDigests(s string) []byte {
	return []byte(strings.NewReplacer(`"A"`, `"`+digestA+`"`, `"B"`, `"`+digestB+`"`, `"O"`, `"`+digestO+`"`).Replace(s))
}

func TestParseGood(t *testing.T) {
	c := qt.New(t)
	in, err := intent.Parse(withDigests(good))
	c.Assert(err, qt.IsNil)
	c.Assert(in.Teams["bequests"].Share, qt.Equals, 3.0)
	again, err := json.Marshal(intent.FromDocument(in.Document()))
	c.Assert(err, qt.IsNil)
	back, err := intent.Parse(again)
	c.Assert(err, qt.IsNil)
	c.Assert(config.Equal(back.Document(), in.Document()), qt.IsTrue)
}

func TestParseReportsAllErrorsWithPaths(t *testing.T) {
	tests := []struct {
		name, in string
		paths    []string
	}{
		{"not JSON", `{`, []string{"/"}},
		{"two values", good + good, []string{"/"}},
		{"empty", `{}`, []string{"/"}},
		{"shape", `{"teams": {"x y": {"share": -1, "tokens": ["zz"], "services": []}, "b": {"share": "1", "tokens": [], "services": [], "colour": 1}},
			"services": {"s": {"kind": "gpu"}}, "operators": {}, "extra": 1}`,
			[]string{"/extra", "/operators", "/services/s/kind", "/teams/b/colour", "/teams/b/share", "/teams/x y", "/teams/x y/share", "/teams/x y/tokens/0"}},
		{"repeated key", `{"teams": {"x": {"share": 1, "share": 2, "tokens": ["A"], "services": []}, "x": {"share": 1, "tokens": [], "services": []}}, "services": {}, "operators": {"o": "O"}}`,
			[]string{"/teams/x/share", "/teams/x"}},
		{"repeated key with a slash", `{"a/b": 1, "a/b": 2}`, []string{"/a~1b", "/", "/a~1b"}},
		{"meaning", `{"teams": {"x": {"share": 1, "tokens": ["A"], "services": ["none"]}, "y": {"share": 1, "tokens": ["A"], "services": []}},
			"services": {"p": {"kind": "plain", "models": [{"name": "m", "version": "1"}], "role": "decode", "checks_fence": true},
			"m": {"kind": "model", "models": [{"name": "m", "version": "1"}, {"name": "m", "version": "2"}]}},
			"operators": {"o": "A"}}`,
			[]string{"/teams/x/services/0", "/teams/y/tokens/0", "/services/m/models/1", "/services/p/models", "/services/p/role", "/services/p/checks_fence", "/operators/o"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := intent.Parse(withDigests(test.in))
			var found intent.Errors
			c.Assert(errors.As(err, &found), qt.IsTrue, qt.Commentf("%v", err))
			var paths []string
			for _, e := range found {
				paths = append(paths, e.Path)
				c.Check(e.Message, qt.Not(qt.Equals), "")
			}
			c.Assert(paths, qt.DeepEquals, test.paths, qt.Commentf("%v", err))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(withDigests(good))
	f.Add([]byte(`{"a":{"a":[1,{"a":1,"a":2}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := intent.Parse(data)
		if (in == nil) == (err == nil) {
			t.Fatalf("parsed %v, error %v", in, err)
		}
	})
}

func BenchmarkParseLargestFleet(b *testing.B) {
	in, err := intent.Parse(withDigests(good))
	if err != nil {
		b.Fatal(err)
	}
	var services []string
	for s := range 19 {
		name := fmt.Sprintf("service-number-%02d", s)
		services = append(services, name)
		in.Services[name] = config.Service{Kind: config.KindModel}
	}
	for n := range 2100 {
		name := fmt.Sprintf("team-with-a-long-name-%04d", n)
		tokens := []string{config.TokenDigest(name + "old"), config.TokenDigest(name + "new")}
		in.Teams[name] = config.Team{Share: 1, Tokens: tokens, Services: services}
	}
	data, err := json.Marshal(in)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := intent.Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}
