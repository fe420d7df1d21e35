package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/protocol/operator"
	"goldcrestport/transport/operatorclient"
)

// maxQueueRows bounds the queues in the table; JSON has them all.
const maxQueueRows = 20

// fleetStatus is what the routers asked know together.
type fleetStatus struct {
	Routers []*operator.Status `json:"routers"`
	// Unreachable are the addresses that gave no status.
	Unreachable []string `json:"unreachable,omitempty"`
}

func (a *app) statusCommand() *cobra.Command {
	return command("status", "Show routers, services, backend servers and queues; asks every --router", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		fleet, err := a.askAll(ctx)
		if err != nil {
			return err
		}
		if a.format == formatJSON {
			return a.printJSON(fleet)
		}
		return a.statusTables(fleet)
	})
}

// askAll asks every router given; it fails if none answers.
func (a *app) askAll(ctx context.Context) (*fleetStatus, error) {
	client := a.client()
	var fleet fleetStatus
	var last error
	for _, router := range client.Routers() {
		s, err := client.StatusOf(ctx, router)
		if err != nil {
			last = err
			fleet.Unreachable = append(fleet.Unreachable, router)
			continue
		}
		fleet.Routers = append(fleet.Routers, s)
	}
	if len(fleet.Routers) > 0 {
		return &fleet, nil
	}
	if last == nil {
		last = errors.Mark(errors.New("no router is given"), operatorclient.ErrUnreachable)
	}
	return nil, last
}

func (a *app) statusTables(fleet *fleetStatus) error {
	w := a.table("ROUTER", "DATA CENTRE", "STATE", "REVISION", "WAITING")
	for _, r := range fleet.Routers {
		waiting := 0
		for _, q := range r.Queues {
			waiting += q.Waiting
		}
		row(w, r.Router, r.DataCentre, r.State, revision(r.Revision), strconv.Itoa(waiting))
	}
	for _, p := range notAsked(fleet) {
		row(w, p.ID, p.DataCentre, p.State+" (not asked)", "", "")
	}
	for _, address := range fleet.Unreachable {
		row(w, address, "", "no answer", "", "")
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return errors.CombineErrors(a.serviceTable(fleet), errors.CombineErrors(a.backendTable(fleet), a.queueTable(fleet)))
}

// notAsked returns the routers of the platform's list that gave no status.
func notAsked(fleet *fleetStatus) []operator.Peer {
	peers := map[string]operator.Peer{}
	for _, r := range fleet.Routers {
		for _, p := range r.Routers {
			peers[p.ID] = p
		}
	}
	for _, r := range fleet.Routers {
		delete(peers, r.Router)
	}
	return slices.SortedFunc(maps.Values(peers), func(x, y operator.Peer) int { return cmp.Compare(x.ID, y.ID) })
}

// serviceTable shows each service: backend servers as the router that knows
// most of them sees them, waiting work summed over the routers.
func (a *app) serviceTable(fleet *fleetStatus) error {
	all := map[string]operator.Service{}
	for _, r := range fleet.Routers {
		for _, s := range r.Services {
			old := all[s.Service]
			waiting, teams := old.Waiting+s.Waiting, max(old.WaitingTeams, s.WaitingTeams)
			if old.Linked > s.Linked {
				s = old
			}
			s.Waiting, s.WaitingTeams = waiting, teams
			all[s.Service] = s
		}
	}
	a.say("")
	w := a.table("SERVICE", "KIND", "BACKENDS READY", "SLOTS BUSY", "WAITING", "TEAMS WAITING")
	for _, name := range sortedKeys(all) {
		s := all[name]
		row(w, name, s.Kind, fmt.Sprintf("%d of %d", s.Ready, s.Linked), fmt.Sprintf("%d of %d", s.Slots-s.Free, s.Slots),
			strconv.Itoa(s.Waiting), strconv.Itoa(s.WaitingTeams))
	}
	return w.Flush()
}

func (a *app) backendTable(fleet *fleetStatus) error {
	all := map[string]operator.Backend{}
	for _, r := range fleet.Routers {
		for _, b := range r.Backends {
			if old, known := all[b.ID]; !known || b.Linked && b.Revision >= old.Revision {
				all[b.ID] = b
			}
		}
	}
	a.say("")
	w := a.table("BACKEND SERVER", "SERVICE", "DATA CENTRE", "STATE", "SLOTS BUSY", "REVISION")
	for _, id := range sortedKeys(all) {
		b := all[id]
		row(w, id, b.Service, b.DataCentre, backendState(b), fmt.Sprintf("%d of %d", b.Slots-b.Free, b.Slots), revision(b.Revision))
	}
	return w.Flush()
}

func backendState(b operator.Backend) string {
	switch {
	case b.Drained:
		return "drained"
	case b.Leaving:
		return "leaving"
	case !b.Linked:
		return "not linked"
	case b.OrdersLeft > 0:
		return fmt.Sprintf("ready, %d orders left", b.OrdersLeft)
	default:
		return "ready"
	}
}

// routerQueue is a queue with the router that holds it.
type routerQueue struct {
	operator.Queue
	router string
}

// queueTable shows the queues, the longest waiting first.
func (a *app) queueTable(fleet *fleetStatus) error {
	var all []routerQueue
	for _, r := range fleet.Routers {
		for _, q := range r.Queues {
			all = append(all, routerQueue{q, r.Router})
		}
	}
	if len(all) == 0 {
		a.say("\nNothing is waiting.")
		return nil
	}
	slices.SortStableFunc(all, func(x, y routerQueue) int { return cmp.Compare(y.OldestMS, x.OldestMS) })
	a.say("")
	w := a.table("WAITING: TEAM", "SERVICE", "ROUTER", "REQUESTS", "OLDEST")
	for _, q := range all[:min(len(all), maxQueueRows)] {
		oldest := time.Duration(q.OldestMS) * time.Millisecond
		row(w, q.Team, q.Service, q.router, strconv.Itoa(q.Waiting), oldest.String())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if more := len(all) - maxQueueRows; more > 0 {
		a.say("and %d more queues", more)
	}
	return nil
}

func revision(n uint64) string {
	if n == 0 {
		return "none"
	}
	return strconv.FormatUint(n, 10)
}

func row(w *tabwriter.Writer, cells ...string) {
	fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
