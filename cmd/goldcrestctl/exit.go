package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
	"goldcrestport/protocol/outcome"
	"goldcrestport/transport/operatorclient"
)

// Exit codes; docs/CONFIGURATION.md lists them for scripts.
const (
	exitOK        = 0
	exitError     = 1
	exitBadInput  = 2
	exitStale     = 3
	exitRefused   = 4
	exitUnsettled = 5
)

// errCommand marks errors that a command returned; all others are errors in the command
// line itself.
var errCommand = errors.New("run")

// errBadInput marks errors in input files and arguments.
var errBadInput = errors.New("bad input")

func badInput(err error) error { return errors.Mark(err, errBadInput) }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var p *operatorclient.ProblemError
	var found intent.Errors
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &p):
		return problemCode(p)
	case errors.Is(err, errConflict):
		return exitStale
	case errors.Is(err, operatorclient.ErrUnreachable):
		return exitUnsettled
	case errors.Is(err, errBadInput), errors.As(err, &found), !errors.Is(err, errCommand):
		return exitBadInput
	default:
		return exitError
	}
}

func problemCode(p *operatorclient.ProblemError) int {
	switch p.Status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitRefused
	case http.StatusConflict:
		return exitStale
	case http.StatusServiceUnavailable:
		return exitUnsettled
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return exitBadInput
	default:
		return exitError
	}
}

// printError writes the error with all details that a router returned.
func printError(w io.Writer, err error) {
	var p *operatorclient.ProblemError
	var found intent.Errors
	switch {
	case errors.As(err, &p):
		printProblem(w, p)
	case errors.As(err, &found):
		fmt.Fprintf(w, "%s: %d errors in the intent\n", operator.ReasonBadIntent, len(found))
		printIntentErrors(w, found)
	default:
		fmt.Fprintln(w, "error:", err)
	}
}

func printIntentErrors(w io.Writer, found intent.Errors) {
	for _, e := range found {
		fmt.Fprintf(w, "  %s: %s\n", e.Path, e.Message)
	}
}

func printProblem(w io.Writer, p *operatorclient.ProblemError) {
	fmt.Fprintf(w, "%s: %s\n", p.Reason, p.Error())
	printIntentErrors(w, p.Errors)
	for _, e := range p.Meanwhile {
		fmt.Fprintf(w, "  %s\n", entryLine(e))
	}
	if p.Outcome == outcome.NotRun {
		fmt.Fprintln(w, "Nothing was changed by this call.")
	}
}

func entryLine(e operator.Entry) string {
	return fmt.Sprintf("revision %d by %s at %s: %s", e.Revision, orNone(e.By), e.At.Format(timeFormat), orNone(e.Summary))
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
