package direct

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// fate is what becomes of a request whose server sends without end.
type fate int

const (
	// getsLost: the caller gets 502 soon.
	getsLost fate = iota
	// isCut: the caller gets the begin of an answer, which is cut off soon.
	isCut
	// isCutOnceRead: the same, if the caller reads at once; else runsOut, as only the deadline ends what is
	// relayed to a caller that does not read.
	isCutOnceRead
	// runsOut: the bytes may be an answer, which is cut off at the deadline, or 504 if none were relayed.
	runsOut
	// isWhole: the answer is whole, and what follows it is dropped.
	isWhole
)

// endlessKind is something that a server sends without end: the start, then the piece again and again.
type endlessKind struct {
	route        string
	start, piece string
	// full is the fate at full speed, and slow that at one piece each 10 ms.
	full, slow fate
}

// headOf returns the head of a success with the fields.
func headOf(fields ...string) string {
	return "HTTP/1.1 200 OK\r\n" + testMark + ": m\r\n" + strings.Join(append(fields, "\r\n"), "\r\n")
}

// endlessKinds are by name; a name is a part of the request's path.
func endlessKinds() map[string]endlessKind {
	chunked := headOf("Transfer-Encoding: chunked")
	whole := headOf("Content-Length: 5") + "hello"
	stray := "HTTP/1.1 200 OK\r\n" + testID + ": other\r\nContent-Length: 1\r\n\r\nx"
	events := headOf("Content-Type: text/event-stream")
	firstEvent := events + "id: 1\ndata: e1\n\n"
	return map[string]endlessKind{
		"garbage":          {"once", "", "\x00\xfe", getsLost, getsLost},
		"status-line":      {"once", "HTTP/1.1 200 ", "O", getsLost, getsLost},
		"version":          {"once", "HTTP/", "1", getsLost, getsLost},
		"header-line":      {"once", "HTTP/1.1 200 OK\r\nX-A: ", "a", getsLost, getsLost},
		"header-name":      {"once", "HTTP/1.1 200 OK\r\n", "a", getsLost, getsLost},
		"header-lines":     {"once", "HTTP/1.1 200 OK\r\n", "x: y\r\n", getsLost, getsLost},
		"interim":          {"once", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n", getsLost, getsLost},
		"interim-lines":    {"once", "HTTP/1.1 103 Early Hints\r\n", "x: y\r\n", getsLost, getsLost},
		"stray-answers":    {"once", "", stray, getsLost, getsLost},
		"stray-body":       {"once", strings.Replace(stray, "Length: 1", "Length: 999999999", 1), "x", getsLost, runsOut},
		"length-beyond":    {"once", headOf("Content-Length: 1000000000000000000"), "a", getsLost, getsLost},
		"chunk-size":       {"once", chunked, "0", getsLost, getsLost},
		"chunk-extension":  {"once", chunked + "5;x=", "a", getsLost, getsLost},
		"trailer-line":     {"once", chunked + "5\r\nhello\r\n0\r\nX: ", "a", getsLost, getsLost},
		"trailer-lines":    {"once", chunked + "5\r\nhello\r\n0\r\n", "x: y\r\n", getsLost, getsLost},
		"chunks":           {"once", chunked, "5\r\nhello\r\n", runsOut, runsOut},
		"unframed":         {"once", headOf(), "a", runsOut, runsOut},
		"long":             {"once", headOf("Content-Length: 1000000000000"), "a", runsOut, runsOut},
		"after-the-answer": {"once", whole, "a", isWhole, isWhole},
		"more-answers":     {"once", whole, whole, isWhole, isWhole},
		"event-data":       {"stream", events + "data: ", "a", isCutOnceRead, runsOut},
		"event-id":         {"stream", events + "id: ", "7", isCutOnceRead, runsOut},
		"event-fields":     {"stream", events, "data: a\n", isCutOnceRead, runsOut},
		"comments":         {"stream", events, ": c\n", isCutOnceRead, runsOut},
		"empty-lines":      {"stream", events, "\n", isCutOnceRead, runsOut},
		"second-event":     {"stream", firstEvent + "data: ", "a", isCutOnceRead, runsOut},
		"stream-chunk":     {"stream", headOf("Transfer-Encoding: chunked") + "10\r\nid: 1\ndata: e1\n\n\r\n5;x=", "a", isCut, isCut},
	}
}

// Parts of the paths of requests: how fast the server sends, and how the caller reads.
const (
	atFullSpeed = "full"
	slowly      = "slow"
	readsSlowly = "late"
	readsAtOnce = "now"
)

// fateOf returns the fate of a request at the pace, whose caller reads slowly or not.
func (k endlessKind) fateOf(pace, reads string) fate {
	want := k.slow
	if pace == atFullSpeed {
		want = k.full
	}
	switch {
	case want != isCutOnceRead:
		return want
	case reads == readsSlowly:
		return runsOut
	default:
		return isCut
	}
}

// endlessServer sends what the path of a request names, until its connection ends or stop is set.
func endlessServer(stop *atomic.Bool) func(io.Writer, *http.Request) bool {
	kinds := endlessKinds()
	return func(w io.Writer, req *http.Request) bool {
		parts := strings.Split(req.URL.Path, "/")
		kind, known := kinds[parts[2]]
		if !known {
			return ok(w, req)
		}
		_, err := io.WriteString(w, kind.start)
		block, pause := kind.piece, 10*time.Millisecond
		if parts[3] == atFullSpeed {
			block, pause = strings.Repeat(kind.piece, 32<<10/len(kind.piece)), time.Millisecond
		}
		for err == nil && !stop.Load() {
			_, err = io.WriteString(w, block)
			time.Sleep(pause)
		}
		return false
	}
}

// endlessView is what a caller got of an endless answer.
type endlessView struct {
	callerView
	bytes int
	took  time.Duration
}

// connectTries is how often a caller connects: a busy router closes new connections before it reads them.
const connectTries = 20

// askEndless sends a request that waits for the given time, and reads its answer to the end.
func (f *fixture) askEndless(path, id string, left time.Duration, readsSlowly bool) endlessView {
	var view endlessView
	for range connectTries {
		if view = f.askOnce(path, id, left, readsSlowly); view.status != 0 || !errors.Is(view.broken, syscall.ECONNRESET) {
			return view
		}
		time.Sleep(50 * time.Millisecond)
	}
	return view
}

func (f *fixture) askOnce(path, id string, left time.Duration, readsSlowly bool) (view endlessView) {
	from := time.Now()
	defer func() { view.took = time.Since(from) }()
	conn, err := net.Dial("tcp", f.set.Listen.Callers)
	if err != nil {
		view.broken = err
		return view
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\nContent-Length: 4\r\n\r\nbody", path, testID, id, testLeft, left.Milliseconds())
	if err != nil {
		view.broken = err
		return view
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		view.broken = err
		return view
	}
	view.status = resp.StatusCode
	buf := make([]byte, 4<<10)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buf)
		view.bytes += n
		if len(view.body) < 64 {
			view.body += string(buf[:n])
		}
		if readsSlowly && err == nil && time.Since(from) < left {
			time.Sleep(50 * time.Millisecond)
		}
	}
	if err != io.EOF {
		view.broken = err
	}
	return view
}

// watchHeap samples the heap until the function that it returns is called, which returns its greatest growth
// in bytes. It sets over once that exceeds most.
func watchHeap(most uint64, over *atomic.Bool) func() uint64 {
	// Garbage is no memory that is kept.
	percent := debug.SetGCPercent(20)
	runtime.GC()
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	base, peak := now.HeapAlloc, uint64(0)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapAlloc-min(base, now.HeapAlloc))
			if peak > most {
				over.Store(true)
			}
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
		}
	}()
	return func() uint64 {
		close(stop)
		<-ended
		debug.SetGCPercent(percent)
		return peak
	}
}
