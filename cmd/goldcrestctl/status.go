package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"goldcrestport/protocol/operator"
)

// maxQueueRows bounds the rows of the queue table; JSON output has no such bound.
const maxQueueRows = 20

func (a *app) statusCommand() *cobra.Command {
	return newCommand("status", "Show routers, services, backend servers and queues of the fleet", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		s, err := a.client().Status(ctx)
		if err != nil {
			return err
		}
		if a.format == formatJSON {
			return a.printJSON(s)
		}
		return a.statusTables(s)
	})
}

func (a *app) statusTables(s *operator.Status) error {
	a.printLine("Revision %s in force at %s, %d teams\n", revisionText(s.Revision), s.Router, s.Teams)
	w := a.table("ROUTER", "DATA CENTRE", "STATE", "REVISION", "WAITING")
	for _, r := range s.Routers {
		if r.Answered {
			writeRow(w, r.ID, r.DataCentre, r.State, revisionText(r.Revision), strconv.Itoa(r.Waiting))
		} else {
			writeRow(w, r.ID, r.DataCentre, r.State+", no answer", "?", "?")
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	a.printLine("")
	w = a.table("SERVICE", "KIND", "BACKENDS READY", "SLOTS BUSY", "WAITING", "TEAMS WAITING")
	for _, v := range s.Services {
		writeRow(w, v.Service, v.Kind, fmt.Sprintf("%d of %d", v.Ready, v.Linked), fmt.Sprintf("%d of %d", v.Slots-v.Free, v.Slots),
			strconv.Itoa(v.Waiting), strconv.Itoa(v.WaitingTeams))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := a.backendTable(s.Backends); err != nil {
		return err
	}
	return a.queueTable(s.Queues)
}

func (a *app) backendTable(backends []operator.Backend) error {
	a.printLine("")
	w := a.table("BACKEND SERVER", "SERVICE", "DATA CENTRE", "STATE", "SLOTS BUSY", "REVISION")
	for _, b := range backends {
		writeRow(w, b.ID, b.Service, b.DataCentre, backendState(b), fmt.Sprintf("%d of %d", b.Slots-b.Free, b.Slots), revisionText(b.Revision))
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

// queueTable shows the queues, the longest waiting first.
func (a *app) queueTable(queues []operator.Queue) error {
	if len(queues) == 0 {
		a.printLine("\nNothing is waiting.")
		return nil
	}
	a.printLine("")
	w := a.table("LONGEST WAITING TEAM", "SERVICE", "ROUTER", "REQUESTS", "OLDEST")
	for _, q := range queues[:min(len(queues), maxQueueRows)] {
		oldest := time.Duration(q.OldestMS) * time.Millisecond
		writeRow(w, q.Team, q.Service, q.Router, strconv.Itoa(q.Waiting), oldest.String())
	}
	return w.Flush()
}

func revisionText(n uint64) string {
	if n == 0 {
		return "none"
	}
	return strconv.FormatUint(n, 10)
}

func writeRow(w *tabwriter.Writer, cells ...string) {
	fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
