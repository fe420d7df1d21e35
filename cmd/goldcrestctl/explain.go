package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/protocol/trail"
)

// explainCommand returns the command that shows the history of a request or backend
// server from the routers' logs.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Say the course of a request, or of a backend server, from the routers' logs (standard input without files)",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in, closeAll, err := openAll(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			defer closeAll()
			lines, _, err := trail.Read(in, args[0])
			if err != nil {
				return errors.Wrap(err, "read logs")
			}
			return trail.Explain(cmd.OutOrStdout(), args[0], lines)
		},
	}
}

// openAll returns a reader of the concatenated files, or standard input if there are
// none.
func openAll(stdin io.Reader, files []string) (io.Reader, func(), error) {
	if len(files) == 0 {
		return stdin, func() {}, nil
	}
	var readers []io.Reader
	var opened []*os.File
	closeAll := func() {
		for _, f := range opened {
			_ = f.Close()
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, errors.Wrap(err, "read logs")
		}
		opened = append(opened, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
