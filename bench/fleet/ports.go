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
	firstPort = 20000
	lastPort  = 32000
	portStep  = 97
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()*portStep%(lastPort-firstPort)
)

// Address returns a loopback address that nobody listens on.
func Address() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		lis, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = lis.Close()
		return addr, nil
	}
	return "", errors.New("no free port")
}
