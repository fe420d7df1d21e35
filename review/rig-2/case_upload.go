package main

import (
	"io"
	"net/http"
	"time"
)

func init() { cases["upload"] = slowUpload }

// slowBody yields a body of the given size in equal pieces, over the given time.
type slowBody struct {
	left, piece int
	pause       time.Duration
	lastAt      time.Time
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(b.piece, b.left, len(p))
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	b.lastAt = time.Now()
	return n, nil
}

// slowUpload takes a key away while a caller on a poor network sends the body of its request.
func slowUpload(w *world) (int, error) {
	const key, other = "asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"
	routes := []any{route("r-a", "/lohu930/", "non_idempotent", "ledger", 30*time.Second)}
	w.store.put("op/config", config(7, []string{"ledger"}, routes, []any{tenant("hule930", key), tenant("xaka200", other)}))
	for range 2 {
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
	results := make(chan outcome, len(all))
	bodies := make([]*slowBody, len(all))
	for i, r := range all {
		bodies[i] = &slowBody{left: 96 << 10, piece: 2 << 10, pause: 250 * time.Millisecond}
		go func() {
			o := w.call(&http.Client{}, r.front, "POST", "/lohu930/2f", key, 25*time.Second, bodies[i])
			o.sent = bodies[i].lastAt
			results <- o
		}()
	}
	time.Sleep(time.Second)
	var acknowledged time.Time
	if w.trouble {
		acknowledged = w.store.put("op/config", config(9, []string{"ledger"}, routes, []any{tenant("hule930"), tenant("xaka200", other)}))
		w.note("the store acknowledges version 9, which takes the key away")
	}
	code := held
	for range all {
		o := <-results
		time.Sleep(50 * time.Millisecond)
		ran := w.runs()[o.id]
		if !w.trouble {
			if o.status != 200 || len(ran) != 1 {
				code = broken
				w.note("BROKEN: %s did not run once without trouble", o)
			}
			continue
		}
		w.note("the last byte of %s was sent %.3f s after the acknowledgement", o.id, o.sent.Sub(acknowledged).Seconds())
		if len(ran) > 0 && o.sent.Sub(acknowledged) > 5*time.Second {
			w.note("BROKEN: CONFIG: %s ran %.3f s after its key was taken away", o.id, ran[0].At.Sub(acknowledged).Seconds())
			code = broken
		}
	}
	return code, nil
}
