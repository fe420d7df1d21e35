package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// event is one line that a replica writes to its standard output for the driver.
type event struct {
	At      time.Time
	Replica string
	What    string
	ID      string
	Path    string
	Tenant  string
	Body    int
}

// replicaMain serves one replica until it is killed. The query of a request says what it does:
// w is the time in ms that it works, b the size of its body, events the number of events of a stream
// and gap the time in ms between two of them.
func replicaMain(args []string) {
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	id := flags.String("id", "", "id of this lifetime")
	slots := flags.Int("slots", 6, "requests at once")
	_ = flags.Parse(args)
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	say := func(e event) {
		mu.Lock()
		defer mu.Unlock()
		e.At, e.Replica = time.Now(), *id
		_ = out.Encode(e)
	}
	var running atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Replica-Load", fmt.Sprintf("%d,0,%d", running.Load(), *slots))
		if want := r.Header.Get("Expect-Replica"); want != "" && want != *id {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if running.Add(1) > int64(*slots) {
			running.Add(-1)
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer running.Add(-1)
		q := r.URL.Query()
		number := func(name string) int { n, _ := strconv.Atoi(q.Get(name)); return n }
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		say(event{What: "runs", ID: attempt, Path: r.URL.Path, Tenant: r.Header.Get("Tenant"), Body: len(body)})
		select {
		case <-time.After(time.Duration(number("w")) * time.Millisecond):
		case <-r.Context().Done():
			say(event{What: "dropped", ID: attempt})
			return
		}
		if n := number("events"); n > 0 && q.Get("unframed") != "" {
			unframed(w, *id, attempt, n, time.Duration(number("gap"))*time.Millisecond)
			say(event{What: "ended", ID: attempt})
			return
		}
		if n := number("events"); n > 0 {
			stream(w, r, *id, n, time.Duration(number("gap"))*time.Millisecond)
			say(event{What: "ended", ID: attempt})
			return
		}
		answer := make([]byte, max(number("b"), 2))
		copy(answer, "ok")
		sum := sha256.Sum256(answer)
		w.Header().Set("Replica-Stamp", *id+"."+hex.EncodeToString(sum[:4]))
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
		say(event{What: "ended", ID: attempt})
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	say(event{What: "listens"})
	_ = http.Serve(l, http.HandlerFunc(handler))
}

// stream writes events with ids from 1, or from the one after Last-Event-Id.
func stream(w http.ResponseWriter, r *http.Request, id string, n int, gap time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Replica-Stamp", id+".0")
	w.WriteHeader(http.StatusOK)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= n; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			return
		}
	}
}

// unframed writes a stream without a length, which ends with its connection.
func unframed(w http.ResponseWriter, id, attempt string, n int, gap time.Duration) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nReplica-Stamp: %s.0\r\nConnection: close\r\n\r\n", attempt, id)
	for i := 1; i <= n; i++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %d\n\n", i, i); err != nil {
			return
		}
		time.Sleep(gap)
	}
}
