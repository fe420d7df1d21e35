// Command confirms races operators at several routers while answers are lost,
// and checks that accepted configurations form one line. The line printed is
// one JSON object; the exit code is 1 if a promise was broken.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/bench/confirms"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if command().ExecuteContext(ctx) != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o confirms.Options
	cmd := &cobra.Command{
		Use: "confirms", Short: "Prove that accepted configurations form one line",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := confirms.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
				return err
			}
			if len(report.Violations) > 0 {
				return errors.New("a promise was broken")
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Bin, "bin", "bin", "folder with goldcrestd and standin")
	f.StringVar(&o.Out, "out", "out/confirms", "folder for the logs")
	f.IntVar(&o.Routers, "routers", 4, "routers")
	f.IntVar(&o.Operators, "operators", 8, "racing operators")
	f.IntVar(&o.Accepted, "accepted", 200, "plans to be accepted in all")
	f.Float64Var(&o.LoseAnswers, "lose-answers", 0.2, "fraction of the platform's answers that are lost")
	f.DurationVar(&o.Bound, "bound", 2*time.Minute, "greatest length of the run")
	f.Uint64Var(&o.Seed, "seed", 1, "start of the random choices")
	return cmd
}
