// Command standin runs, on a loopback address, a stand-in for the platform, a model engine or a plain service, or for
// the key-value store of the users' platform or one of its backend servers.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"goldcrestport/standin/engine"
	"goldcrestport/standin/platform"
	"goldcrestport/standin/service"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for what the fleet runs on", SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), storeCommand(), backendCommand())
	if root.ExecuteContext(ctx) != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	config := platform.DefaultConfig()
	cmd := command("platform", "Key-value service and list of instances", func() (http.Handler, error) { return platform.New(config), nil })
	f := cmd.Flags()
	f.Float64Var(&config.WritesPerSecond, "writes-per-second", config.WritesPerSecond, "greatest rate of writes")
	f.Float64Var(&config.ReadsPerSecond, "reads-per-second", config.ReadsPerSecond, "greatest rate of reads")
	f.DurationVar(&config.ListLag, "list-lag", config.ListLag, "how late the list of instances is")
	return cmd
}

func engineCommand() *cobra.Command {
	config, journal := engine.DefaultConfig(), ""
	cmd := command("engine", "Model engine", func() (http.Handler, error) {
		file, err := openJournal(journal)
		config.Journal = file
		return engine.New(config), err
	})
	f := cmd.Flags()
	f.Float64Var(&config.PrefillRate, "prefill-rate", config.PrefillRate, "prompt tokens a second")
	f.DurationVar(&config.Step, "step", config.Step, "time of a step with nothing else running")
	f.Float64Var(&config.BatchSlowdown, "batch-slowdown", config.BatchSlowdown, "part of a step added by each running request")
	f.IntVar(&config.Slots, "slots", config.Slots, "requests that run at once")
	f.IntVar(&config.CacheBlocks, "cache-blocks", config.CacheBlocks, "blocks in the prefix cache")
	f.DurationVar(&config.LoadLag, "load-lag", config.LoadLag, "how late the report of load is")
	f.DurationVar(&config.CacheEventLag, "cache-event-lag", config.CacheEventLag, "how late cache events are")
	f.BoolVar(&config.CheckFence, "check-fence", config.CheckFence, "refuse orders with an old fence")
	f.DurationVar(&config.LoadTime, "load-time", config.LoadTime, "time to load a model or an adapter")
	f.IntVar(&config.KeepRuns, "keep-runs", config.KeepRuns, "runs kept in the record")
	f.StringVar(&journal, "journal", "", "file that gets a line for each start and end of a run")
	return cmd
}

func serviceCommand() *cobra.Command {
	config, journal := service.DefaultConfig(), ""
	cmd := command("service", "Plain service", func() (http.Handler, error) {
		file, err := openJournal(journal)
		config.Journal = file
		return service.New(config), err
	})
	f := cmd.Flags()
	f.IntVar(&config.Slots, "slots", config.Slots, "requests that run at once")
	f.DurationVar(&config.Time, "time", config.Time, "fixed part of the service time")
	f.DurationVar(&config.Jitter, "jitter", config.Jitter, "mean of the exponential part of the service time")
	f.DurationVar(&config.LoadLag, "load-lag", config.LoadLag, "how late the report of load is")
	f.IntVar(&config.KeepRuns, "keep-runs", config.KeepRuns, "runs kept in the record")
	f.StringVar(&journal, "journal", "", "file that gets a line for each start and end of a run")
	return cmd
}

// openJournal opens a journal file for appending. It returns nil if the name is empty.
func openJournal(name string) (io.Writer, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func command(name, short string, handler func() (http.Handler, error)) *cobra.Command {
	var listen string
	cmd := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		h, err := handler()
		if err != nil {
			return err
		}
		return serve(cmd.Context(), listen, h)
	}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "loopback address and port; port 0 takes a free one")
	return cmd
}

// serve serves HTTP until ctx is done. It prints the address once it listens.
func serve(ctx context.Context, listen string, handler http.Handler) error {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.New("the address must be a loopback IP number")
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("listening on", listener.Addr())
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: 10 * time.Second,
		BaseContext: func(net.Listener) context.Context { return ctx }, // calls that wait end at shutdown
	}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
