package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestport/coordination/configcheck"
	"goldcrestport/protocol/intent"
	"goldcrestport/state/config"
)

// writeFile writes a file for one test.
func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "config.json")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

// intentText returns an intent with one team.
func intentText(token, share, service string) string {
	return `{"teams": {"desk": {"share": ` + share + `, "tokens": ["` + token + `"], "services": ["` + service + `"]}},` +
		`"services": {"app": {"kind": "plain"}}, "operators": {"ops": "` + config.TokenDigest("ops") + `"}}`
}

// decodeReport decodes the JSON output of a check.
func decodeReport(t *testing.T, out string) checkReport {
	var r checkReport
	qt.Assert(t, json.Unmarshal([]byte(out), &r), qt.IsNil, qt.Commentf("%s", out))
	return r
}

func TestCheckOfTheExamplesIsClean(t *testing.T) {
	for _, args := range [][]string{
		{"pamplemousses.json"}, {"lanna-glyph.json"}, {"direct-config.json", "--form", formPlatform},
	} {
		args[0] = exampleDir + args[0]
		code, out, errs := runCtl(append([]string{"config", "check", "--strict"}, args...)...)
		qt.Check(t, code, qt.Equals, exitOK, qt.Commentf("%v %s%s", args, out, errs))
		qt.Check(t, out, qt.Equals, "No findings.\n")
	}
}

func TestCheckOfAnIntent(t *testing.T) {
	good, raw := config.TokenDigest("desk"), "token-in-clear"
	for _, tc := range []struct {
		text          string
		args          []string
		code          int
		finding, name string
	}{
		{intentText(good, "1", "app"), nil, exitOK, "", ""},
		{intentText(good, `"1"`, "app"), nil, exitBadInput, "refused teams.desk.share", "desk"},
		{intentText(good, "1", "ap"), nil, exitBadInput, "refused teams.desk.services[0]", "desk"},
		{intentText(raw, "1", "app"), nil, exitBadInput, "refused teams.desk.tokens[0]", "desk"},
		{intentText(config.TokenDigest("ops"), "1", "app"), nil, exitBadInput, "refused operators.ops", "ops"},
		{strings.Replace(intentText(good, "1", "app"), config.TokenDigest("ops"), raw, 1), nil, exitBadInput, "refused operators.ops", "ops"},
		{strings.Replace(intentText(good, "1", "app"), `"desk"`, `"7"`, 1), nil, exitOK, "", ""},
		{strings.Replace(intentText(good, `"1"`, "app"), `"desk"`, `"7"`, 1), nil, exitBadInput, "refused teams.7.share", "7"},
		{"{", nil, exitBadInput, "refused $", ""},
		{intentText(good, "1", "app"), []string{"--form", "other"}, exitBadInput, "", ""},
		{strings.Replace(intentText(good, "1", "app"), `"app": {`, `"idle": {"kind": "plain"}, "app": {`, 1), nil, exitOK, "service_unused services.idle", "idle"},
		{strings.Replace(intentText(good, "1", "app"), `"app": {`, `"idle": {"kind": "plain"}, "app": {`, 1), []string{"--strict"}, exitError, "service_unused services.idle", "idle"},
	} {
		note := qt.Commentf("%s %v", tc.text, tc.args)
		args := append([]string{"config", "check", writeFile(t, tc.text), "-o", "json"}, tc.args...)
		code, out, errs := runCtl(args...)
		qt.Assert(t, code, qt.Equals, tc.code, note)
		qt.Check(t, out+errs, qt.Not(qt.Contains), raw, note)
		if tc.finding == "" {
			continue
		}
		report := decodeReport(t, out)
		qt.Assert(t, report.Findings, qt.HasLen, 1, qt.Commentf("%s", out))
		qt.Check(t, string(report.Findings[0].Code)+" "+report.Findings[0].Place, qt.Equals, tc.finding)
		qt.Check(t, report.Findings[0].Name, qt.Equals, tc.name)
	}
}

func TestCheckListsWhatDiffers(t *testing.T) {
	old, updated := writeFile(t, intentText(config.TokenDigest("a"), "1", "app")), writeFile(t, intentText(config.TokenDigest("b"), "2", "app"))
	code, out, errs := runCtl("config", "check", updated, "--in-force", old, "-o", "text")
	qt.Assert(t, code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	qt.Check(t, out, qt.Equals, "changed team desk: share 1 -> 2; tokens 1 -> 1 (1 added, 1 removed)\nNo findings.\n")
	code, out, errs = runCtl("config", "check", updated, "--in-force", writeFile(t, intentText("token-in-clear", "1", "app")))
	qt.Check(t, code, qt.Equals, exitBadInput)
	qt.Check(t, out+errs, qt.Not(qt.Contains), "token-in-clear")

	data, err := os.ReadFile(exampleDir + "direct-config.json")
	qt.Assert(t, err, qt.IsNil)
	changed := strings.NewReplacer(`"timeoutMs": 15000`, `"timeoutMs": 400`, "helpline-example-key", "another-secret").Replace(string(data))
	args := []string{"config", "check", "--form", formPlatform, writeFile(t, changed), "--in-force", exampleDir + "direct-config.json"}
	code, out, errs = runCtl(args...)
	qt.Check(t, code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	qt.Check(t, out, qt.Matches, `(?s)warning objective_above_timeout routes\[0\]\.\w+ route enquiries: .*`)
	qt.Check(t, out, qt.Matches, `(?s).*\nchanged route enquiries: \w+ 15s -> 400ms\n.*`)
	qt.Check(t, out, qt.Matches, `(?s).*\nchanged team helpline: \w+ 1 -> 1 \(1 added, 1 removed\)\n.*`)
	qt.Check(t, out+errs, qt.Not(qt.Contains), "secret")
	code, _, errs = runCtl(append(args, "--strict")...)
	qt.Check(t, code, qt.Equals, exitError)
	qt.Check(t, errs, qt.Contains, "1 warnings")
}

func TestCheckReadsStandardInput(t *testing.T) {
	var out, errs bytes.Buffer
	code := run([]string{"config", "check", "-", "--form", formPlatform}, strings.NewReader(`{"routes": 1}`), &out, &errs)
	qt.Check(t, code, qt.Equals, exitBadInput)
	qt.Check(t, out.String(), qt.Contains, "error refused routes document: ")
	code, _, _ = runCtl("config", "check", "-", "--in-force", "-")
	qt.Check(t, code, qt.Equals, exitBadInput)
}

// FuzzCheckAgreesWithParse checks that an intent has errors if and only if routers refuse it.
func FuzzCheckAgreesWithParse(f *testing.F) {
	f.Add([]byte(intentText(config.TokenDigest("desk"), "1", "app")))
	f.Add([]byte(intentText("x", "-1", "ap")))
	f.Add([]byte(`{"teams": {"7": {"share": 1, "tokens": [], "services": []}}, "services": {}, "operators": {"0": ""}}`))
	f.Add([]byte(`{"a/b": 1, "a/b": 2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := intent.Parse(data)
		found := findings(configcheck.DefaultConfig(), formIntent, data)
		qt.Check(t, configcheck.HasErrors(found), qt.Equals, err != nil)
		for _, one := range found {
			qt.Check(t, one.Place, qt.Not(qt.Equals), "")
		}
	})
}
