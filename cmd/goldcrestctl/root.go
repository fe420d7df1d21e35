package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/transport/operatorclient"
)

// Environment variables that set the defaults of flags.
const (
	envRouters = "GOLDCREST_ROUTERS"
	envToken   = "GOLDCREST_TOKEN"
)

// Output formats.
const (
	formatTable = "table"
	formatText  = "text" // the same as formatTable
	formatJSON  = "json"
)

const timeFormat = time.RFC3339

// defaultTimeout is longer than a router takes to determine the outcome of a
// confirmation.
const defaultTimeout = 15 * time.Second

// app contains the streams and flags that all commands share.
type app struct {
	in      io.Reader
	out     io.Writer
	errs    io.Writer
	routers []string
	token   string
	format  string
	timeout time.Duration
}

// run executes the command line and returns the exit code.
func run(args []string, in io.Reader, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{in: in, out: out, errs: errs}
	cmd := a.root()
	cmd.SetArgs(args)
	cmd.SetIn(in)
	cmd.SetOut(out)
	cmd.SetErr(errs)
	err := cmd.ExecuteContext(ctx)
	if err != nil {
		printError(errs, err)
	}
	return exitCode(err)
}

func (a *app) root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "goldcrestctl",
		Short:         "Plan and confirm configurations, see status, drain backend servers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := cmd.PersistentFlags()
	f.StringSliceVar(&a.routers, "router", splitList(os.Getenv(envRouters)), "operators' address of a router, IP:port; several are tried in turn (env "+envRouters+")")
	f.StringVar(&a.token, "token", "", "operator's bearer token; better given as env "+envToken)
	f.StringVarP(&a.format, "output", "o", formatTable, "output format: table (or text) or json")
	f.DurationVar(&a.timeout, "timeout", defaultTimeout, "bound of the call of one router")
	cmd.PersistentPreRunE = func(*cobra.Command, []string) error {
		if a.format == formatText {
			a.format = formatTable
		}
		if a.format != formatTable && a.format != formatJSON {
			return badInput(errors.Newf("unknown output format %q", a.format))
		}
		if a.token == "" {
			a.token = os.Getenv(envToken)
		}
		return nil
	}
	cmd.AddCommand(a.planCommand(), a.confirmCommand(), a.settleCommand(), a.configCommand(), a.historyCommand(),
		a.rollbackCommand(), a.statusCommand(), a.drainCommand(), a.undrainCommand(), a.evacuateCommand(),
		a.validateCommand(), a.schemaCommand(), a.versionCommand(), explainCommand(), a.lossesCommand(), a.fairnessCommand())
	return cmd
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func (a *app) client() *operatorclient.Client {
	return operatorclient.New(a.routers, a.token, a.timeout)
}

// newCommand returns a command whose errors are marked with errCommand.
func newCommand(use, short string, args cobra.PositionalArgs, body func(ctx context.Context, args []string) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: args,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := body(cmd.Context(), args); err != nil {
				return errors.Mark(err, errCommand)
			}
			return nil
		},
	}
}

// printJSON writes the value indented.
func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (a *app) printLine(format string, args ...any) { fmt.Fprintf(a.out, format+"\n", args...) }

// printTableLine prints a line that is not part of the JSON output.
func (a *app) printTableLine(format string, args ...any) {
	if a.format == formatTable {
		a.printLine(format, args...)
	}
}

func (a *app) versionCommand() *cobra.Command {
	return newCommand("version", "Print the version", cobra.NoArgs, func(context.Context, []string) error {
		version := "unknown"
		if info, ok := debug.ReadBuildInfo(); ok {
			version = info.Main.Version
			for _, s := range info.Settings {
				if s.Key == "vcs.revision" {
					version += " " + s.Value
				}
			}
		}
		a.printLine("goldcrestctl %s", version)
		return nil
	})
}
