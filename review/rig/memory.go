package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// memoryMb is that of an edge machine of lanna-glyph.
	memoryMb = 134
	// bodyBytes is what a consumer sends; the configuration allows 4,194,304.
	bodyBytes = 4_000_000
	// uploadTime is how long a consumer takes to send it: about 4 Mbit/s.
	uploadTime = 8 * time.Second
	// usualPerS is the usual number of such requests a second, over three routers; burstX is the largest
	// burst of the site file, and burstFor below its longest.
	usualPerS = 9.5
	burstX    = 2.86
	burstFor  = 11500 * time.Millisecond
)

// upload is what became of one request.
type upload struct {
	id                   string
	bodySent, ran, whole bool
	status               int
	err                  string
	front                string
}

// ownEnds counts for a router the ends of its process because of its memory.
type ownEnds struct {
	mu   sync.Mutex
	of   map[string]int
	peak map[string]float64
}

func memoryCase() {
	s, err := startStore(freeAddr())
	if err != nil {
		fail2("%v", err)
	}
	var ranMu sync.Mutex
	ran := map[string]int{}
	s.put("op/config", map[string]any{"version": 1,
		"routes":   []any{map[string]any{"name": "bundle", "host": "a.example", "pathPrefix": "/bundle/", "routeKind": "non_idempotent", "timeoutMs": 15000, "sloMs": 5000, "priority": 2, "service": "stringhub", "maxAttempts": 1, "public": false}},
		"services": []any{map[string]any{"name": "stringhub", "healthPath": "/healthz", "maxConns": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 250000},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{"k1"}, "priority": 1}}})
	for i, zone := range []string{"nimman", "suthep", "hangdong", "maerim"} {
		id := fmt.Sprintf("i-%d", i+1)
		lis, err := net.Listen("tcp", freeAddr())
		if err != nil {
			fail2("%v", err)
		}
		go func() {
			_ = http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				attempt := r.Header.Get("Attempt-Id")
				w.Header().Set("Attempt-Id", attempt)
				if r.Header.Get("Expect-Replica") != id {
					w.Header().Set("Not-Executed", "1")
					w.WriteHeader(421)
					return
				}
				n, err := io.Copy(io.Discard, r.Body)
				if err != nil || n != bodyBytes {
					return
				}
				ranMu.Lock()
				ran[attempt]++
				ranMu.Unlock()
				time.Sleep(500 * time.Millisecond)
				w.Header().Set("Replica-Stamp", id+"."+attempt)
				w.Header().Set("Replica-Load", "1,0,6")
				fmt.Fprintf(w, "stored %s", attempt)
			}))
		}()
		beat(s, id, "stringhub", lis.Addr().String(), zone)
	}
	rs := newRouters(dir, s.addr, 3, memoryMb)
	for _, r := range rs {
		r.start()
		cleanup = append(cleanup, r.kill)
	}
	waitReady(rs)
	time.Sleep(time.Second)

	// The platform ends a process that exceeds the memory of its machine, and starts it again.
	ends := &ownEnds{of: map[string]int{}, peak: map[string]float64{}}
	var over atomic.Bool
	for _, r := range rs {
		go func() {
			for !over.Load() {
				time.Sleep(20 * time.Millisecond)
				used := r.privateMb()
				ends.mu.Lock()
				ends.peak[r.id] = max(ends.peak[r.id], used)
				ends.mu.Unlock()
				if used <= memoryMb {
					continue
				}
				record("platform: %s uses %.0f MB of %d MB: its process is ended", r.id, used, memoryMb)
				ends.mu.Lock()
				ends.of[r.id]++
				ends.mu.Unlock()
				r.kill()
				time.Sleep(500 * time.Millisecond)
				if over.Load() {
					return
				}
				r.start()
				record("platform: %s is started again", r.id)
			}
		}()
	}

	// The platform asks each router each second whether it is ready; two misses take it out.
	var inRotation [3]atomic.Bool
	for i, r := range rs {
		inRotation[i].Store(true)
		go func() {
			misses := 0
			for !over.Load() {
				time.Sleep(time.Second)
				if r.isReady() {
					misses = 0
					inRotation[i].Store(true)
				} else if misses++; misses >= 2 {
					inRotation[i].Store(false)
				}
			}
		}()
	}

	body := make([]byte, bodyBytes)
	var mu sync.Mutex
	var all []upload
	send := func(n int) {
		u := upload{id: fmt.Sprintf("b%d", n)}
		at := n % 3
		for k := range 3 {
			if inRotation[(at+k)%3].Load() {
				at = (at + k) % 3
				break
			}
		}
		u.front = rs[at].id
		defer func() {
			time.Sleep(100 * time.Millisecond)
			ranMu.Lock()
			u.ran = ran[u.id] > 0
			ranMu.Unlock()
			record("consumer: %s by %s: all sent=%v ran=%v status=%d whole=%v %s", u.id, u.front, u.bodySent, u.ran, u.status, u.whole, u.err)
			mu.Lock()
			all = append(all, u)
			mu.Unlock()
		}()
		c, err := net.DialTimeout("tcp", rs[at].front, time.Second)
		if err != nil {
			u.err = err.Error()
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(15 * time.Second))
		fmt.Fprintf(c, "POST /bundle/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nCredential: k1\r\nDeadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n", u.id, len(body))
		const pieces = 40
		for k := range pieces {
			if _, err := c.Write(body[k*bodyBytes/pieces : (k+1)*bodyBytes/pieces]); err != nil {
				u.err = err.Error()
				return
			}
			time.Sleep(uploadTime / pieces)
		}
		u.bodySent = true
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			u.err = err.Error()
			return
		}
		data, err := io.ReadAll(resp.Body)
		u.status, u.whole = resp.StatusCode, err == nil && string(data) == "stored "+u.id
	}

	// 10 s as usual, then four bursts with 7 s between them.
	var wg sync.WaitGroup
	n := 0
	play := func(length time.Duration, perS float64) {
		gap := time.Duration(float64(time.Second) / perS)
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(gap) {
			n++
			wg.Add(1)
			go func(n int) { defer wg.Done(); send(n) }(n)
		}
	}
	play(10*time.Second, usualPerS)
	for range 4 {
		if trouble {
			record("disruption: burst, %.2f times the traffic, for %v", burstX, burstFor)
			play(burstFor, usualPerS*burstX)
		} else {
			play(burstFor, usualPerS)
		}
		play(7*time.Second, usualPerS)
	}
	wg.Wait()
	over.Store(true)
	time.Sleep(100 * time.Millisecond)
	served, lost, lostRan, machines, total := 0, 0, 0, 0, 0
	for _, u := range all {
		switch {
		case u.whole && u.status == 200:
			served++
		case u.status == 0 && u.ran:
			lostRan++
			lost++
		case u.status == 0:
			lost++
		}
	}
	ends.mu.Lock()
	for _, count := range ends.of {
		total += count
		if count >= 3 {
			machines++
		}
	}
	text := fmt.Sprintf("ends by memory %v, peaks in MB %v", ends.of, ends.peak)
	ends.mu.Unlock()
	verdict(machines >= 2, "%s: on %d machines three or more, %d in all; of %d requests %d were answered whole, %d ended without an answer, %d of these had run", text, machines, total, len(all), served, lost, lostRan)
}
