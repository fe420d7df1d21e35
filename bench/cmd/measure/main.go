// Command measure runs the workload against a fleet of real processes on
// loopback, once per policy, and prints the figures. The last line printed is
// one JSON object.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/bench/experiment"
	"goldcrestport/bench/load"
	"goldcrestport/bench/report"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if command().ExecuteContext(ctx) != nil {
		os.Exit(1)
	}
}

// half is the word for half of the routers, rounded up.
const half = "half"

func command() *cobra.Command {
	var o experiment.Options
	var restart string
	cmd := &cobra.Command{
		Use: "measure", Short: "Measure fairness, utilisation and control traffic by policy",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if o.Restart, err = restarts(restart); err != nil {
				return err
			}
			if err := o.Validate(); err != nil {
				return err
			}
			return measure(cmd.Context(), o)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Bin, "bin", "bin", "folder with goldcrestd and standin")
	f.StringVar(&o.Out, "out", "out/measure", "folder for the report, the plot and the logs")
	f.DurationSliceVar(&o.Windows, "window", []time.Duration{30 * time.Second}, "lengths at which the gap is told; a trial lasts for the longest")
	f.StringSliceVar(&o.Policies, "policies", nil, "policies to run (default all)")
	f.IntVar(&o.Repeat, "repeat", 1, "trials of each policy; the medians are reported")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the requests and arrivals")
	f.Float64Var(&o.Scale, "rate-scale", 1, "multiplies the request rate; requests are shorter by as much")
	f.IntVar(&o.LookAhead, "look-ahead", 1, "requests that a sidecar pulls ahead of a free slot")
	f.StringVar(&restart, "restart-routers", "0", "routers killed and started again in the window: a number or half")
	return cmd
}

func restarts(word string) (int, error) {
	if word == half {
		return (load.Routers + 1) / 2, nil
	}
	n, err := strconv.Atoi(word)
	return n, errors.Wrap(err, "restart-routers")
}

func measure(ctx context.Context, o experiment.Options) error {
	slices.Sort(o.Windows)
	rep, trials, err := experiment.Run(ctx, o, progress)
	if err != nil {
		return err
	}
	if err := report.Plot(filepath.Join(o.Out, "service.png"), trials); err != nil {
		return err
	}
	line, err := json.Marshal(rep)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(o.Out, "report.json"), append(line, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "report file")
	}
	for _, c := range rep.Checks {
		fmt.Println(c)
	}
	fmt.Println(string(line))
	return nil
}

func progress(repeat int, r report.PolicyResult) {
	fmt.Printf("%d %-12s gap %.1f (bound %.0f) use %.4f idle %.4f light wait %.0f ms ttft %.0f ms requests %d refused %d errors %d\n",
		repeat, r.Policy, r.FairnessGap, r.GapBound, r.Utilisation, r.IdleWhileWaiting,
		r.LightWait, r.TTFT, r.Requests, r.Refused, r.Errors)
}
