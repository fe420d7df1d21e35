package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["grace"] = shorterGrace }

// shorterGrace changes the settings so that processes are killed 4 s after SIGTERM instead of 8 s.
func shorterGrace(w *world) (int, error) {
	routes := []any{
		route("r-a", "/lohu930/", "non_idempotent", "ledger", 3*time.Second),
		route("r-s", "/pufi791/", "streaming", "counsel", 15*time.Second),
	}
	w.store.put("op/config", config(7, []string{"ledger", "counsel"}, routes, nil))
	for _, s := range []string{"ledger", "ledger", "ledger", "counsel", "counsel"} {
		if _, err := w.startReplica(s, "v1"); err != nil {
			return cannot, err
		}
	}
	all, err := w.startRouters(2)
	if err != nil {
		return cannot, err
	}
	if err := w.awaitReady(all, 10*time.Second); err != nil {
		return cannot, err
	}
	r := all[0]
	grace := 8 * time.Second
	if w.trouble {
		grace = 4 * time.Second
		r.fields["stop"] = map[string]any{"bound": "4s", "linger": "2700ms"}
		if err := r.writeSettings(); err != nil {
			return cannot, err
		}
		r.signal(syscall.SIGHUP)
		w.note("the settings say 4 s of grace now; SIGHUP")
	}
	time.Sleep(4 * time.Second)
	// Callers keep channels open, and one of them receives a stream.
	clients := make([]*http.Client, 8)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		if o := w.call(clients[i], r.front, "POST", "/lohu930/2f?w=20", "", time.Second, nil); o.status != 200 {
			return cannot, fmt.Errorf("before the stop: %s", o)
		}
	}
	go w.call(nil, r.front, "POST", "/pufi791/2f?events=100&gap=100", "", 14*time.Second, nil)
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	w.note("SIGTERM to %s", r.name)
	r.signal(syscall.SIGTERM)
	var mu sync.Mutex
	var late []outcome
	var group sync.WaitGroup
	for i, c := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Until(stopped.Add(2800*time.Millisecond + time.Duration(i*20)*time.Millisecond)))
			for time.Since(stopped) < grace-50*time.Millisecond {
				o := w.call(c, r.front, "POST", "/lohu930/2f?w=250", "", time.Second, nil)
				mu.Lock()
				if o.began.Sub(stopped) > 3*time.Second {
					late = append(late, o)
				}
				mu.Unlock()
				if o.err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Until(stopped.Add(grace)))
	if !r.ended() {
		w.note("SIGKILL to %s, %.3f s after SIGTERM", r.name, time.Since(stopped).Seconds())
		r.kill()
	}
	group.Wait()
	time.Sleep(100 * time.Millisecond)
	code, runs := held, w.runs()
	for _, o := range late {
		if o.err != nil && len(runs[o.id]) > 0 {
			w.note("BROKEN: LOST: %s, sent %.3f s after SIGTERM, ran and its channel ended without an answer", o.id, o.began.Sub(stopped).Seconds())
			code = broken
		}
	}
	w.note("%d requests were sent later than 3 s after SIGTERM", len(late))
	return code, nil
}
