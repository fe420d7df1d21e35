package fleet

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// The ports lie below the range from which the kernel takes the local ports of
// outgoing connections, so that none is lost between choice and bind.
const (
	firstPort     = 20000
	lastPort      = 32000
	portsPerBlock = 60
	blocks        = (lastPort - firstPort) / portsPerBlock
)

var ports = portPool{next: os.Getpid() % blocks}

// Address returns a loopback address that nobody listens on. No other process that
// asks here gets it while this one runs, also when what listened on it has ended.
func Address() (string, error) { return ports.take() }

// portPool hands out the ports of blocks that this process has reserved. A block is
// reserved by listening on its first port, which the kernel lets one process do.
type portPool struct {
	mu sync.Mutex
	// next is the block to try next, tried how many were.
	next, tried int
	reserved    []net.Listener
	// free are the ports to hand out, handed those that were. They are used again
	// when no block is left.
	free, handed []int
}

func (p *portPool) take() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for again := false; ; {
		if len(p.free) == 0 && !p.reserve() {
			if again {
				return "", errors.New("no free port")
			}
			again = true
			p.free, p.handed = p.handed, nil
			continue
		}
		port := p.free[0]
		p.free, p.handed = p.free[1:], append(p.handed, port)
		lis, err := net.Listen("tcp", loopback(port))
		if err == nil {
			return loopback(port), lis.Close()
		}
	}
}

// reserve takes the next block that no process has. It reports false when all were tried.
func (p *portPool) reserve() bool {
	for p.tried < blocks {
		first := firstPort + p.next*portsPerBlock
		p.next, p.tried = (p.next+1)%blocks, p.tried+1
		lis, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		p.reserved = append(p.reserved, lis)
		for port := first + 1; port < first+portsPerBlock; port++ {
			p.free = append(p.free, port)
		}
		return true
	}
	return false
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
