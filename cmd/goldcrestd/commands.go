package main

import (
	"os"
	"os/signal"
	"syscall"

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
	cmd.AddCommand(routerCommand(), sidecarCommand(), validateCommand())
	return cmd
}

func routerCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "router",
		Short: "Run an entry router",
		RunE: func(*cobra.Command, []string) error {
			set := settings.DefaultRouter()
			if err := settings.Load(file, &set); err != nil {
				return err
			}
			logger := observe.NewLogger("router", set.ID)
			client := platform.NewClient(set.Platform.URL, set.ID, set.Platform.Timeout.D())
			r := router.New(set, client, client, logger)
			return r.Serve(stopSignal(r.Abort))
		},
	}
	cmd.Flags().StringVarP(&file, "settings", "s", "", "settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func sidecarCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "sidecar",
		Short: "Run the sidecar of one backend server",
		RunE: func(*cobra.Command, []string) error {
			set := settings.DefaultSidecar()
			if err := settings.Load(file, &set); err != nil {
				return err
			}
			logger := observe.NewLogger("sidecar", set.ID)
			client := platform.NewClient(set.Platform.URL, set.ID, set.Platform.Timeout.D())
			s := sidecar.New(set, client, client, logger)
			return s.Serve(stopSignal(s.Abort))
		},
	}
	cmd.Flags().StringVarP(&file, "settings", "s", "", "settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// stopSignal is closed by the first SIGTERM or SIGINT; the second one calls
// again.
func stopSignal(again func()) <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		again()
	}()
	return stop
}
