package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["versions"] = versionsCase
	cases["forgotten"] = forgottenCase
}

// heartbeat is that of the settings, at which replicas write their entries.
const heartbeat = 1200 * time.Millisecond

// streamReplica is a replica that writes streams. It can start again under its id and address as another
// software version.
type streamReplica struct {
	id, zone, addr string
	pause          time.Duration
	events         int

	mu      sync.Mutex
	version string
	born    int64
	lis     net.Listener
	conns   map[net.Conn]bool
	seq     int
	began   map[string]int
}

func newStreamReplica(id, zone, version string, pause time.Duration, events int) *streamReplica {
	r := &streamReplica{id: id, zone: zone, addr: freeAddr(), pause: pause, events: events, version: version, began: map[string]int{}}
	r.start()
	return r
}

// start begins a life of the replica at its address.
func (r *streamReplica) start() {
	lis, err := net.Listen("tcp", r.addr)
	if err != nil {
		fail2("replica %s: %v", r.id, err)
	}
	r.mu.Lock()
	r.lis, r.conns, r.born = lis, map[net.Conn]bool{}, time.Now().UnixMilli()
	version, conns := r.version, r.conns
	r.mu.Unlock()
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			conns[c] = true
			r.mu.Unlock()
			go r.serve(c, version)
		}
	}()
}

// stop ends the replica's process, with all its channels.
func (r *streamReplica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.lis.Close()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// comeBack starts the replica's process again, of the version.
func (r *streamReplica) comeBack(version string) {
	r.mu.Lock()
	r.version = version
	r.mu.Unlock()
	r.start()
	record("replica %s: started again under its id and address, as %s", r.id, version)
}

// register writes the replica's entry, as its heartbeat does.
func (r *streamReplica) register(s *store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	s.put("servers/"+r.id, map[string]any{"service": "glossa-pool", "address": r.addr, "zone": r.zone, "version": r.version, "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": r.seq, "born": r.born})
}

func (r *streamReplica) serve(c net.Conn, version string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Attempt-Id")
		if req.Header.Get("Expect-Replica") != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		record("replica %s (%s): runs %s from event %d", r.id, version, id, from+1)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: %s.%s\r\nReplica-Load: 1,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, version)
		for n := from + 1; n <= r.events; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s wrote event %d\n\n", n, version, n)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(r.pause)
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// streamTry is one attempt of a consumer at a stream.
type streamTry struct {
	status   int
	versions map[string]int
	last     int
	whole    bool
	err      string
}

// try sends one attempt; last and resumes are empty for a new stream. It ends with the answer, its break or
// the time limit.
func try(front, id, last, resumes string, limit time.Duration, seen *sync.Map) (t streamTry) {
	t.versions = map[string]int{}
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		t.err = err.Error()
		return t
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	// The prompt has no part that other requests share; a stream that is taken up again has its own.
	part := fmt.Sprintf("%x", id)
	if resumes != "" {
		part = fmt.Sprintf("%x", resumes)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST /scene/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nCredential: k1\r\nDeadline-Ms: %d\r\nModel: m\r\nToken-Count: 300,400\r\nPrompt-Prefix: %s:300\r\nContent-Length: 2\r\n", id, limit.Milliseconds(), part)
	if last != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", last, resumes)
	}
	b.WriteString("\r\n{}")
	if _, err := io.WriteString(c, b.String()); err != nil {
		t.err = err.Error()
		return t
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.err = err.Error()
		return t
	}
	t.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	number := 0
	for lines.Scan() {
		line := lines.Text()
		if rest, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(rest)
		}
		if rest, ok := strings.CutPrefix(line, "data: "); ok && t.status == 200 {
			version, _, _ := strings.Cut(rest, " ")
			t.versions[version]++
			t.last = number
			if seen != nil {
				seen.Store(id, number)
			}
		}
	}
	if err := lines.Err(); err != nil {
		t.err = err.Error()
	} else if resp.StatusCode == 200 {
		t.whole = true
	}
	return t
}

func streamConfig() map[string]any {
	return map[string]any{"version": 1,
		"routes":   []any{map[string]any{"name": "scenepass", "host": "a.example", "pathPrefix": "/scene/", "routeKind": "streaming", "timeoutMs": 15000, "sloMs": 800, "itlTargetMs": 500, "priority": 1, "service": "glossa-pool", "maxAttempts": 2, "public": false, "resumable": true, "sticky": true}},
		"services": []any{map[string]any{"name": "glossa-pool", "healthPath": "/healthz", "maxConns": 370, "engine": map[string]any{"slots": 64, "kvCapacity": 476311, "stride": 5}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 250000},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{"k1"}, "priority": 1}}}
}

// versionsCase: a replica that no router has a channel to crashes and comes back under its id as another
// version; before it has written its entry again, another replica crashes, and the routers go on with its
// streams.
func versionsCase() {
	s, err := startStore(freeAddr())
	if err != nil {
		fail2("%v", err)
	}
	s.put("op/config", streamConfig())
	zones := []string{"nimman", "nimman", "suthep", "hangdong", "maerim"}
	var all []*streamReplica
	silent := map[*streamReplica]*atomic.Bool{}
	for i, zone := range zones {
		r := newStreamReplica(fmt.Sprintf("i-%d", i+1), zone, "v1", 100*time.Millisecond, 100)
		all = append(all, r)
		silent[r] = &atomic.Bool{}
	}
	idle, broken := all[0], all[1]
	// beats writes the entry at once and with each heartbeat.
	beats := func(r *streamReplica) {
		r.register(s)
		go func() {
			for {
				time.Sleep(heartbeat)
				if !silent[r].Load() {
					r.register(s)
				}
			}
		}()
	}
	for _, r := range all[1:] {
		beats(r)
	}
	rs := newRouters(dir, s.addr, 3, 134)
	for _, r := range rs {
		r.start()
		cleanup = append(cleanup, r.kill)
	}
	waitReady(rs)
	time.Sleep(2 * time.Second)

	const streams = 75
	var seen sync.Map
	got := make([]streamTry, streams)
	var wg sync.WaitGroup
	for k := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got[k] = try(rs[k%3].front, fmt.Sprintf("first-%d", k), "", "", 15*time.Second, &seen)
			record("consumer: first-%d by %s got %d, events by version %v, up to event %d, whole=%v %s", k, rs[k%3].id, got[k].status, got[k].versions, got[k].last, got[k].whole, got[k].err)
		}()
		time.Sleep(13 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	record("planned work: replica i-1 of v1 is added")
	beats(idle)
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		// crash ends the replica for a second; it comes back as v2 and writes its entry with its first heartbeat.
		crash := func(r *streamReplica) {
			record("disruption: replica %s crashes", r.id)
			silent[r].Store(true)
			r.stop()
			time.Sleep(time.Second)
			r.comeBack("v2")
			go func() {
				time.Sleep(heartbeat)
				r.register(s)
				silent[r].Store(false)
				record("replica %s: its entry says v2", r.id)
			}()
		}
		crash(idle)
		time.Sleep(300 * time.Millisecond)
		crash(broken)
	}
	wg.Wait()
	joined, whole := 0, 0
	for k, one := range got {
		if one.whole {
			whole++
		}
		if len(one.versions) > 1 {
			joined++
			record("ORDER: the answer of first-%d holds events of two versions: %v", k, one.versions)
		}
	}
	verdict(joined > 2, "of %d streams %d were whole, and %d hold events of two software versions in one answer", streams, whole, joined)
}

// forgottenCase: all routers are killed and started again, then a release begins, then consumers take up
// their streams.
func forgottenCase() {
	s, err := startStore(freeAddr())
	if err != nil {
		fail2("%v", err)
	}
	s.put("op/config", streamConfig())
	zones := []string{"nimman", "suthep", "hangdong", "maerim"}
	add := func(id, zone, version string) {
		r := newStreamReplica(id, zone, version, 150*time.Millisecond, 90)
		r.register(s)
		go func() {
			for {
				time.Sleep(1200 * time.Millisecond)
				r.register(s)
			}
		}()
	}
	for i, zone := range zones {
		add(fmt.Sprintf("i-%d", i+1), zone, "v1")
	}
	rs := newRouters(dir, s.addr, 3, 134)
	for _, r := range rs {
		r.start()
		cleanup = append(cleanup, r.kill)
	}
	waitReady(rs)
	time.Sleep(2 * time.Second)

	const streams = 24
	begin := time.Now()
	var seen sync.Map
	var wg sync.WaitGroup
	for k := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := try(rs[k%3].front, fmt.Sprintf("first-%d", k), "", "", 15*time.Second, &seen)
			record("consumer: first-%d by %s got %d, %d events, whole=%v %s", k, rs[k%3].id, t.status, t.last, t.whole, t.err)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
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
	time.Sleep(500 * time.Millisecond)
	record("planned work: a release begins: replica i-9 of v2 starts beside the four of v1")
	add("i-9", zones[0], "v2")
	// The routers are in touch 3 s after their start.
	time.Sleep(3500 * time.Millisecond)
	left := 15*time.Second - time.Since(begin)
	var mu sync.Mutex
	wentOn, newBegan, statuses := 0, 0, map[int]int{}
	if !trouble {
		// The same, for streams whose consumers have lost their channels.
		record("no disruption: the routers are still those that began the streams")
	}
	for k := range streams {
		wg.Add(2)
		go func() {
			defer wg.Done()
			first := fmt.Sprintf("first-%d", k)
			last := 0
			if v, ok := seen.Load(first); ok {
				last = v.(int)
			}
			id := "again-" + strconv.Itoa(k)
			var t streamTry
			// Up to three tries, as the answers allow.
			for n := range 3 {
				t = try(rs[(k+1+n)%3].front, fmt.Sprintf("%s-%d", id, n), strconv.Itoa(last), first, left-time.Duration(n)*time.Second, nil)
				record("consumer: %s-%d after event %d got %d, versions %v, up to event %d, whole=%v %s", id, n, last, t.status, t.versions, t.last, t.whole, t.err)
				if t.status != 421 && t.status != 503 {
					break
				}
				time.Sleep(500 * time.Millisecond)
			}
			mu.Lock()
			statuses[t.status]++
			if t.status == 200 && t.last > last {
				wentOn++
			}
			mu.Unlock()
		}()
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("new-%d", k)
			t := try(rs[(k+1)%3].front, id, "", "", 15*time.Second, nil)
			record("consumer: %s got %d, versions %v, up to event %d, whole=%v %s", id, t.status, t.versions, t.last, t.whole, t.err)
			mu.Lock()
			if t.status == 200 && t.last > 0 {
				newBegan++
			}
			mu.Unlock()
		}()
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	shareOn, shareNew := float64(wentOn)/streams, float64(newBegan)/streams
	verdict(shareOn < shareNew/2, "of %d streams that were taken up again %d went on (statuses %v), of %d new ones %d began; four replicas of the streams' version served throughout", streams, wentOn, statuses, streams, newBegan)
}
