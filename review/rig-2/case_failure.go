package main

import (
	"time"
)

func init() { cases["failure"] = failureAfterRun }

// failureAfterRun lets replicas fail three in ten of the requests that they ran, with a 503 that does not say that
// it was not executed.
func failureAfterRun(w *world) (int, error) {
	const requests = 60
	routes := []any{route("r-a", "/puxa403/", "non_idempotent", "ledger", time.Second)}
	w.store.put("op/config", config(7, []string{"ledger"}, routes, nil))
	for range 3 {
		if _, err := w.startReplica("ledger", ""); err != nil {
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
	var results []outcome
	repeated, doubled := 0, 0
	for i := range requests {
		uri := "/puxa403/2f?w=30"
		if w.trouble && i%10 < 3 {
			uri += "&fail=503"
		}
		o := w.call(nil, all[i%2].front, "POST", uri, "", time.Second, nil)
		results = append(results, o)
		if isPromise(o.status) {
			// The consumer repeats a request that is not idempotent after a promise that it has not run.
			again := w.call(nil, all[(i+1)%2].front, "POST", "/puxa403/2f?w=30", "", time.Second, nil)
			repeated++
			time.Sleep(20 * time.Millisecond)
			if runs := w.runs(); len(runs[o.id]) > 0 && len(runs[again.id]) > 0 {
				doubled++
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	code, runs := held, w.runs()
	for _, o := range results {
		if isPromise(o.status) && len(runs[o.id]) > 0 {
			w.note("BROKEN: REFUSED: %s ran at %s and was answered %d", o.id, runs[o.id][0].Replica, o.status)
			code = broken
		}
	}
	w.note("%d of %d requests were repeated by their consumers, and %d pieces of work were done twice", repeated, requests, doubled)
	return code, nil
}

// isPromise reports whether the status says that the request has not run and never will.
func isPromise(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}
