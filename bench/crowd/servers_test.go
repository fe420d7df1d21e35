package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"goldcrestport/standin/backend"
)

// endless is what a server in trouble sends: the start, then the piece again and again, a pause after each.
type endless struct {
	path, start, piece string
	pause              time.Duration
}

// answerHead is the head of an answer with the request's id, without its last empty line.
const answerHead = "HTTP/1.1 200 OK\r\nAttempt-Id: %[1]s\r\nReplica-Stamp: i-2.%[1]s\r\n"

// endlessKinds are by name.
func endlessKinds() map[string]endless {
	kib := strings.Repeat("x", 1<<10)
	return map[string]endless{
		"a body without a length":   {"/pledges/", answerHead + "\r\n", kib, 0},
		"a body of a huge length":   {"/pledges/", answerHead + "Content-Length: 99999999999\r\n\r\n", kib, 0},
		"a body just short of held": {"/pledges/", answerHead + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 65000), "", time.Second},
		"one event":                 {"/stories/", answerHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\ndata: ", kib, 20 * time.Millisecond},
		"a head":                    {"/pledges/", answerHead + "X-A: " + strings.Repeat("x", 30<<10), "x", time.Second},
		"lines of a head":           {"/pledges/", answerHead + strings.Repeat("X-Abc: "+strings.Repeat("x", 100)+"\r\n", 240), "x", time.Second},
		"interim answers":           {"/pledges/", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </"+strings.Repeat("x", 200)+">\r\n\r\n", 60), "", time.Second},
	}
}

// startEndless enters a server in place of the usual one that sends without end to requests of the crowd, and answers
// all others.
func (w *world) startEndless(kind endless) {
	lis := listen(w.C)
	w.Cleanup(func() { _ = lis.Close() })
	go func() {
		for conn, err := lis.Accept(); err == nil; conn, err = lis.Accept() {
			go kind.serve(conn)
		}
	}()
	w.store.Remove(backend.Key("i-1"))
	e := backend.Entry{Service: service, Address: lis.Addr().String(), Zone: "hall-1", Version: "v1", Slots: 2 * crowdSize, State: backend.Ready, Born: time.Now().UnixMilli()}
	w.store.Put(backend.Key("i-2"), e.Bytes())
}

// serve answers the requests of one connection.
func (e endless) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Attempt-Id")
		if !strings.HasSuffix(req.URL.Path, "endless") {
			_, _ = fmt.Fprintf(conn, answerHead+"Content-Length: 2\r\n\r\nok", id)
			continue
		}
		e.send(conn, id)
		return
	}
}

// send sends the start and then pieces until the connection ends.
func (e endless) send(conn net.Conn, id string) {
	text := e.start
	if strings.Contains(text, "%") {
		text = fmt.Sprintf(text, id)
	}
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		text = e.piece
		time.Sleep(e.pause)
	}
}

// askers is the number of callers who ask for what the server sends without end: nearly all that the router takes.
const askers = maxConnections - 10

// askEndless connects callers who ask for what the server sends without end, and read nothing. It returns what closes
// their connections.
func (w *world) askEndless(path string) (leave func()) {
	var all []net.Conn
	for n := range askers {
		conn, err := dial(manyAddresses(n), w.router.Addr)
		if err != nil {
			continue
		}
		all = append(all, conn)
		head := strings.Replace(w.head(), "/pledges/x", path+"endless", 1)
		_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
	}
	return func() {
		for _, conn := range all {
			_ = conn.Close()
		}
	}
}

// Guards against servers that send without end to many callers at once: what is held of each answer is bounded, and
// the sum of all was not.
func TestServersThatSendWithoutEndToManyCallers(t *testing.T) {
	for name, kind := range endlessKinds() {
		t.Run(name, func(t *testing.T) {
			w := start(t)
			w.configureStreams()
			w.startEndless(kind)
			w.mustServe("127.0.8.1")
			w.mustHold(func() {
				leave := w.askEndless(kind.path)
				time.Sleep(3 * time.Second)
				leave()
				w.mustServe("127.0.8.2")
			})
		})
	}
}
