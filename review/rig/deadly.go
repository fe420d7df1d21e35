package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["deadly"] = deadlyCase }

// downTime is how long a crashed replica is away.
const downTime = 2 * time.Second

// deadlyPath is that of the request that crashes each replica which begins to run it.
const deadlyPath = "/flag/deadly"

// arrived is one arrival of the deadly request at a replica.
type arrived struct {
	at      time.Time
	replica string
}

// deadlyService is a service whose replicas crash under one request and are back, as new ones, a little later.
type deadlyService struct {
	s       *store
	mu      sync.Mutex
	lives   int
	sends   []arrived
	crashes []time.Time
}

// begin starts a new life of a replica.
func (d *deadlyService) begin(zone string) {
	d.mu.Lock()
	d.lives++
	id := fmt.Sprintf("i-%d", d.lives)
	d.mu.Unlock()
	lis, err := net.Listen("tcp", freeAddr())
	if err != nil {
		fail2("%v", err)
	}
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	gone := make(chan struct{})
	var once sync.Once
	crash := func() {
		once.Do(func() {
			close(gone)
			mu.Lock()
			_ = lis.Close()
			for c := range conns {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			mu.Unlock()
			d.mu.Lock()
			d.crashes = append(d.crashes, time.Now())
			d.mu.Unlock()
			record("replica %s: crashes under the request; crash %d", id, len(d.crashes))
			// Its entry goes after three heartbeats of silence.
			time.AfterFunc(3*heartbeat, func() { d.s.remove("servers/" + id) })
			time.AfterFunc(downTime, func() { d.begin(zone) })
		})
	}
	serve := func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				_ = c.Close()
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			attempt := req.Header.Get("Attempt-Id")
			if req.Header.Get("Expect-Replica") != id {
				fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
				continue
			}
			if req.URL.Path == deadlyPath {
				d.mu.Lock()
				d.sends = append(d.sends, arrived{time.Now(), id})
				d.mu.Unlock()
				record("replica %s: begins to run the deadly request, %s", id, attempt)
				time.Sleep(20 * time.Millisecond)
				crash()
				return
			}
			time.Sleep(15 * time.Millisecond)
			body := "result of " + attempt
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: %s.%s\r\nReplica-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", attempt, id, attempt, len(body), body)
		}
	}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[c] = true
			mu.Unlock()
			go serve(c)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			select {
			case <-gone:
				return
			default:
			}
			d.s.put("servers/"+id, map[string]any{"service": "stringhub", "address": lis.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": seq})
			select {
			case <-gone:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// deadlyCase: a request that crashes its replicas comes again every few seconds, while all routers are killed
// twice, each time after it has crashed two.
func deadlyCase() {
	s, err := startStore(freeAddr())
	if err != nil {
		fail2("%v", err)
	}
	s.put("op/config", plainConfig(1))
	d := &deadlyService{s: s}
	for _, zone := range []string{"nimman", "suthep", "hangdong", "maerim"} {
		d.begin(zone)
	}
	rs := newRouters(dir, s.addr, 3, 134)
	for _, r := range rs {
		r.start()
		cleanup = append(cleanup, r.kill)
	}
	waitReady(rs)
	time.Sleep(3500 * time.Millisecond)

	// Sound requests of the same route, 33 a second, so that the deadly one is under 3 in 100 of them.
	var sound, soundServed, deadlySent atomic.Int64
	over := make(chan struct{})
	var sounds sync.WaitGroup
	for k := range 10 {
		sounds.Add(1)
		go func() {
			defer sounds.Done()
			c := &consumer{front: rs[k%3].front, key: "k1"}
			defer c.close()
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				case <-time.After(300 * time.Millisecond):
				}
				id := fmt.Sprintf("s%d-%d", k, i)
				res := c.do("GET", fmt.Sprintf("/flag/%s", id), id, nil, 600*time.Millisecond)
				sound.Add(1)
				if res.status == 200 && res.whole && res.body == "result of "+id {
					soundServed.Add(1)
				} else {
					record("consumer: sound request %s by %s got %v", id, rs[k%3].id, res)
				}
			}
		}()
	}
	time.Sleep(4 * time.Second)

	n := 0
	ask := func(at int, wg *sync.WaitGroup) {
		n++
		deadlySent.Add(1)
		id := fmt.Sprintf("d%d", n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &consumer{front: rs[at].front, key: "k1"}
			defer c.close()
			record("consumer: %s by %s got %v", id, rs[at].id, c.do("GET", deadlyPath, id, nil, 600*time.Millisecond))
		}()
	}
	killAll := func() {
		if !trouble {
			time.Sleep(time.Second)
			return
		}
		record("disruption: all three routers are killed at the same moment")
		for _, r := range rs {
			r.signal(syscall.SIGKILL)
		}
		for _, r := range rs {
			r.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, r := range rs {
			r.start()
		}
		waitReady(rs)
		record("the routers are ready again")
	}
	var wg sync.WaitGroup
	for k := range 2 {
		ask(k, &wg)
		wg.Wait()
		time.Sleep(500 * time.Millisecond)
		killAll()
		// The routers are in touch again 3 s after their start, and the replicas are back.
		time.Sleep(4 * time.Second)
	}
	// It comes again, to all machines, as it did before.
	for k := range 6 {
		ask(k%3, &wg)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	close(over)
	sounds.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) < 3 {
		fail2("the request crashed %d replicas only", len(d.crashes))
	}
	third := d.crashes[2]
	late := 0
	for _, one := range d.sends {
		if one.at.After(third.Add(3 * time.Second)) {
			late++
			record("BUDGET: %.2f s after the third crash it reaches %s", one.at.Sub(third).Seconds(), one.replica)
		}
	}
	verdict(late > 3, "the request crashed %d replicas; it reached replicas %d times, %d of them later than 3 s after the third crash; three are borne; %d requests were deadly beside %d sound ones, of which %d were served", len(d.crashes), len(d.sends), late, deadlySent.Load(), sound.Load(), soundServed.Load())
}
