package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stray"] = strayCase }

// Doses of the disruption, none above those of the site file: garble with share 0.6, x 0.05, 6 s.
const (
	garbleShare = 0.5
	garbleX     = 0.05
	garbleFor   = 6 * time.Second
)

// additional is what a faulty replica writes after a complete response: an HTTP library's message on an
// idle channel. It bears no Attempt-Id, and so belongs to no request.
const additional = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"

// Other bytes without an id, for BYTES=503 and BYTES=200: a rejection, and a result.
const (
	additional503 = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	additional200 = "HTTP/1.1 200 OK\r\nReplica-Stamp: x\r\nContent-Length: 11\r\n\r\nsomebody's\n"
)

// additionalBytes returns the bytes that the run uses.
func additionalBytes() string {
	switch os.Getenv("BYTES") {
	case "503":
		return additional503
	case "200":
		return additional200
	default:
		return additional
	}
}

// run is what is known of one request at the replicas.
type runs struct {
	mu sync.Mutex
	of map[string][]string
}

func (r *runs) began(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of[id] = append(r.of[id], replica)
}

func (r *runs) where(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.of[id]...)
}

// plainReplica is a plain service's replica that speaks on raw channels.
type plainReplica struct {
	id      string
	work    time.Duration
	all     *runs
	garbles atomic.Bool
	sentAdd atomic.Int64
	addr    string
}

func startPlain(id string, work time.Duration, all *runs) *plainReplica {
	lis, err := net.Listen("tcp", freeAddr())
	if err != nil {
		fail2("%v", err)
	}
	p := &plainReplica{id: id, work: work, all: all, addr: lis.Addr().String()}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *plainReplica) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	// left is what the replica wrote after a complete response and what leaves it late, in front of what it
	// writes next on the channel.
	left := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Attempt-Id")
		if left != "" {
			p.sentAdd.Add(1)
			record("replica %s: additional bytes leave late, where the response to %s is expected", p.id, id)
			if _, err := io.WriteString(c, left); err != nil {
				return
			}
			left = ""
		}
		if want := req.Header.Get("Expect-Replica"); want != "" && want != p.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		p.all.began(id, p.id)
		record("replica %s: runs %s", p.id, id)
		time.Sleep(p.work)
		body := "result of " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: %s.%s\r\nReplica-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", id, p.id, id, len(body), body); err != nil {
			return
		}
		if p.garbles.Load() && rand.Float64() < garbleX {
			left = additionalBytes()
		}
	}
}

func plainConfig(version int) map[string]any {
	return map[string]any{"version": version,
		"routes": []any{
			map[string]any{"name": "buildfetch", "host": "a.example", "pathPrefix": "/fetch/", "routeKind": "non_idempotent", "timeoutMs": 600, "sloMs": 100, "priority": 2, "service": "stringhub", "maxAttempts": 1, "public": false},
			map[string]any{"name": "qaflag", "host": "a.example", "pathPrefix": "/flag/", "routeKind": "idempotent", "timeoutMs": 600, "sloMs": 100, "priority": 2, "service": "stringhub", "maxAttempts": 2, "public": false},
		},
		"services": []any{map[string]any{"name": "stringhub", "healthPath": "/healthz", "maxConns": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 250000},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{"k1"}, "priority": 1}}}
}

// beat writes the replicas' entries again and again, as their heartbeats.
func beat(s *store, id, service, addr, zone string) {
	write := func(seq int) {
		s.put("servers/"+id, map[string]any{"service": service, "address": addr, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": seq})
	}
	write(1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			write(seq)
		}
	}()
}

func strayCase() {
	s, err := startStore(freeAddr())
	if err != nil {
		fail2("%v", err)
	}
	all := &runs{of: map[string][]string{}}
	zones := []string{"nimman", "suthep", "hangdong", "maerim"}
	s.put("op/config", plainConfig(1))
	var replicas []*plainReplica
	for i, zone := range zones {
		p := startPlain(fmt.Sprintf("i-%d", i+1), 15*time.Millisecond, all)
		replicas = append(replicas, p)
		beat(s, p.id, "stringhub", p.addr, zone)
	}
	rs := newRouters(dir, s.addr, 3, 134)
	for _, r := range rs {
		r.start()
		cleanup = append(cleanup, r.kill)
	}
	waitReady(rs)
	time.Sleep(time.Second)

	if trouble {
		go func() {
			// Three times, 6 s each, at half of the replicas.
			for range 3 {
				time.Sleep(2 * time.Second)
				record("disruption: replicas i-1 and i-2 send additional bytes after 1 in 20 of their responses, for 6 s")
				for _, p := range replicas[:int(garbleShare*float64(len(replicas)))] {
					p.garbles.Store(true)
				}
				time.Sleep(garbleFor)
				for _, p := range replicas {
					p.garbles.Store(false)
				}
			}
		}()
	}

	var mu sync.Mutex
	unsafe, refusedRan, twice, foreign := 0, 0, 0, 0
	note := func(res result, isUnsafe bool) {
		// A replica may begin a little later than the answer.
		time.Sleep(100 * time.Millisecond)
		where := all.where(res.id)
		mu.Lock()
		defer mu.Unlock()
		record("consumer: %s unsafe=%v answered %v; ran at %v", res.id, isUnsafe, res, where)
		if isUnsafe {
			unsafe++
			if len(where) > 1 {
				twice++
			}
			switch res.status {
			case 408, 421, 429, 503:
				if len(where) > 0 {
					refusedRan++
					record("REFUSED: %s was answered %d, which promises that it has not run, and ran at %v", res.id, res.status, where)
				}
			}
		}
		if res.status == 200 && res.whole && res.body != "result of "+res.id {
			foreign++
			record("MIXED: %s got %q", res.id, res.body)
		}
	}
	// 25 requests a second, 17 of them not idempotent, as on the sheet.
	end := time.Now().Add(28 * time.Second)
	var wg sync.WaitGroup
	for k := range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewSource(int64(k)))
			c := &consumer{front: rs[k%len(rs)].front, key: "k1"}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(200+r.Intn(400)) * time.Millisecond)
				isUnsafe := r.Intn(25) < 17
				method, path := "GET", "/flag/x"
				var body []byte
				if isUnsafe {
					method, path, body = "POST", "/fetch/x", []byte("{\"string\":1}")
				}
				res := c.do(method, path, fmt.Sprintf("a%d-%d", k, n), body, 600*time.Millisecond)
				note(res, isUnsafe)
				if res.status == 408 || res.status == 503 || res.status == 429 {
					// The status says that it has not run: the consumer sends it once more, on a new channel.
					c.close()
					time.Sleep(res.retry)
					note(c.do(method, path, fmt.Sprintf("a%d-%d-again", k, n), body, 600*time.Millisecond), isUnsafe)
				}
			}
		}()
	}
	wg.Wait()
	var extra int64
	for _, p := range replicas {
		extra += p.sentAdd.Load()
	}
	verdict(refusedRan+twice+foreign > 0, "%d requests that are not idempotent; %d of them answered 408, 421, 429 or 503 though they ran; %d ran twice; %d foreign answers; additional bytes were sent %d times", unsafe, refusedRan, twice, foreign, extra)
}
