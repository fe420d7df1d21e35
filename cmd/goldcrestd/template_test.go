package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"goldcrestport/coordination/promptmix"
	"goldcrestport/protocol/settings"
)

// exampleFields returns example values from which the users' platform fills the template.
func exampleFields() map[string]any {
	return map[string]any{
		"nodeName": "edge-hall-pamp-1", "zone": "hall-pamp", "ip": "10.1.0.33",
		"internalPorts": []any{7400, 7415}, "seeds": []any{"10.1.0.33:8785", "10.2.0.18:8785"},
		"listen":   map[string]any{"front": "10.1.0.33:8783", "ready": "10.1.0.33:8780", "control": "10.1.0.33:8785"},
		"limits":   map[string]any{"memoryMb": 284},
		"zones":    map[string]any{"hall-pamp": "mu-north", "hall-south": "mu-south"},
		"platform": map[string]any{"address": "10.200.1.7:8781"},
		"bounds": map[string]any{
			"revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "eventDelayMs": 120, "graceS": 8,
			"coldOverrun": 1.5, "coldSlack": 5,
		},
	}
}

// withValue returns the fields with one value of a table replaced, or removed if it is nil.
func withValue(table, field string, value any) map[string]any {
	all := exampleFields()
	inner := maps.Clone(all[table].(map[string]any))
	inner[field] = value
	if value == nil {
		delete(inner, field)
	}
	all[table] = inner
	return all
}

// withoutTable returns the fields without a table.
func withoutTable(table string) map[string]any {
	all := exampleFields()
	delete(all, table)
	return all
}

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills a template as documented by the platform: sections are rendered once for
// each entry of a list or once for a present value, inverted sections if the value is
// absent, and values as text or as JSON. Nested sections of the same name are not
// supported.
func render(c *quicktest.C, template string, data map[string]any) string {
	for {
		match := section.FindStringSubmatchIndex(template)
		if match == nil {
			break
		}
		part := func(n int) string { return template[match[2*n]:match[2*n+1]] }
		c.Assert(part(2), quicktest.Equals, part(4))
		template = template[:match[0]] + renderSection(part(1), lookup(data, part(2)), part(3)) + template[match[1]:]
	}
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		return valueText(lookup(data, m[1]), m[2] != "")
	})
}

func renderSection(kind string, value any, body string) string {
	present := value != nil && value != false
	list, isList := value.([]any)
	if kind == "^" {
		if present {
			return ""
		}
		return body
	}
	if !isList {
		if present {
			return body
		}
		return ""
	}
	var out strings.Builder
	for i, one := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(strings.NewReplacer("{{.|json}}", valueText(one, true), "{{.}}", valueText(one, false), "{{,}}", comma).Replace(body))
	}
	return out.String()
}

func lookup(data map[string]any, path string) any {
	var value any = data
	for _, key := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[key]
		case []any:
			n, err := strconv.Atoi(key)
			if err != nil || n >= len(v) {
				return nil
			}
			value = v[n]
		default:
			return nil
		}
	}
	return value
}

func valueText(value any, asJSON bool) string {
	if asJSON && value != nil {
		data, _ := json.Marshal(value)
		return string(data)
	}
	switch v := value.(type) {
	case nil:
		return ""
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	default:
		return fmt.Sprint(v)
	}
}

// loadDeployed loads the settings that result from the deployed template with the fields.
func loadDeployed(c *quicktest.C, data map[string]any) (settings.Direct, error) {
	template, err := os.ReadFile("../../deploy/router.json.tmpl")
	c.Assert(err, quicktest.IsNil)
	file := filepath.Join(c.TempDir(), "router.json")
	c.Assert(os.WriteFile(file, []byte(render(c, string(template), data)), 0o600), quicktest.IsNil)
	set := settings.DefaultDirect()
	err = settings.Load(file, &set)
	return set, err
}

func TestDeployedTemplateSettings(t *testing.T) {
	c := quicktest.New(t)
	set, err := loadDeployed(c, exampleFields())
	c.Assert(err, quicktest.IsNil)
	c.Check(set.ID, quicktest.Equals, "edge-hall-pamp-1")
	c.Check(set.DataCentre, quicktest.Equals, "hall-pamp")
	c.Check(set.Regions, quicktest.DeepEquals, map[string]string{"hall-pamp": "mu-north", "hall-south": "mu-south"})
	c.Check(set.Listen.Peers, quicktest.Equals, "10.1.0.33:7400")
	c.Check(set.Seeds, quicktest.DeepEquals, []string{"10.1.0.33:8785", "10.2.0.18:8785"})
	c.Check(set.KeyRevocation.D(), quicktest.Equals, 5*time.Second)
	c.Check(set.Repeats, quicktest.Equals, settings.Repeats{Window: settings.Duration(10 * time.Second), Ratio: 0.2, Allowance: 52})
	c.Check(set.ColdServers, quicktest.Equals, settings.ColdServers{Overrun: 1.5, Slack: 5})
	c.Check(directConfig(set).Admission.PromptMix.Mode, quicktest.Equals, promptmix.ModeAuto)
	c.Check(directConfig(set).Admission.Validate(), quicktest.IsNil)
	c.Check(set.EventDelay.D(), quicktest.Equals, 120*time.Millisecond)
	c.Check(set.Memory, quicktest.Equals, 284*settings.MiB)
	c.Check(set.Stop.Bound.D(), quicktest.Equals, 8*time.Second)
	c.Check(set.Linger(), quicktest.Equals, 2700*time.Millisecond)
}

// Bounds are integers, fractions or booleans, and any may be missing: a router must start
// with every value that it can run with. A bound that was not an integer once made every
// router of a fleet exit at its start.
func TestDeployedTemplateAcceptsBounds(t *testing.T) {
	for _, field := range []string{"revokeMs", "retryRatio", "retryWindowS", "retrySlack", "eventDelayMs", "graceS", "coldOverrun", "coldSlack"} {
		for _, value := range []any{nil, 0.5, 1.5, 12.25, 100000, 1000000.5} {
			if field == "revokeMs" && (value == 0.5 || value == 1.5) {
				// No configuration can be that fresh; such values are rejected, see below.
				continue
			}
			t.Run(fmt.Sprintf("%s %v", field, value), func(t *testing.T) {
				c := quicktest.New(t)
				set, err := loadDeployed(c, withValue("bounds", field, value))
				c.Assert(err, quicktest.IsNil)
				c.Check(set.Linger() <= set.Stop.Bound.D()/2, quicktest.IsTrue)
			})
		}
	}
	for _, field := range []string{"retryRatio", "retrySlack", "eventDelayMs", "coldOverrun", "coldSlack"} {
		c := quicktest.New(t)
		_, err := loadDeployed(c, withValue("bounds", field, 0))
		c.Check(err, quicktest.IsNil, quicktest.Commentf("%s 0", field))
	}
	for _, all := range []map[string]any{
		withValue("limits", "memoryMb", nil), withValue("limits", "memoryMb", 184.5), withValue("limits", "memoryMb", 1048576), withValue("listen", "control", nil),
		withoutTable("zones"),
	} {
		c := quicktest.New(t)
		_, err := loadDeployed(c, all)
		c.Check(err, quicktest.IsNil)
	}
	for _, seeds := range [][]any{nil, {}, {"10.1.0.33:8785"}} {
		c := quicktest.New(t)
		all := exampleFields()
		all["seeds"] = seeds
		set, err := loadDeployed(c, all)
		c.Check(err, quicktest.IsNil)
		c.Check(set.Seeds, quicktest.HasLen, len(seeds))
	}
}

// Settings that a router cannot run with are reported in one line with the setting, its
// value and the range.
func TestDeployedTemplateRejectsInvalidBounds(t *testing.T) {
	for _, tc := range []struct {
		field string
		value any
		want  string
	}{
		{"revokeMs", 0, `key_revocation: .*0ms.* 10ms .*`},
		{"retryWindowS", 0, `repeats.window: .*0s.* 10ms .*`},
		{"graceS", 0, `stop.bound: .*0s.* 100ms .*`},
		{"retryRatio", -1, `repeats.ratio: .*`},
		{"coldOverrun", -1, `cold_servers.overrun: .*`},
		{"coldSlack", "many", `cold_servers.slack: .*number.*`},
		{"retrySlack", "many", `repeats.allowance: .*number.*`},
	} {
		c := quicktest.New(t)
		_, err := loadDeployed(c, withValue("bounds", tc.field, tc.value))
		problems, ok := err.(*settings.Problems)
		c.Assert(ok, quicktest.IsTrue, quicktest.Commentf("%s: %v", tc.field, err))
		c.Check(problems.List, quicktest.HasLen, 1)
		c.Check(problems.List[0].String(), quicktest.Matches, tc.want)
	}
}
