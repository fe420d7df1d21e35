// Package fleet starts and stops fleets of processes on loopback for the
// measuring and proving tools: the platform, engines and plain services as
// stand-ins, and routers and sidecars of the product.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/settings"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
)

// configKey is the platform key of the live configuration.
const configKey = "goldcrest/config"

// Fleet is a set of processes with one platform.
type Fleet struct {
	// Bin is the folder with goldcrestd and standin.
	Bin string
	// Dir holds settings files and logs.
	Dir string

	mu        sync.Mutex
	platform  *Process
	processes []*Process
	http      *http.Client
}

// New returns a fleet with no process. The folder dir is made if needed.
func New(bin, dir string) (*Fleet, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "fleet folder")
	}
	return &Fleet{Bin: bin, Dir: dir, http: &http.Client{Timeout: 5 * time.Second}}, nil
}

// Close ends every process, the last started first.
func (f *Fleet) Close() {
	f.mu.Lock()
	all := f.processes
	f.mu.Unlock()
	for i := len(all) - 1; i >= 0; i-- {
		all[i].Wake()
		all[i].Kill()
	}
}

// Processes returns all processes in the order of their start.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Process(nil), f.processes...)
}

func (f *Fleet) add(p *Process) error {
	p.dir = f.Dir
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p.Start()
}

// StartPlatform starts the platform's stand-in and waits for it.
func (f *Fleet) StartPlatform(ctx context.Context, args ...string) (*Process, error) {
	p, err := f.standin("platform", "platform", args)
	if err != nil {
		return nil, err
	}
	f.platform = p
	return p, f.WaitHTTP(ctx, p.Addr, "/admin/counters")
}

// StartEngine starts a model engine's stand-in.
func (f *Fleet) StartEngine(name string, args ...string) (*Process, error) {
	return f.standin(name, "engine", args)
}

// StartService starts a plain service's stand-in.
func (f *Fleet) StartService(name string, args ...string) (*Process, error) {
	return f.standin(name, "service", args)
}

func (f *Fleet) standin(name, kind string, args []string) (*Process, error) {
	addr, err := Address()
	if err != nil {
		return nil, err
	}
	argv := append([]string{filepath.Join(f.Bin, "standin"), kind, "--listen", addr}, args...)
	p := &Process{Name: name, Addr: addr, argv: argv}
	return p, f.add(p)
}

// StartRouter starts a router. edit may change its settings and may be nil.
func (f *Fleet) StartRouter(name, dataCentre string, edit func(*settings.Router)) (*Process, error) {
	addrs, err := addresses(3)
	if err != nil {
		return nil, err
	}
	set := settings.DefaultRouter()
	set.ID, set.DataCentre = name, dataCentre
	set.Listen.Callers, set.Listen.Operators, set.Listen.Peers = addrs[0], addrs[1], addrs[2]
	set.Platform.URL = "http://" + f.platform.Addr
	if edit != nil {
		edit(&set)
	}
	p := &Process{Name: name, Addr: set.Listen.Callers, Ops: set.Listen.Operators, Peers: set.Listen.Peers}
	i := platform.Instance{
		ID: name, Role: platform.RoleRouter, Address: p.Peers,
		DataCentre: dataCentre, State: platform.StateLive,
	}
	return p, f.daemon(p, "router", set, i)
}

// StartSidecar starts the sidecar beside a backend server. edit may change its
// settings and may be nil.
func (f *Fleet) StartSidecar(name, dataCentre, service string, backend *Process, edit func(*settings.Sidecar)) (*Process, error) {
	addrs, err := addresses(2)
	if err != nil {
		return nil, err
	}
	set := settings.DefaultSidecar()
	set.ID, set.DataCentre, set.Service = name, dataCentre, service
	set.Listen.Peers, set.Listen.Operators = addrs[0], addrs[1]
	set.Platform.URL = "http://" + f.platform.Addr
	set.Backend.URL = "http://" + backend.Addr
	if edit != nil {
		edit(&set)
	}
	p := &Process{Name: name, Addr: set.Listen.Peers, Ops: set.Listen.Operators, Peers: set.Listen.Peers}
	i := platform.Instance{
		ID: name, Role: platform.RoleSidecar, Address: p.Peers,
		DataCentre: dataCentre, Service: service, State: platform.StateLive,
	}
	return p, f.daemon(p, "sidecar", set, i)
}

// StartDirect starts a router that calls backend servers itself. Addresses that
// the settings leave empty are taken.
func (f *Fleet) StartDirect(set settings.Direct) (*Process, error) {
	for _, at := range []*string{&set.Listen.Callers, &set.Listen.Health, &set.Listen.Peers, &set.Listen.Metrics} {
		if *at != "" {
			continue
		}
		addr, err := Address()
		if err != nil {
			return nil, err
		}
		*at = addr
	}
	p := &Process{Name: set.ID, Addr: set.Listen.Callers, Ops: set.Listen.Health, Peers: set.Listen.Peers}
	return p, f.start(p, "direct", set)
}

func addresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		a, err := Address()
		if err != nil {
			return nil, err
		}
		out[i] = a
	}
	return out, nil
}

// daemon lists the instance, writes the settings and starts the process.
func (f *Fleet) daemon(p *Process, role string, set any, i platform.Instance) error {
	if err := f.PutInstance(i); err != nil {
		return err
	}
	return f.start(p, role, set)
}

// start writes the settings and starts the process.
func (f *Fleet) start(p *Process, role string, set any) error {
	data, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	file := filepath.Join(f.Dir, p.Name+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "settings file")
	}
	p.argv = []string{filepath.Join(f.Bin, "goldcrestd"), role, "--settings", file}
	return f.add(p)
}

// PutInstance writes one line of the platform's instance list.
func (f *Fleet) PutInstance(i platform.Instance) error {
	return f.Put(f.platform.Addr, "/v1/instances/"+i.ID, i)
}

// RemoveInstance takes an instance off the platform's list.
func (f *Fleet) RemoveInstance(id string) error {
	req, err := http.NewRequest(http.MethodDelete, "http://"+f.platform.Addr+"/v1/instances/"+id, nil)
	if err != nil {
		return err
	}
	return f.do(req, nil)
}

// PutConfig writes the live configuration past the operators' interface.
func (f *Fleet) PutConfig(doc config.Document) error {
	return f.Put(f.platform.Addr, "/v1/kv/"+configKey, doc)
}

// Put sends a JSON document.
func (f *Fleet) Put(addr, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return f.do(req, nil)
}

// Get reads a JSON document.
func (f *Fleet) Get(addr, path string, into any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	return f.do(req, into)
}

func (f *Fleet) do(req *http.Request, into any) error {
	resp, err := f.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s %s: %d %s", req.Method, req.URL.Path, resp.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

// WaitHTTP waits until the path answers with success.
func (f *Fleet) WaitHTTP(ctx context.Context, addr, path string) error {
	return until(ctx, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			return err
		}
		return f.do(req, nil)
	})
}

// WaitReady waits until the processes take work. One that ends before that, or is
// late, is told with the last line of its log.
func (f *Fleet) WaitReady(ctx context.Context, ps ...*Process) error {
	for _, p := range ps {
		if err := f.waitReady(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitReady(ctx context.Context, p *Process) error {
	ready, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := p.ended()
	go func() {
		select {
		case <-ended:
			cancel(errors.Newf("%s ended before it was ready: %v: %s", p.Name, p.Exit(), p.lastLine()))
		case <-ready.Done():
		}
	}()
	err := f.WaitHTTP(ready, p.Ops, "/readyz")
	switch cause := context.Cause(ready); {
	case err == nil:
		return nil
	case cause != nil && ctx.Err() == nil:
		return cause
	}
	return errors.Wrapf(err, "%s is not ready, its last line: %s", p.Name, p.lastLine())
}
