package main

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"goldcrestport/protocol/settings"
)

func runCommand(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := root()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.Execute()
	return out.String(), err
}

func TestValidate(t *testing.T) {
	c := quicktest.New(t)
	for _, role := range []string{roleRouter, roleSidecar, roleDirect} {
		file := "../../docs/examples/" + role + ".json"
		out, err := runCommand("validate", "--role", role, "-s", file)
		c.Check(err, quicktest.IsNil)
		c.Check(out, quicktest.Equals, "settings "+file+": correct for a "+role+"\n")
	}
	_, err := runCommand("validate", "--role", roleSidecar, "-s", "../../docs/examples/router.json")
	c.Check(err, quicktest.ErrorMatches, `settings .*: 6 to correct\n  backend: is required\n  limits: unknown key\n  listen.callers: unknown key\n  operators: unknown key\n  queues: unknown key\n  service: is required`)
	_, err = runCommand("validate", "--role", "gateway", "-s", "x")
	c.Check(err, quicktest.ErrorMatches, `role "gateway": want router, sidecar or direct`)
}

// Guards the bounds of the deployed linger setting. A stopping router must accept new
// streams for longer than the load balancer needs to take it out of rotation (two health
// checks, one per second). It must reject them before three seconds have passed, because a
// stream accepted later than that must not be cut off at shutdown (in one test run
// a stream was accepted 3.002 s after the signal).
func TestDeployedLingerIsWithinBounds(t *testing.T) {
	c := quicktest.New(t)
	data, err := os.ReadFile("../../deploy/router.json.tmpl")
	c.Assert(err, quicktest.IsNil)
	found := regexp.MustCompile(`"linger": "([^"]+)"`).FindSubmatch(data)
	c.Assert(found, quicktest.HasLen, 2)
	linger, err := time.ParseDuration(string(found[1]))
	c.Assert(err, quicktest.IsNil)
	c.Check(linger > 2*time.Second+500*time.Millisecond, quicktest.IsTrue)
	c.Check(linger <= 2800*time.Millisecond, quicktest.IsTrue)
}

// A process with invalid settings must exit before it binds any address.
func TestInvalidSettingsBindNoAddress(t *testing.T) {
	c := quicktest.New(t)
	data, err := os.ReadFile("../../docs/examples/router.json")
	c.Assert(err, quicktest.IsNil)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	address := lis.Addr().String()
	c.Assert(lis.Close(), quicktest.IsNil)
	text := strings.Replace(string(data), "10.20.0.11:8080", address, 1)
	file := filepath.Join(c.TempDir(), "router.json")
	c.Assert(os.WriteFile(file, []byte(strings.Replace(text, `"30s"`, `"30"`, 1)), 0o600), quicktest.IsNil)
	_, err = runCommand(roleRouter, "-s", file)
	var problems *settings.Problems
	c.Assert(err, quicktest.ErrorAs, &problems)
	c.Check(problems.List[0].Path, quicktest.Equals, "limits.body_timeout")
	lis, err = net.Listen("tcp", address)
	c.Assert(err, quicktest.IsNil)
	c.Check(lis.Close(), quicktest.IsNil)
}
