package crowd

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Sizes of a crowd that opens connections without an end.
const (
	// openInterval is the time between two connections of the crowd: 250 a second.
	openInterval = 4 * time.Millisecond
	// openTime is for how long they come before and beside the ordinary callers.
	openTime = 2 * time.Second
	// newCallers is the number of ordinary callers of addresses not seen before.
	newCallers = 10
)

// keepOpening opens connections of the crowd until the returned function is called. Each stays open as long
// as the router lets it, and all callers come from one address or from many.
func (w *world) keepOpening(send member, address func(int) string) (stop func()) {
	c := &crowd{w: w, send: send, address: address}
	w.Cleanup(c.leave)
	ended := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(openInterval):
				c.busy.Go(func() { c.join(n % crowdSize) })
			}
		}
	})
	return func() {
		close(ended)
		running.Wait()
		c.busy.Wait()
		c.leave()
	}
}

// servesNewCallers checks that ordinary callers of addresses not seen before get answers beside a crowd that
// opens connections without an end. They need not come again: the router has nothing to do.
func servesNewCallers(t *testing.T, send member, address func(int) string) {
	t.Helper()
	w := start(t)
	w.mustHold(func() {
		stop := w.keepOpening(send, address)
		time.Sleep(openTime)
		for n := range newCallers {
			w.mustServeWithin(1, fmt.Sprintf("127.0.8.%d", n+1))
		}
		stop()
	})
}

// Guards against crowds that shut out ordinary callers of unknown addresses: connections whose request does
// not come counted as pressure, and all unknown callers as one team with the crowd.
func TestHeadsWithoutBodiesFromOneAddress(t *testing.T) { servesNewCallers(t, headAndByte, oneAddress) }

func TestHeadsWithoutBodiesFromManyAddresses(t *testing.T) {
	servesNewCallers(t, headAndByte, manyAddresses)
}

func TestSilentConnectionsFromOneAddress(t *testing.T) { servesNewCallers(t, nothing, oneAddress) }

func TestSilentConnectionsFromManyAddresses(t *testing.T) {
	servesNewCallers(t, nothing, manyAddresses)
}

func TestHeadsThatStopHalfwayFromManyAddresses(t *testing.T) {
	servesNewCallers(t, halfAHead, manyAddresses)
}

func TestHeadsWithAnUnknownKeyAndNoBodies(t *testing.T) {
	servesNewCallers(t, unknownKey(headAndByte), manyAddresses)
}
