package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/fleet"
)

// usageInterval is the time between two readings of a process's use.
const usageInterval = 20 * time.Millisecond

// usage is the greatest use of a process that was seen.
type usage struct {
	// memory is the memory of its own and what its sockets received and it has not read, in bytes.
	memory int64
	// descriptors is the number of open descriptors.
	descriptors int
}

// watch reads the use of the process until the returned function is called.
func watch(p *fleet.Process) (stop func() usage) {
	var most usage
	ended := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			if one, err := usageOf(p.PID(), p.Addr); err == nil {
				most.memory = max(most.memory, one.memory)
				most.descriptors = max(most.descriptors, one.descriptors)
			}
			select {
			case <-ended:
				return
			case <-time.After(usageInterval):
			}
		}
	})
	return func() usage {
		close(ended)
		running.Wait()
		return most
	}
}

// usageOf reads the use of one process that listens on the address.
func usageOf(pid int, address string) (usage, error) {
	own, err := ownMemory(pid)
	if err != nil {
		return usage{}, err
	}
	sockets, descriptors, err := openSockets(pid)
	if err != nil {
		return usage{}, err
	}
	unread, err := unreadBytes(sockets, address)
	return usage{memory: own + unread, descriptors: descriptors}, err
}

// ownMemory returns the resident memory of the process without the pages of files, in bytes.
func ownMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		rest, found := strings.CutPrefix(line, "RssAnon:")
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		return kib << 10, err
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}

// openSockets returns the inodes of the process's sockets and the number of its descriptors.
func openSockets(pid int) (inodes map[string]bool, descriptors int, err error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0, err
	}
	inodes = make(map[string]bool)
	for _, e := range entries {
		// A descriptor that was closed meanwhile has no link any more.
		target, _ := os.Readlink(dir + "/" + e.Name())
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries), nil
}

// Fields of a line of /proc/net/tcp (proc_net_tcp).
const (
	fieldLocal = 1
	fieldState = 3
	fieldQueue = 4
	fieldInode = 9
	// stateListen is the state of a listener, whose queue holds connections rather than bytes.
	stateListen = "0A"
)

// unreadBytes sums the bytes that wait unread at the sockets and at connections to the address that were
// not accepted yet.
func unreadBytes(sockets map[string]bool, address string) (int64, error) {
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0, err
	}
	localPort := fmt.Sprintf(":%04X", number)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer file.Close()
	sum := int64(0)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) <= fieldInode || f[fieldState] == stateListen {
			continue
		}
		isWaiting := f[fieldInode] == "0" && strings.HasSuffix(f[fieldLocal], localPort)
		if !sockets[f[fieldInode]] && !isWaiting {
			continue
		}
		_, received, _ := strings.Cut(f[fieldQueue], ":")
		// The header line has no number there.
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum, lines.Err()
}

// The reading of memory and descriptors, at this process.
func TestUsageIsRead(t *testing.T) {
	c := qt.New(t)
	lis := listen(c)
	defer lis.Close()
	before, err := usageOf(os.Getpid(), lis.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Check(before.memory > 1<<20, qt.IsTrue)
	conn, err := dial("127.0.0.1", lis.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Write(make([]byte, 10_000))
	c.Assert(err, qt.IsNil)
	unread, err := unreadBytes(nil, lis.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Check(unread, qt.Equals, int64(10_000))
	after, err := usageOf(os.Getpid(), lis.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Check(after.descriptors > before.descriptors, qt.IsTrue)
}
