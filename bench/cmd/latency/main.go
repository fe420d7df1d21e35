// Command latency measures what the path through a router and a sidecar adds
// to a call of the backend server. Its last line is a JSON object.
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

	"goldcrestport/bench/latency"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	var o latency.Options
	cmd := &cobra.Command{
		Use:           "latency",
		Short:         "Measure the added latency of the path, its hops, throughput and CPU",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), o) },
	}
	f := cmd.Flags()
	f.StringVar(&o.Bin, "bin", "bin", "folder with goldcrestd and standin")
	f.StringVar(&o.Out, "out", "out/latency", "folder for settings and logs")
	f.IntVar(&o.Requests, "requests", 3000, "requests of each kind under light load")
	f.DurationVar(&o.Pause, "pause", time.Millisecond, "pause between requests under light load")
	f.IntVar(&o.Callers, "callers", 64, "callers of the throughput part")
	f.DurationVar(&o.Load, "load", 5*time.Second, "length of the throughput part")
	return cmd
}

func run(ctx context.Context, o latency.Options) error {
	if err := o.Validate(); err != nil {
		return err
	}
	if err := os.RemoveAll(o.Out); err != nil {
		return err
	}
	r, err := latency.Run(ctx, o)
	if err != nil {
		return err
	}
	l, t := r.Light, r.Throughput
	fmt.Printf("light load, %d requests each, microseconds:\n", l.Requests)
	fmt.Printf("  %-32s %8s %8s\n", "", "median", "p99")
	fmt.Printf("  %-32s %8.0f %8.0f\n", "direct", l.DirectMedian, l.DirectP99)
	fmt.Printf("  %-32s %8.0f %8.0f\n", "through the path", l.ViaMedian, l.ViaP99)
	fmt.Printf("  %-32s %8.0f %8.0f\n", "added", l.AddedMedian, l.AddedP99)
	fmt.Println("hops, every request traced:")
	for _, hop := range r.Hops {
		fmt.Printf("  %-32s %8.0f %8.0f\n", hop.Name, hop.Median, hop.P99)
	}
	fmt.Printf("throughput, %d callers for %.1f s: %.0f requests/s, %d errors, median %.0f us, p99 %.0f us\n",
		t.Callers, t.Seconds, t.PerSecond, t.Errors, t.Median, t.P99)
	fmt.Printf("  processor time per request: router %.0f us, sidecar %.0f us; router on %.1f cores, %d MiB\n",
		t.RouterCPU, t.SidecarCPU, t.RouterCores, t.RouterRSS>>20)
	return json.NewEncoder(os.Stdout).Encode(r)
}
