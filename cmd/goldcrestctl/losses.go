package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/protocol/losses"
)

// lossesOptions are the flags of the losses command.
type lossesOptions struct {
	by     string
	plot   string
	top    int
	served bool
}

// lossesCommand returns the command that counts from the routers' logs which requests
// were refused, failed, cut off or late, and why.
func (a *app) lossesCommand() *cobra.Command {
	var o lossesOptions
	cmd := &cobra.Command{
		Use:   "losses [FILE...]",
		Short: "Count which requests were refused, failed, cut or late, and why, from the routers' logs (standard input without files)",
		RunE: func(cmd *cobra.Command, args []string) error {
			by, err := losses.ParseDimensions(o.by)
			if err != nil {
				return badInput(err)
			}
			in, closeAll, err := openAll(cmd.InOrStdin(), args)
			if err != nil {
				return err
			}
			defer closeAll()
			t, err := losses.Read(in, by)
			if err != nil {
				return errors.Wrap(err, "read logs")
			}
			if o.plot != "" {
				if err := plotLosses(t, o.plot); err != nil {
					return errors.Wrap(err, "plot")
				}
			}
			if a.format == formatJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(t)
			}
			return o.writeTable(cmd.OutOrStdout(), t)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.by, "by", "outcome,reason,route,standing,size", fmt.Sprintf("what to group by, of %v", losses.Dimensions))
	f.StringVar(&o.plot, "plot", "", "also draw what ended in each second to this .png or .svg file")
	f.IntVar(&o.top, "top", 40, "groups of the table at the most, the largest first; 0 for all")
	f.BoolVar(&o.served, "served", false, "list requests that were served in time, too")
	return cmd
}

// writeTable writes the groups as plain columns, preceded by a line of totals.
func (o lossesOptions) writeTable(to io.Writer, t *losses.Tally) error {
	fmt.Fprintf(to, "%d requests in %d lines; %d lines were broken, %d requests left out by the routers, %d beyond this command's bounds\n\n",
		t.Requests, t.Lines, t.Broken, t.LeftOut, t.Beyond)
	w := tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)
	for _, d := range t.By {
		fmt.Fprintf(w, "%s\t", d)
	}
	fmt.Fprintln(w, "count\tfirst\tlast\twait ms\tlimit ms\tunread\tqueue tokens\tqueue runs")
	outcome := slices.Index(t.By, losses.ByOutcome)
	rows := 0
	for _, g := range t.Groups {
		if !o.served && outcome >= 0 && g.Values[outcome] == string(losses.Served) {
			continue
		}
		if rows++; o.top > 0 && rows > o.top {
			break
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", strings.Join(g.Values, "\t"), g.Count,
			g.First.Format("15:04:05.0"), g.Last.Format("15:04:05.0"), g.WaitMs, g.LimitMs, g.Unread, g.QueueTokens, g.QueueRuns)
	}
	return w.Flush()
}
