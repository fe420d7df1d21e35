package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/protocol/settings"
	"goldcrestport/transport/observe"
	"goldcrestport/transport/platform"
	"goldcrestport/transport/router"
	"goldcrestport/transport/sidecar"
)

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "goldcrestd",
		Short:         "Run a router or a sidecar of goldcrestport",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(routerCommand(), sidecarCommand(), directCommand(), validateCommand())
	return cmd
}

func routerCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   roleRouter,
		Short: "Run an entry router",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runRouter(file) },
	}
	settingsFlag(cmd, &file)
	return cmd
}

func runRouter(file string) error {
	set := settings.DefaultRouter()
	if err := settings.Load(file, &set); err != nil {
		return err
	}
	logger := observe.NewLogger(os.Stderr, roleRouter, set.ID, set.Log)
	observe.LogTraceErrors(logger)
	tracer, err := observe.NewTracer(os.Stdout, roleRouter, set.ID, set.Trace)
	if err != nil {
		return err
	}
	client := platform.NewClient(set.Platform.URL, set.ID, set.Platform.Timeout.D())
	r := router.New(set, client, client, logger)
	r.SetTracer(tracer)
	return errors.CombineErrors(r.Serve(stopSignal(r.Abort)), tracer.Close())
}

func sidecarCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   roleSidecar,
		Short: "Run the sidecar of one backend server",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runSidecar(file) },
	}
	settingsFlag(cmd, &file)
	return cmd
}

func runSidecar(file string) error {
	set := settings.DefaultSidecar()
	if err := settings.Load(file, &set); err != nil {
		return err
	}
	logger := observe.NewLogger(os.Stderr, roleSidecar, set.ID, set.Log)
	observe.LogTraceErrors(logger)
	tracer, err := observe.NewTracer(os.Stdout, roleSidecar, set.ID, set.Trace)
	if err != nil {
		return err
	}
	client := platform.NewClient(set.Platform.URL, set.ID, set.Platform.Timeout.D())
	s := sidecar.New(set, client, client, logger)
	s.SetTracer(tracer)
	return errors.CombineErrors(s.Serve(stopSignal(s.Abort)), tracer.Close())
}

// settingsFlag adds the required flag for the path of the settings file.
func settingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVarP(file, "settings", "s", "", "settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
}

// stopSignal returns a channel that is closed at the first SIGTERM or SIGINT; the
// second one calls onSecond.
func stopSignal(onSecond func()) <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		onSecond()
	}()
	return stop
}
