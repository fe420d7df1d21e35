// Command rig plays the cases of the second review with processes of the project and small stand-ins.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// cases are the cases by their names.
var cases = map[string]func(w *world) (int, error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		replicaMain(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(cannot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays one case and returns its exit code.
func play(one func(w *world) (int, error), record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		w.close()
		os.Exit(cannot)
	}()
	code, err := one(w)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	w.note("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken"}[code])
	return code
}
