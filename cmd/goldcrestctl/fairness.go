package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/protocol/fairness"
)

// fairnessOptions are the flags of the fairness command.
type fairnessOptions struct {
	below  float64
	teams  int
	places int
}

// fairnessCommand returns the command that computes from the routers' logs how far the
// least served team was below its share, and why.
func (a *app) fairnessCommand() *cobra.Command {
	var o fairnessOptions
	cmd := &cobra.Command{
		Use:   "fairness [FILE...]",
		Short: "Tell for each six seconds what teams asked and got, and the margin of the least served, from the routers' logs (standard input without files)",
		RunE: func(cmd *cobra.Command, args []string) error {
			in, closeAll, err := openAll(cmd.InOrStdin(), args)
			if err != nil {
				return err
			}
			defer closeAll()
			log, err := fairness.Read(in)
			if err != nil {
				return errors.Wrap(err, "read logs")
			}
			windows := log.Windows()
			if a.format == formatJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(windows)
			}
			return o.writeTable(cmd.OutOrStdout(), log, windows)
		},
	}
	f := cmd.Flags()
	f.Float64Var(&o.below, "below", 2, "tell the teams of windows whose margin is below this; 1 is the rule's bound, what three of the largest requests take off it is counted")
	f.IntVar(&o.teams, "teams", 4, "teams of such a window at the most, those that asked for most first")
	f.IntVar(&o.places, "places", 4, "routers at which a team came in, at the most")
	return cmd
}

// writeTable writes the windows as plain columns, preceded by the least margin of all.
func (o fairnessOptions) writeTable(to io.Writer, log *fairness.Log, windows []fairness.Result) error {
	fmt.Fprintf(to, "%d lines, %d broken, %d beyond this command's bounds\n", log.Lines, log.Broken, log.Beyond)
	if least := leastMargin(windows); least != nil {
		fmt.Fprintf(to, "least margin %.2f: team %s from %s\n\n", least.Margin, least.Least, least.Begin.Format("15:04:05"))
	} else {
		fmt.Fprint(to, "no team waited through six seconds\n\n")
	}
	w := tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "from\tteam\tat\tmargin\tof best\tasked\tbegun\tdelivered\tread\tunread\tdecided\tbound")
	for i := range windows {
		r := &windows[i]
		if r.Least == "" {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\tleast; best %s %.0f\t%.2f\t\t\t\t\t\t\t\t\n", r.Begin.Format("15:04:05"), r.Least, r.Best, r.BestBegun, r.Margin)
		if r.Margin < o.below {
			o.writeRows(w, r)
		}
	}
	return w.Flush()
}

// writeRows writes the largest teams of the window, and the routers that received their
// requests.
func (o fairnessOptions) writeRows(w io.Writer, r *fairness.Result) {
	for i, row := range r.Rows {
		if i >= o.teams && row.Team != r.Least && row.Team != r.Best {
			continue
		}
		writeUse(w, row.Team, "all", fmt.Sprintf("%.2f\t%.2f", row.Margin, row.OfBest), row.Use, row.Bound)
		for j, place := range row.Places {
			if j == o.places {
				break
			}
			writeUse(w, "", place.DataCentre+" "+place.Router, "\t", place.Use, "")
		}
	}
}

// writeUse writes one row; ratios contains the columns "margin" and "of best".
func writeUse(w io.Writer, team, at, ratios string, u fairness.Use, bound fairness.Bound) {
	decided := 0.0
	if tries := u.Requests + u.Unread; tries > 0 {
		decided = float64(u.Requests) / float64(tries)
	}
	fmt.Fprintf(w, "\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%d\t%d\t%.2f\t%s\n", team, at, ratios, u.Asked, u.Begun, u.Delivered, u.Requests, u.Unread, decided, bound)
}

// leastMargin returns the window with the least margin, or nil if no team waited.
func leastMargin(windows []fairness.Result) *fairness.Result {
	var least *fairness.Result
	for i := range windows {
		if r := &windows[i]; r.Least != "" && (least == nil || r.Margin < least.Margin) {
			least = r
		}
	}
	return least
}
