package main

import (
	"bytes"
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
			lines, err := readAttempts(cmd.InOrStdin(), args[0], args[1:])
			if err != nil {
				return errors.Wrap(err, "read logs")
			}
			return trail.Explain(cmd.OutOrStdout(), args[0], lines)
		},
	}
}

// readAttempts returns the lines about the request or the server. If the request resumes a stream
// of an earlier attempt, the lines about all attempts at that stream are included.
func readAttempts(stdin io.Reader, id string, files []string) ([]trail.Line, error) {
	if len(files) == 0 {
		// The input is read twice.
		all, err := io.ReadAll(stdin)
		if err != nil {
			return nil, err
		}
		stdin = bytes.NewReader(all)
	}
	lines, err := readLines(stdin, id, files)
	origin := trail.Origin(id, lines)
	if err != nil || origin == "" {
		return lines, err
	}
	if again, is := stdin.(io.Seeker); is {
		if _, err := again.Seek(0, io.SeekStart); err != nil {
			return nil, err
		}
	}
	more, err := readLines(stdin, origin, files)
	return trail.Merge(lines, more), err
}

// readLines returns the lines about the request or the server in the files, or in standard input
// if there are none.
func readLines(stdin io.Reader, id string, files []string) ([]trail.Line, error) {
	in, closeAll, err := openAll(stdin, files)
	if err != nil {
		return nil, err
	}
	defer closeAll()
	lines, _, err := trail.Read(in, id)
	return lines, err
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
