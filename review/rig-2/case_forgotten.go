package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["forgotten"] = forgottenStreams }

// streamTry is what a consumer saw of one attempt at a stream.
type streamTry struct {
	id      string
	status  int
	events  int
	last    int
	isWhole bool
}

// follow sends one attempt at a stream and reads events until the answer ends, breaks off, or the attempt has brought the
// most that is asked for.
func (w *world) follow(front, lastEvent, resumes string, limit time.Duration, most int) streamTry {
	t := streamTry{id: newRequestID()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+front+"/pufi791/2f?events=200&gap=100", nil)
	if err != nil {
		return t
	}
	req.Host = host
	req.Header.Set("Attempt-Id", t.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if lastEvent != "" {
		req.Header.Set("Last-Event-Id", lastEvent)
		req.Header.Set("Resumes", resumes)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err != nil {
		w.note("client: %s (resumes %q after %q): %v", t.id, resumes, lastEvent, err)
		return t
	}
	defer resp.Body.Close()
	t.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for t.events < most && lines.Scan() {
		if id, is := strings.CutPrefix(lines.Text(), "id: "); is && t.status == http.StatusOK {
			t.last, _ = strconv.Atoi(id)
			t.events++
		}
	}
	t.isWhole = t.events < most && lines.Err() == nil
	w.note("client: %s (resumes %q after %q): %d, %d events, last %d", t.id, resumes, lastEvent, t.status, t.events, t.last)
	return t
}

// forgottenStreams kills all routers, lets a release begin, and stops and starts one router in turn. Then the consumers
// take up the streams that the kill has cut, at the two other routers.
func forgottenStreams(w *world) (int, error) {
	const streams, tries = 24, 3
	routes := []any{route("r-s", "/pufi791/", "streaming", "counsel", 30*time.Second, "resumable", true, "itlTargetMs", 500)}
	w.store.put("op/config", config(7, []string{"counsel"}, routes, nil))
	for range 4 {
		if _, err := w.startReplica("counsel", "v1"); err != nil {
			return cannot, err
		}
	}
	all, err := w.startRouters(3)
	if err != nil {
		return cannot, err
	}
	if err := w.awaitReady(all, 10*time.Second); err != nil {
		return cannot, err
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	cut := make(chan streamTry, streams)
	for i := range streams {
		// Without the disruption the consumers' channels break after the same time.
		most := 200
		if !w.trouble {
			most = 14
		}
		go func() { cut <- w.follow(all[i%len(all)].front, "", "", 15*time.Second, most) }()
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.note("all routers are killed")
		for _, r := range all {
			r.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, r := range all {
			if err := r.launch(); err != nil {
				return cannot, err
			}
		}
		if err := w.awaitReady(all, 5*time.Second); err != nil {
			return cannot, err
		}
		w.note("all routers are ready again")
	}
	var former []streamTry
	for range streams {
		former = append(former, <-cut)
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := w.startReplica("counsel", "v2"); err != nil {
		return cannot, err
	}
	time.Sleep(500 * time.Millisecond)
	w.note("SIGTERM to %s", all[0].name)
	all[0].signal(syscall.SIGTERM)
	<-all[0].done
	time.Sleep(200 * time.Millisecond)
	if err := all[0].launch(); err != nil {
		return cannot, err
	}
	w.note("%s starts again; the others run and the store answers", all[0].name)
	// The two others have run for longer than contactMs by now.
	time.Sleep(time.Second)
	resumed, fresh := make(chan bool, streams), make(chan bool, streams)
	for i, one := range former {
		go func() {
			ok := false
			for n := 0; n < tries && !ok && time.Since(began) < 14*time.Second; n++ {
				left := 15*time.Second - time.Since(began)
				ok = w.follow(all[1+(i+n)%2].front, fmt.Sprint(one.last), one.id, left, 3).events > 0
				if !ok {
					time.Sleep(300 * time.Millisecond)
				}
			}
			resumed <- ok
		}()
		go func() { fresh <- w.follow(all[1+i%2].front, "", "", 10*time.Second, 3).events > 0 }()
	}
	wentOn, begun := 0, 0
	for range streams {
		if <-resumed {
			wentOn++
		}
		if <-fresh {
			begun++
		}
	}
	w.note("%d of %d streams that were taken up went on, %d of %d new ones began; four replicas of v1 serve", wentOn, streams, begun, streams)
	if 2*wentOn < begun {
		w.note("BROKEN: LOST: the share that goes on is under half of the share of new streams that begin")
		return broken, nil
	}
	return held, nil
}
