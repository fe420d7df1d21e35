package fleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor time in /proc, fixed on Linux.
const clockTick = 10 * time.Millisecond

// Process is one started process of a fleet.
type Process struct {
	// Name is unique in the fleet; its log is NAME.log in the fleet's folder.
	Name string
	// Addr is the address for requests: callers of a router, peers of a
	// sidecar, the listener of a stand-in.
	Addr string
	// Ops is the operators' address of a router or sidecar.
	Ops string
	// Peers is the address for other processes of the system.
	Peers string

	dir  string
	argv []string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start runs the process (again). Its log is appended to.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	defer out.Close()
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// The process must not outlive the tool that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(done)
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// Freeze stops the process without its notice; Wake lets it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (p *Process) Wake() { p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(time.Minute)
}

// Stop asks the process to end gracefully and kills it after the bound. It
// reports whether the process ended by itself with exit code 0.
func (p *Process) Stop(bound time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	if !p.Wait(bound) {
		p.Kill()
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err == nil
}

// LogSize returns the size of the process's log, in bytes; 0 without one.
func (p *Process) LogSize() int64 {
	info, err := os.Stat(p.logFile())
	if err != nil {
		return 0
	}
	return info.Size()
}

// Logged reports whether the log has the text after the first bytes.
func (p *Process) Logged(text string, after int64) bool {
	data, err := os.ReadFile(p.logFile())
	return err == nil && int64(len(data)) > after && strings.Contains(string(data[after:]), text)
}

// lastLine returns the last line of the process's log.
func (p *Process) lastLine() string {
	data, err := os.ReadFile(p.logFile())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

func (p *Process) logFile() string { return filepath.Join(p.dir, p.Name+".log") }

// EndedBy reports whether the signal ended the process.
func (p *Process) EndedBy(signal syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(p.Exit(), &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}

// Exit returns how the process ended, or nil: well, or not yet.
func (p *Process) Exit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// ended returns a channel that closes when the process ends; nil before its start.
func (p *Process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Wait waits for the end of the process, up to the bound.
func (p *Process) Wait(bound time.Duration) bool {
	done := p.ended()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(bound):
		return false
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool { return !p.Wait(0) }

// Restart kills the process and starts it again with no memory.
func (p *Process) Restart() error {
	p.Kill()
	return p.Start()
}

// Usage is what a process has used.
type Usage struct {
	// CPU is user and system time since the start.
	CPU time.Duration
	// RSS is the resident memory in bytes.
	RSS int64
}

// PID returns the id of the process, or 0 before its start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Usage reads the process's use of processor and memory.
func (p *Process) Usage() (Usage, error) {
	pid := p.PID()
	if pid == 0 {
		return Usage{}, errors.New("not started")
	}
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return Usage{}, err
	}
	return parseStat(string(data))
}

// Fields of /proc/PID/stat after the command name (proc_pid_stat(5)).
const (
	fieldUser   = 11
	fieldSystem = 12
	fieldRSS    = 21
)

func parseStat(line string) (Usage, error) {
	// The command name may itself hold parentheses and blanks.
	end := strings.LastIndexByte(line, ')')
	f := strings.Fields(line[end+1:])
	if end < 0 || len(f) <= fieldRSS {
		return Usage{}, errors.New("unexpected form of stat")
	}
	user, err1 := strconv.ParseInt(f[fieldUser], 10, 64)
	system, err2 := strconv.ParseInt(f[fieldSystem], 10, 64)
	pages, err3 := strconv.ParseInt(f[fieldRSS], 10, 64)
	if err := errors.CombineErrors(err1, errors.CombineErrors(err2, err3)); err != nil {
		return Usage{}, err
	}
	return Usage{
		CPU: time.Duration(user+system) * clockTick,
		RSS: pages * int64(os.Getpagesize()),
	}, nil
}

// until repeats try until it returns nil or ctx ends.
func until(ctx context.Context, try func() error) error {
	const pause = 20 * time.Millisecond
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		case <-time.After(pause):
		}
	}
}
