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

// freshnessFraction is the fraction of the key revocation bound that is allowed as staleness of
// the configuration; the rest is for the time that a request takes to its server.
const freshnessFraction = 0.94

// heapFraction is the fraction of the process's memory that is the soft memory limit of the
// garbage collector; the rest is for stacks, kernel buffers and overshoot of the limit.
const heapFraction = 0.7

func runDirect(file string) error {
	set := settings.DefaultDirect()
	if err := settings.Load(file, &set); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(heapFraction * float64(set.Memory.Bytes())))
	debug.SetGCPercent(saturation.CalmGrowth)
	logWriter := observe.NewWriter(os.Stdout)
	logger := observe.NewLogger(logWriter, roleDirect, set.ID, set.Log)
	observe.LogTraceErrors(logger)
	tracer, err := observe.NewTracer(os.Stdout, roleDirect, set.ID, set.Trace)
	if err != nil {
		return err
	}
	source := platform.NewSource(platform.NewStore(set.Platform.URL))
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	r := direct.New(set, directConfig(set), source, platform.Dialect{}, logger)
	r.CountLost(logWriter.Dropped)
	go reload(file, hangup, r)
	r.SetTracer(tracer)
	err = errors.CombineErrors(r.Serve(stopSignal(r.Abort)), tracer.Close())
	logWriter.Flush(flushTimeout)
	return err
}

// flushTimeout bounds the flush of the last log lines at shutdown: a reader that keeps
// up takes a few milliseconds, and a stalled one must not delay a planned stop.
const flushTimeout = 100 * time.Millisecond

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
		Freshness: scale(set.KeyRevocation.D(), freshnessFraction),
	}
}

// stalenessConfig returns the bound on the staleness of server departures.
func stalenessConfig(set settings.Direct) staleness.Config {
	c := staleness.DefaultConfig()
	c.Bound = set.Departure.D()
	return c
}

// silenceFraction is the fraction of the bound on requests to departed servers for which a
// server that is known to be shutting down may be silent; the rest is for its shutdown
// announcement to arrive.
const silenceFraction = 0.5

// backendConfig bounds the requests in flight to servers that are shutting down.
func backendConfig(set settings.Direct) backend.Config {
	c := backend.DefaultConfig()
	c.InFlight.Silence = scale(set.Departure.D(), silenceFraction)
	return c
}

// warmupConfig returns the limits for cold servers from the settings.
func warmupConfig(set settings.Direct) warmup.Config {
	c := warmup.DefaultConfig()
	c.Overrun, c.Slack = set.ColdServers.Overrun, set.ColdServers.Slack
	return c
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// reloadInterval is the interval at which the settings file is polled, as it may change
// without a signal.
const reloadInterval = 2 * time.Second

// reload applies changed settings, at a signal or when the file has changed. If the
// new settings are invalid, the previous ones stay in effect.
func reload(file string, hangup <-chan os.Signal, r *direct.Router) {
	previous, _ := os.ReadFile(file)
	for {
		signalled := false
		select {
		case <-hangup:
			signalled = true
		case <-time.After(reloadInterval):
		}
		current, err := os.ReadFile(file)
		if err != nil || (!signalled && bytes.Equal(previous, current)) {
			continue
		}
		previous = current
		set := settings.DefaultDirect()
		if err := settings.Load(file, &set); err != nil {
			r.Rejected(err)
			continue
		}
		debug.SetMemoryLimit(int64(heapFraction * float64(set.Memory.Bytes())))
		r.Reload(set, directConfig(set))
	}
}
