// Command prove runs a fleet under failures again and again and checks the
// promises on the history of each run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/bench/history"
	"goldcrestport/bench/prove"
)

// shownViolations bounds the breaches that are printed per promise and run.
const shownViolations = 5

// options are the command's flags.
type options struct {
	runs int
	seed uint64
	bin  string
	out  string
}

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	o := options{seed: uint64(time.Now().Unix())}
	cmd := &cobra.Command{
		Use: "prove", Short: "Check the promises under failures", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.repeat(cmd.Context()) },
	}
	cmd.AddCommand(checkCommand())
	f := cmd.Flags()
	f.IntVar(&o.runs, "runs", 1, "number of runs")
	f.Uint64Var(&o.seed, "seed", o.seed, "seed of the first run; each run adds 1")
	f.StringVar(&o.bin, "bin", "bin", "folder with goldcrestd and standin")
	f.StringVar(&o.out, "out", "out/prove", "folder for logs and histories")
	return cmd
}

func (o options) repeat(ctx context.Context) error {
	report := prove.NewReport()
	for i := range o.runs {
		if err := o.once(ctx, o.seed+uint64(i), report); err != nil {
			return err
		}
	}
	report.Print(os.Stdout)
	if n := report.Violations(); n > 0 {
		return errors.Newf("%d violations", n)
	}
	return nil
}

func (o options) once(ctx context.Context, seed uint64, report *prove.Report) error {
	dir := filepath.Join(o.out, fmt.Sprintf("run-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	w, err := prove.Start(ctx, o.bin, dir, prove.DefaultSize())
	if w != nil {
		defer w.Close()
	}
	if err != nil {
		return err
	}
	if err := w.Run(prove.DefaultPlan(seed)); err != nil {
		return err
	}
	if err := save(filepath.Join(dir, "history.jsonl"), w.History); err != nil {
		return err
	}
	show(seed, w.History, report)
	return nil
}

func save(path string, h *history.History) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return h.Write(file)
}

// show checks one run and prints what it breaks.
func show(seed uint64, h *history.History, report *prove.Report) {
	results := history.Check(h, history.DefaultBounds())
	report.Add(h, results)
	fmt.Printf("run seed=%d requests=%d failures=%d\n", seed, len(h.Calls), len(h.Faults))
	for _, r := range results {
		for i, v := range r.Violations {
			if i == shownViolations {
				fmt.Printf("  and %d more\n", len(r.Violations)-i)
				break
			}
			fmt.Printf("  violation of %q: %s\n", r.Promise, v)
		}
	}
}

// checkCommand checks histories of earlier runs.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check histories of earlier runs", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			report := prove.NewReport()
			for i, name := range files {
				file, err := os.Open(name)
				if err != nil {
					return err
				}
				h, err := history.Read(file)
				_ = file.Close()
				if err != nil {
					return err
				}
				show(uint64(i), h, report)
			}
			report.Print(os.Stdout)
			return nil
		},
	}
}
