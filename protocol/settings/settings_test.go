package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const examples = "../../docs/examples/"

// withValue returns the example file with one dotted path set to a JSON text,
// or removed if the text is empty.
func withValue(c *quicktest.C, file, path, text string) []byte {
	data, err := os.ReadFile(examples + file)
	c.Assert(err, quicktest.IsNil)
	var root map[string]any
	c.Assert(json.Unmarshal(data, &root), quicktest.IsNil)
	at, keys := root, strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		at = at[key].(map[string]any)
	}
	delete(at, keys[len(keys)-1])
	if text != "" {
		at[keys[len(keys)-1]] = json.RawMessage(text)
	}
	data, err = json.Marshal(root)
	c.Assert(err, quicktest.IsNil)
	return data
}

func load(c *quicktest.C, data []byte, into Settings) []string {
	file := filepath.Join(c.TempDir(), "s.json")
	c.Assert(os.WriteFile(file, data, 0o600), quicktest.IsNil)
	err := Load(file, into)
	if err == nil {
		return nil
	}
	var lines []string
	for _, p := range err.(*Problems).List {
		lines = append(lines, p.String())
	}
	return lines
}

func TestExamplesLoad(t *testing.T) {
	c := quicktest.New(t)
	router, sidecar := DefaultRouter(), DefaultSidecar()
	c.Assert(Load(examples+"router.json", &router), quicktest.IsNil)
	c.Assert(Load(examples+"sidecar.json", &sidecar), quicktest.IsNil)
	c.Check(router.Limits, quicktest.Equals, DefaultRouter().Limits)
	c.Check(router.Queues, quicktest.Equals, DefaultRouter().Queues)
	c.Check(sidecar.Backend.ResumeGrace.D(), quicktest.Equals, 5*time.Second)
}

func TestErrorInEachRouterGroup(t *testing.T) {
	for _, tc := range []struct{ path, text, want string }{
		{"id", ``, "id: is required"},
		{"id", `"a b"`, "id: 'a b' does not match"},
		{"data_centre", `7`, "data_centre: got number, want string"},
		{"colour", `1`, "colour: unknown key"},
		{"listen.callers", `"localhost:80"`, "listen.callers: 'localhost:80' is not valid ip-port: want an IP"},
		{"listen.callers", `"10.20.0.11:0"`, "listen.callers: '10.20.0.11:0' is not valid ip-port: the port"},
		{"listen.callers", `"10.20.0.11:8081"`, "listen.operators: 10.20.0.11:8081 is taken by listen.callers"},
		{"listen.peers", `"0.0.0.0:8080"`, "listen.peers: 0.0.0.0:8080 is taken by listen.callers"},
		{"listen.spare", `"10.20.0.11:1"`, "listen.spare: unknown key"},
		{"platform.url", `"ftp://x"`, "platform.url: 'ftp://x' is not valid http-url: want http://"},
		{"platform.timeout", `"1 second"`, `platform.timeout: "1 second" is no duration`},
		{"platform.timeout", `1`, "platform.timeout: want a duration with its unit"},
		{"seeds", `["10.20.0.12:8082","router-2:8082"]`, "seeds.1: 'router-2:8082' is not valid ip-port"},
		{"policy", `"push"`, "policy: value must be one of 'pull', 'push-fifo', 'push-fair'"},
		{"queues.per_team", `0`, "queues.per_team: minimum: got 0, want 1"},
		{"queues.per_team", `1.5`, "queues.per_team: got number, want integer"},
		{"queues.total", `8`, "queues.total: 8 is below queues.per_team, 512"},
		{"queues.total_bytes", `"32MiB"`, "queues.total_bytes: 32MiB is below queues.per_team_bytes, 64MiB"},
		{"queues.per_team_bytes", `"1MiB"`, "queues.per_team_bytes: 1MiB is below limits.body, 8MiB"},
		{"limits.body", `"8MB"`, `limits.body: "8MB" is no size`},
		{"limits.body", `"1TiB"`, `limits.body: "1TiB" is no size`},
		{"limits.body", `12`, "limits.body: 12 is outside 1KiB to 64MiB"},
		{"limits.bodies", `"4MiB"`, "limits.bodies: 4MiB is below queues.total_bytes, 128MiB"},
		{"limits.connections", `-1`, "limits.connections: minimum: got -1, want 1"},
		{"limits.deadline", `"1000h"`, "limits.deadline: 1000h is outside 10ms to 24h"},
		{"operators.bootstrap_digest", `"12ab"`, "operators.bootstrap_digest: '12ab' is not valid sha256"},
		{"stop.bound", `"0s"`, "stop.bound: 0s is outside 100ms to 24h"},
		{"stop.bound", `"1s"`, "stop.bound: 1s is below stop.linger, 5s"},
		{"log.level", `"loud"`, "log.level: value must be one of"},
		{"trace.exporter", `"none"`, `trace.endpoint: is used by trace.exporter "otlp-http" only`},
		{"trace.endpoint", ``, `trace.endpoint: is required by trace.exporter "otlp-http"`},
		{"trace.fraction", `2`, "trace.fraction: maximum: got 2, want 1"},
	} {
		t.Run(tc.path+"="+tc.text, func(t *testing.T) {
			c, set := quicktest.New(t), DefaultRouter()
			lines := load(c, withValue(c, "router.json", tc.path, tc.text), &set)
			c.Assert(lines, quicktest.HasLen, 1)
			c.Check(lines[0], quicktest.Contains, tc.want)
		})
	}
}

func TestErrorInEachSidecarGroup(t *testing.T) {
	for _, tc := range []struct{ path, text, want string }{
		{"service", ``, "service: is required"},
		{"listen.operators", `"10.20.1.21:8082"`, "listen.operators: 10.20.1.21:8082 is taken by listen.peers"},
		{"platform", ``, "platform: is required"},
		{"backend.url", ``, "backend.url: is required"},
		{"backend.slots", `0`, "backend.slots: minimum: got 0, want 1"},
		{"backend.min_slots", `9`, "backend.min_slots: 9 is above backend.slots, 8"},
		{"backend.token_gap", `"50"`, `backend.token_gap: "50" is no duration`},
		{"orders.concurrent_loads", `0`, "orders.concurrent_loads: minimum: got 0, want 1"},
		{"orders.timeout", `"1 h"`, `orders.timeout: "1 h" is no duration`},
		{"backend.look_ahead", `-1`, "backend.look_ahead: minimum: got -1, want 0"},
		{"backend.prompt_weight", `"x"`, "backend.prompt_weight: got string, want number"},
		{"backend.resume_grace", `"-1s"`, "backend.resume_grace: -1s is outside 0s to 1h"},
		{"policy", `"pull-fifo"`, "policy: value must be one of 'pull', 'pull-settle', 'push'"},
		{"exchange_every", `"1ms"`, "exchange_every: 1ms is outside 50ms to 10m"},
		{"stop", `[]`, "stop: got array, want object"},
		{"log.file", `"x"`, "log.file: unknown key"},
		{"trace.exporter", `"otlp-http"`, "trace.endpoint: is required by"},
	} {
		t.Run(tc.path+"="+tc.text, func(t *testing.T) {
			c, set := quicktest.New(t), DefaultSidecar()
			lines := load(c, withValue(c, "sidecar.json", tc.path, tc.text), &set)
			c.Assert(lines, quicktest.HasLen, 1)
			c.Check(lines[0], quicktest.Contains, tc.want)
		})
	}
}

func TestAllProblemsAtOnce(t *testing.T) {
	c, set := quicktest.New(t), DefaultRouter()
	lines := load(c, []byte(`{"data_centre":"x","typo":1,"listen":{"callers":"1.1.1.1:1","peers":"1.1.1.1:1"},
		"platform":{"url":"http://a","url":"http://b"},"queues":{"total":1,"per_team_bytes":"5 MiB"}}`), &set)
	c.Check(lines, quicktest.DeepEquals, []string{
		"id: is required",
		"listen.operators: is required",
		"listen.peers: 1.1.1.1:1 is taken by listen.callers",
		"platform.url: is given twice",
		`queues.per_team_bytes: "5 MiB" is no size such as "8MiB"`,
		"queues.total: 1 is below queues.per_team, 512",
		"typo: unknown key",
	})
	c.Check(load(c, []byte("{\n  \"id\": x}"), &set), quicktest.DeepEquals,
		[]string{"line 2, column 9: invalid character 'x' looking for beginning of value"})
	c.Check(load(c, []byte(`{} {}`), &set)[0], quicktest.Contains, "line 1, column 4")
}

// Settings that a tool encodes from the structs must be accepted by Load.
func TestWrittenSettingsLoad(t *testing.T) {
	c, router, sidecar := quicktest.New(t), DefaultRouter(), DefaultSidecar()
	c.Assert(Load(examples+"router.json", &router), quicktest.IsNil)
	c.Assert(Load(examples+"sidecar.json", &sidecar), quicktest.IsNil)
	for _, set := range []Settings{&router, &sidecar} {
		data, err := json.Marshal(set)
		c.Assert(err, quicktest.IsNil)
		c.Check(load(c, data, reflect.New(reflect.TypeOf(set).Elem()).Interface().(Settings)), quicktest.HasLen, 0)
	}
}

func TestSchemaNamesEachField(t *testing.T) {
	c := quicktest.New(t)
	for _, set := range []Settings{&Router{}, &Sidecar{}} {
		var schema map[string]any
		c.Assert(json.Unmarshal([]byte(set.schema()), &schema), quicktest.IsNil)
		checkSameKeys(c, reflect.TypeOf(set).Elem(), schema)
	}
}

// checkSameKeys checks that a struct and the schema have the same keys.
func checkSameKeys(c *quicktest.C, typ reflect.Type, schema map[string]any) {
	if ref, ok := schema["$ref"].(string); ok {
		var common map[string]map[string]map[string]any
		c.Assert(json.Unmarshal([]byte(commonSchema), &common), quicktest.IsNil)
		schema = common["$defs"][filepath.Base(ref)]
	}
	properties, _ := schema["properties"].(map[string]any)
	if typ.Kind() != reflect.Struct {
		c.Check(properties, quicktest.HasLen, 0)
		return
	}
	c.Check(properties, quicktest.HasLen, typ.NumField(), quicktest.Commentf("%s", typ))
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		sub, ok := properties[name].(map[string]any)
		c.Check(ok, quicktest.IsTrue, quicktest.Commentf("%s.%s", typ, name))
		checkSameKeys(c, typ.Field(i).Type, sub)
	}
}

func FuzzLoad(f *testing.F) {
	for _, name := range []string{"router.json", "sidecar.json"} {
		data, _ := os.ReadFile(examples + name)
		f.Add(data)
	}
	f.Add([]byte(`{"queues":{"total":1e400,"per_team_bytes":"9999999999999GiB"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		router, sidecar := DefaultRouter(), DefaultSidecar()
		p := &Problems{File: "f"}
		check(p, data, &router)
		if q := router.Queues; len(p.List) == 0 && (router.ID == "" || q.PerTeam < 1 || q.Total < q.PerTeam) {
			t.Fatalf("accepted %+v", router)
		}
		p = &Problems{File: "f"}
		check(p, data, &sidecar)
		if b := sidecar.Backend; len(p.List) == 0 && (b.URL == "" || b.Slots < 1 || b.ResumeGrace < 0) {
			t.Fatalf("accepted %+v", sidecar)
		}
	})
}

// A settings file that is read while it is being written may be truncated at any byte and
// has to be rejected.
func TestLoadRejectsTruncatedSettings(t *testing.T) {
	c := quicktest.New(t)
	data, err := os.ReadFile(examples + "direct.json")
	c.Assert(err, quicktest.IsNil)
	text := strings.TrimSpace(string(data))
	for at := range text {
		direct := DefaultDirect()
		c.Check(load(c, []byte(text[:at]), &direct), quicktest.Not(quicktest.HasLen), 0, quicktest.Commentf("%d of %d bytes", at, len(text)))
	}
}
