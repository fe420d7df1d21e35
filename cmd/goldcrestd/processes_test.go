package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/protocol/settings"
)

const testLease = 4 * time.Second

// processes builds the binaries and starts processes of them.
type processes struct {
	t   *testing.T
	dir string
}

func newProcesses(t *testing.T) *processes {
	p := &processes{t: t, dir: t.TempDir()}
	for _, pkg := range []string{"goldcrestport/cmd/goldcrestd", "goldcrestport/standin/cmd/standin"} {
		out, err := exec.Command("go", "build", "-o", p.dir+"/", pkg).CombinedOutput()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	}
	return p
}

func (p *processes) start(name string, args ...string) *os.Process {
	cmd := exec.Command(filepath.Join(p.dir, name), args...)
	qt.Assert(p.t, cmd.Start(), qt.IsNil)
	p.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// address returns an address on a loopback IP of its own.
func (p *processes) address(host int) string {
	lis, err := net.Listen("tcp", fmt.Sprintf("127.10.%d.%d:0", os.Getpid()%250, host))
	qt.Assert(p.t, err, qt.IsNil)
	defer lis.Close()
	return lis.Addr().String()
}

// waitOK waits until the URL returns status 200.
func (p *processes) waitOK(url string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("%s did not return status 200 in time", url)
}

// platform starts a stand-in of the platform with the configuration and returns its URL.
func (p *processes) platform(host int, doc string) string {
	address := p.address(host)
	p.start("standin", "platform", "--listen", address, "--list-lag", "200ms")
	url := "http://" + address
	p.waitOK(url + "/admin/counters")
	p.put(url+"/v1/kv/goldcrest/config?version=0", doc)
	return url
}

func (p *processes) put(url, body string) {
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	qt.Assert(p.t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(p.t, err, qt.IsNil)
	resp.Body.Close()
	qt.Assert(p.t, resp.StatusCode < http.StatusMultipleChoices, qt.IsTrue, qt.Commentf("%s: %s", url, resp.Status))
}

// settings writes a settings file and returns its path.
func (p *processes) settings(name string, set any) string {
	data, err := json.Marshal(set)
	qt.Assert(p.t, err, qt.IsNil)
	file := filepath.Join(p.dir, name+".json")
	qt.Assert(p.t, os.WriteFile(file, data, 0o600), qt.IsNil)
	return file
}

// sidecar starts a sidecar for the slot and returns its process and addresses.
func (p *processes) sidecar(slot string, host int, platform, backend string) (*os.Process, settings.SidecarListen) {
	set := settings.DefaultSidecar()
	set.ID, set.Service, set.DataCentre = slot, "ledger-app", "hall-pamp"
	set.Listen = settings.SidecarListen{Peers: p.address(host), Operators: p.address(host + 1)}
	set.Platform.URL, set.Backend.URL = platform, backend
	set.Backend.LeaseTTL = settings.Duration(testLease)
	file := p.settings(fmt.Sprint(slot, "-", host), set)
	return p.start("goldcrestd", "sidecar", "--settings", file), set.Listen
}
