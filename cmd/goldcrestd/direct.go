package main

import (
	"bytes"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/quarantine"
	"goldcrestport/coordination/repeats"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/saturation"
	"goldcrestport/coordination/staleness"
	"goldcrestport/coordination/warmup"
	"goldcrestport/platform"
	"goldcrestport/protocol/settings"
	"goldcrestport/transport/backend"
	"goldcrestport/transport/direct"
	"goldcrestport/transport/observe"
)

func directCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   roleDirect,
		Short: "Run an entry router that calls backend servers itself",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runDirect(file) },
	}
	settingsFlag(cmd, &file)
	return cmd
}

// freshnessShare of the time in which a key must stop working is the greatest
// age of the configuration; the rest is the way of a request to its server.
const freshnessShare = 0.94

// heapShare of the process's memory is the collector's soft limit; the rest is
// for stacks, buffers of the kernel and what the limit overshoots.
const heapShare = 0.7

func runDirect(file string) error {
	set := settings.DefaultDirect()
	if err := settings.Load(file, &set); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(heapShare * float64(set.Memory.Bytes())))
	debug.SetGCPercent(saturation.CalmGrowth)
	lines := observe.NewWriter(os.Stdout)
	logger := observe.NewLogger(lines, roleDirect, set.ID, set.Log)
	observe.LogTraceErrors(logger)
	tracer, err := observe.NewTracer(os.Stdout, roleDirect, set.ID, set.Trace)
	if err != nil {
		return err
	}
	source := platform.NewSource(platform.NewStore(set.Platform.URL))
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	r := direct.New(set, directConfig(set), source, platform.Dialect{}, logger)
	r.CountLost(lines.Dropped)
	go reload(file, hangUp, r)
	r.SetTracer(tracer)
	err = errors.CombineErrors(r.Serve(stopSignal(r.Abort)), tracer.Close())
	lines.Flush(flushBound)
	return err
}

// flushBound is how long the last lines of the log may take at the end: a
// reader that keeps up takes some milliseconds, and one that stalls must not
// hold up a planned stop.
const flushBound = 100 * time.Millisecond

func directConfig(set settings.Direct) direct.Config {
	return direct.Config{
		Admission:  admission.DefaultConfig(),
		Roster:     roster.DefaultConfig(),
		Backend:    backendConfig(set),
		Staleness:  stalenessConfig(set),
		Quarantine: quarantine.DefaultConfig(),
		Warmup:     warmupConfig(set),
		Repeats: repeats.Config{
			Window: set.Repeats.Window.D(), Ratio: set.Repeats.Ratio,
			Allowance: set.Repeats.Allowance, Use: repeats.DefaultUse,
		},
		Freshness: scale(set.KeyRevocation.D(), freshnessShare),
	}
}

// stalenessConfig bounds what may rest on old knowledge of who leaves.
func stalenessConfig(set settings.Direct) staleness.Config {
	c := staleness.DefaultConfig()
	c.Bound = set.Departure.D()
	return c
}

// silenceShare of the bound on requests to servers that left is how long a server that is
// known to leave may be silent; the rest is for hearing of it.
const silenceShare = 0.5

// backendConfig bounds what is on its way to servers that leave.
func backendConfig(set settings.Direct) backend.Config {
	c := backend.DefaultConfig()
	c.InFlight.Silence = scale(set.Departure.D(), silenceShare)
	return c
}

// warmupConfig bounds cold servers as the settings say.
func warmupConfig(set settings.Direct) warmup.Config {
	c := warmup.DefaultConfig()
	c.Overrun, c.Slack = set.ColdServers.Overrun, set.ColdServers.Slack
	return c
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// reloadEvery is the time between looks at the settings file, which may change
// without a signal.
const reloadEvery = 2 * time.Second

// reload puts changed settings in force, at a signal or when the file differs.
// Settings that are wrong leave those before in force.
func reload(file string, hangUp <-chan os.Signal, r *direct.Router) {
	before, _ := os.ReadFile(file)
	for {
		asked := false
		select {
		case <-hangUp:
			asked = true
		case <-time.After(reloadEvery):
		}
		now, err := os.ReadFile(file)
		if err != nil || (!asked && bytes.Equal(before, now)) {
			continue
		}
		before = now
		set := settings.DefaultDirect()
		if err := settings.Load(file, &set); err != nil {
			r.Rejected(err)
			continue
		}
		debug.SetMemoryLimit(int64(heapShare * float64(set.Memory.Bytes())))
		r.Reload(set, directConfig(set))
	}
}
