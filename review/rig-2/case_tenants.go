package main

import (
	"fmt"
	"time"
)

func init() { cases["tenants"] = lastTenant }

// lastTenant takes the key of the only tenant away, by a configuration whose list of tenants is empty.
func lastTenant(w *world) (int, error) {
	const key, unknown = "asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"
	routes := []any{route("r-a", "/lohu930/", "non_idempotent", "ledger", 3*time.Second)}
	tenants := []any{tenant("hule930", key)}
	w.store.put("op/config", config(7, []string{"ledger"}, routes, tenants))
	for range 2 {
		if _, err := w.startReplica("ledger", "v1"); err != nil {
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
	for _, r := range all {
		if o := w.call(nil, r.front, "POST", "/lohu930/2f", key, 3*time.Second, nil); o.status != 200 {
			return cannot, fmt.Errorf("with the key: %s", o)
		}
		if o := w.call(nil, r.front, "POST", "/lohu930/2f", unknown, 3*time.Second, nil); o.status != 401 {
			return cannot, fmt.Errorf("with a key that nobody holds: %s", o)
		}
	}
	if w.trouble {
		tenants = []any{}
	}
	acknowledged := w.store.put("op/config", config(9, []string{"ledger"}, routes, tenants))
	w.note("the store acknowledges version 9 with %d tenants", len(tenants))
	time.Sleep(7 * time.Second)
	code := held
	check := func(r *router, key, rule string) {
		o := w.call(nil, r.front, "POST", "/lohu930/2f", key, 3*time.Second, nil)
		time.Sleep(50 * time.Millisecond)
		if len(w.runs()[o.id]) > 0 {
			w.note("BROKEN: %s: %s, sent %.3f s after the acknowledgement, ran", rule, o.id, o.began.Sub(acknowledged).Seconds())
			code = broken
		}
	}
	for _, r := range all {
		if w.trouble {
			check(r, key, "CONFIG: its key was taken away")
		} else if o := w.call(nil, r.front, "POST", "/lohu930/2f", key, 3*time.Second, nil); o.status != 200 {
			return cannot, fmt.Errorf("with the key: %s", o)
		}
		check(r, unknown, "ROUTE: no configuration ever held its key")
	}
	return code, nil
}
