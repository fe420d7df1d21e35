// Command inforce measures how long an accepted configuration takes until it
// is in force in every process, and the platform calls of the fleet. The last
// line printed is one JSON object.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"goldcrestport/bench/inforce"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if command().ExecuteContext(ctx) != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o inforce.Options
	cmd := &cobra.Command{
		Use: "inforce", Short: "Measure the time until a configuration is in force everywhere",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rep, err := inforce.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			for _, p := range rep.Phases {
				fmt.Printf("%-36s changes %d samples %d in force p50 %.0f p99 %.0f max %.0f ms late %d reads/s %.1f worst %d writes/s %.1f worst %d waiting %d\n",
					p.Name, p.Changes, p.Samples, p.P50MS, p.P99MS, p.MaxMS, p.Late,
					p.ReadsPerSecond, p.WorstReads, p.WritesPerSecond, p.WorstWrites, p.Waiting)
			}
			return json.NewEncoder(os.Stdout).Encode(rep)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Bin, "bin", "bin", "folder with goldcrestd and standin")
	f.StringVar(&o.Out, "out", "out/inforce", "folder for the logs")
	f.IntVar(&o.Routers, "routers", 12, "routers")
	f.IntVar(&o.Sidecars, "sidecars", 30, "sidecars")
	f.IntVar(&o.Changes, "changes", 20, "changes in each phase, one a second")
	f.DurationVar(&o.Rest, "rest", 10*time.Second, "length of the rest and of the outage")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the restarts")
	return cmd
}
