// Command slopes measures what each role costs and writes the tables of
// docs/CAPACITY-SIDECARS.md.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/bench/slopes"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if command().ExecuteContext(ctx) != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	o := slopes.Options{Progress: func(format string, args ...any) { fmt.Printf(format+"\n", args...) }}
	var page, from string
	cmd := &cobra.Command{
		Use: "slopes", Short: "Measure the costs of each role over the size of the fleet",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if from != "" {
				rep, err := slopes.ReadReport(from)
				if err != nil {
					return err
				}
				return rep.WriteInto(page)
			}
			rep, err := slopes.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			return write(rep, o.Out, page)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Bin, "bin", "bin", "folder with goldcrestd and standin")
	f.StringVar(&o.Out, "out", "out/slopes", "folder for the report and the logs")
	f.StringSliceVar(&o.Only, "only", nil, "scenarios to run (default all)")
	f.DurationVar(&o.Window, "window", 3*time.Second, "length of one reading; three are taken at each size")
	f.StringVar(&page, "page", "", "page whose tables are replaced (default: none)")
	f.StringVar(&from, "from", "", "report of an earlier run whose tables are written again")
	return cmd
}

func write(rep *slopes.Report, out, page string) error {
	data, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "report.json"), data, 0o644); err != nil {
		return errors.Wrap(err, "report file")
	}
	if page == "" {
		fmt.Print(rep.Markdown())
		return nil
	}
	return rep.WriteInto(page)
}
