package main

import (
	"bytes"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["unframed"] = unframedCut }

// unframedCut replaces two of four replicas, one after the other, while they answer streams that have no length: the new
// one starts first, then the old one leaves. One reports that it drains, one never does and its entry is removed. Both
// serve on for longer than drainMs, and then exit.
func unframedCut(w *world) (int, error) {
	const (
		events    = 60
		streams   = 8
		servesFor = 2500 * time.Millisecond
	)
	routes := []any{route("r-s", "/pufi791/", "streaming", "counsel", 15*time.Second, "resumable", true, "itlTargetMs", 500)}
	w.store.put("op/config", config(7, []string{"counsel"}, routes, nil))
	var replicas []*replica
	for range 4 {
		one, err := w.startReplica("counsel", "v1")
		if err != nil {
			return cannot, err
		}
		replicas = append(replicas, one)
	}
	all, err := w.startRouters(2)
	if err != nil {
		return cannot, err
	}
	if err := w.awaitReady(all, 10*time.Second); err != nil {
		return cannot, err
	}
	results := make(chan outcome, streams)
	for i := range streams {
		uri := fmt.Sprintf("/pufi791/2f?unframed=1&events=%d&gap=100", events)
		go func() { results <- w.call(nil, all[i%len(all)].front, "POST", uri, "", 14*time.Second, nil) }()
	}
	time.Sleep(time.Second)
	if w.trouble {
		for i, one := range replicas[:2] {
			if _, err := w.startReplica("counsel", "v1"); err != nil {
				return cannot, err
			}
			if i == 0 {
				one.enter("draining")
				w.note("the store acknowledges that %s is draining", one.id)
			} else {
				w.store.delete("servers/" + one.id)
				w.note("the store acknowledges that the entry of %s is removed", one.id)
			}
			go func() {
				time.Sleep(servesFor)
				w.note("%s exits", one.id)
				one.signal(syscall.SIGTERM)
			}()
			time.Sleep(time.Second)
		}
	}
	code := held
	for range streams {
		o := <-results
		got := bytes.Count(o.body, []byte("\n\n"))
		w.note("%s: %d events of %d, ended as complete: %v", o.id, got, events, o.err == nil)
		if o.err == nil && o.status == 200 && got < events {
			w.note("BROKEN: ORDER: %s ended as complete before its last event", o.id)
			code = broken
		}
		if !w.trouble && got < events {
			w.note("BROKEN: %s is not whole without the disruption", o.id)
			code = broken
		}
	}
	return code, nil
}
