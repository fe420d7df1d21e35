// Command soak runs fleets of direct routers under random failures, one seed
// after the other, and checks the promises on what callers and backend servers
// saw.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/bench/soak"
)

// shown bounds the violations that are printed of one run.
const shown = 10

// options are the command's flags.
type options struct {
	runs     int
	together int
	seed     uint64
	bin      string
	out      string
	size     soak.Size
	failures time.Duration
}

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	o := options{seed: 1, size: soak.DefaultSize()}
	cmd := &cobra.Command{
		Use: "soak", Short: "Check the promises of direct routers under random failures", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.repeat(cmd.Context()) },
	}
	f := cmd.Flags()
	f.IntVar(&o.runs, "runs", 1, "number of runs")
	f.IntVar(&o.together, "together", 1, "runs at the same time")
	f.Uint64Var(&o.seed, "seed", o.seed, "seed of the first run; each run adds 1")
	f.StringVar(&o.bin, "bin", "bin", "folder with goldcrestd")
	f.StringVar(&o.out, "out", "out/soak", "folder for logs")
	f.IntVar(&o.size.Routers, "routers", o.size.Routers, "number of routers")
	f.BoolVar(&o.size.Spread, "spread", false, "routers in two data centres")
	f.IntVar(&o.size.Callers, "callers", o.size.Callers, "number of callers")
	f.DurationVar(&o.failures, "failures", soak.DefaultPlan(1).Failures, "how long failures are made")
	return cmd
}

// result is what one run gave.
type result struct {
	seed       uint64
	record     *soak.Record
	violations []soak.Violation
	err        error
}

func (o options) repeat(ctx context.Context) error {
	results, places := make(chan result), make(chan struct{}, max(o.together, 1))
	for i := range o.runs {
		seed := o.seed + uint64(i)
		go func() {
			places <- struct{}{}
			defer func() { <-places }()
			results <- o.once(ctx, seed)
		}()
	}
	var failed []uint64
	for range o.runs {
		r := <-results
		if !r.print() {
			failed = append(failed, r.seed)
		}
	}
	if len(failed) > 0 {
		return errors.Newf("seeds that failed: %v", failed)
	}
	return nil
}

func (o options) once(ctx context.Context, seed uint64) result {
	dir := filepath.Join(o.out, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return result{seed: seed, err: err}
	}
	size := soak.SizeOf(seed, o.size)
	w, err := soak.Start(ctx, o.bin, dir, size)
	if w != nil {
		defer w.Close()
	}
	if err != nil {
		return result{seed: seed, err: err}
	}
	plan := soak.DefaultPlan(seed)
	plan.Failures = o.failures
	w.Report = func(broken string) { fmt.Printf("seed=%d %s\n", seed, broken) }
	w.Run(plan, size.Callers)
	err = os.WriteFile(filepath.Join(dir, "timeline.txt"), []byte(soak.Timeline(w.Record)), 0o644)
	return result{seed: seed, record: w.Record, violations: soak.Check(w.Record), err: err}
}

// print shows the run and reports whether it kept every promise.
func (r result) print() bool {
	if r.err != nil {
		fmt.Printf("seed=%d could not run: %v\n", r.seed, r.err)
		return false
	}
	fmt.Printf("seed=%d %s violations=%d\n", r.seed, soak.Summary(r.record), len(r.violations))
	for i, v := range r.violations {
		if i == shown {
			fmt.Printf("  and %d more\n", len(r.violations)-i)
			break
		}
		fmt.Printf("  %v\n", v)
	}
	return len(r.violations) == 0
}
