package soak

import (
	"fmt"
	"sync"
	"time"

	"goldcrestport/bench/fleet"
	"goldcrestport/protocol/settings"
	"goldcrestport/standin/relay"
)

// router is one router process.
type router struct {
	*fleet.Process
	number int
	// store is the relay between it and the store, callers that before it.
	store, callers *relay.Relay

	mu sync.Mutex
	// life counts the starts of the process.
	life int
	// logFrom is the size of its log at the start of this life.
	logFrom int64
	// meant is set if the process is meant to run.
	meant bool
}

// lives returns the number of the process's life.
func (r *router) lives() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

func (w *World) startRouters(size Size, store string) error {
	for i := range size.Routers {
		r := &router{number: i, life: 1, meant: true}
		var err error
		if r.store, err = relay.Listen("127.0.0.1:0", store); err != nil {
			return err
		}
		set := settings.DefaultDirect()
		set.ID, set.DataCentre = fmt.Sprintf("router-%d", i), size.dataCentre(i)
		set.Platform.URL = "http://" + r.store.Addr()
		set.KeyRevocation = settings.Duration(revoke)
		set.ColdServers = settings.ColdServers{Overrun: coldOverrun, Slack: coldSlack}
		set.Repeats = settings.Repeats{Window: settings.Duration(repeatSpan), Ratio: repeatRatio, Allowance: repeatSlack}
		set.Stop = settings.Stop{Linger: settings.Duration(time.Second), Bound: settings.Duration(grace)}
		if r.Process, err = w.fleet.StartDirect(set); err != nil {
			return err
		}
		if r.callers, err = relay.Listen("127.0.0.1:0", r.Addr); err != nil {
			return err
		}
		w.routers = append(w.routers, r)
	}
	return nil
}
