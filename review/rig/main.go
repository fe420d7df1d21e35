// Command reviewrig plays the scripts of the independent review: it starts the project's routers as
// processes on loopback with small stand-ins of the platform's store, replicas and consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	repo    string
	trouble = os.Getenv("TROUBLE") != "0"
	dir     string
	began   = time.Now()

	recMu   sync.Mutex
	recFile *os.File
	cleanup []func()
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recMu.Lock()
	defer recMu.Unlock()
	if recFile != nil {
		fmt.Fprintf(recFile, "%9.3f ", time.Since(began).Seconds())
		fmt.Fprintf(recFile, format+"\n", args...)
	}
}

func finish(code int) {
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	if dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// fail2 ends a case that could not run.
func fail2(format string, args ...any) {
	record("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	finish(2)
}

func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word := "HELD"
	if broken {
		word = "BROKEN"
	}
	record("verdict: %s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	if broken {
		finish(1)
	}
	finish(0)
}

var cases = map[string]func(){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewrig CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	var err error
	if repo, err = filepath.Abs(os.Args[2]); err != nil {
		fail2("%v", err)
	}
	if recFile, err = os.Create(os.Args[3]); err != nil {
		fail2("%v", err)
	}
	if dir, err = os.MkdirTemp("", "review-"); err != nil {
		fail2("%v", err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-stop; finish(2) }()
	time.AfterFunc(115*time.Second, func() { fail2("took too long") })
	record("case %s, disruption: %v", os.Args[1], trouble)
	cases[os.Args[1]]()
}
