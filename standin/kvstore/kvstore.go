// Package kvstore is a stand-in for the key-value store of the users' platform,
// written from the users' documentation: items with a store-wide revision,
// paginated ranges, watches, conditional writes and leases, and the faults that
// the documentation describes.
package kvstore

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcrestport/standin/internal/reply"
)

// Item is one key and its value as returned to clients.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Faults selects the faults that the store injects. The zero value injects none.
type Faults struct {
	// Status, such as 503 or 429, is returned for every call, which then has no effect.
	Status int
	// Silent accepts calls and never responds.
	Silent bool
	// LoseAnswers applies each call, then closes the connection without a response.
	LoseAnswers bool
	// Late delays each write by this time and sends no response to it.
	Late time.Duration
	// DeafWatches makes watches report no changes until they time out.
	DeafWatches bool
}

// pageSize is the maximum number of items in one page of a range.
const pageSize = 3

// maxWait is the maximum duration of a watch.
const maxWait = 30 * time.Second

// Server is an in-memory key-value store served over HTTP.
type Server struct {
	mux *http.ServeMux

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// compacted is the revision up to which the history has been discarded.
	compacted uint64
	leases    map[uint64]lease
	nextLease uint64
	changed   chan struct{}
	faults    Faults
	calls     map[string]int
}

// New returns an empty store.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), items: map[string]Item{}, leases: map[uint64]lease{}, changed: make(chan struct{}), calls: map[string]int{}}
	s.mux.HandleFunc("GET /api/kv-key", s.getKey)
	s.mux.HandleFunc("GET /api/kv-range", s.listRange)
	s.mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.mux.HandleFunc("POST /api/kv-txn", s.transact)
	s.mux.HandleFunc("POST /api/kv-lease", s.grantLease)
	s.mux.HandleFunc("POST /api/kv-keep/{id}", s.renewLease)
	s.mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	s.mux.HandleFunc("PUT /admin/items/{key...}", s.adminPut)
	s.mux.HandleFunc("DELETE /admin/items/{key...}", s.adminRemove)
	return s
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls to the path.
func (s *Server) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a key on behalf of an operator or a backend server.
func (s *Server) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write([]Item{{Key: key, Value: value}}, nil)
}

// Remove deletes a key, as the store does when a lease expires.
func (s *Server) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []string{key})
}

// adminPut writes a key on behalf of an operator or a backend server.
func (s *Server) adminPut(w http.ResponseWriter, r *http.Request) {
	value, status := reply.Body(w, r, 1<<20)
	if status != 0 {
		reply.Error(w, status, "body")
		return
	}
	reply.JSON(w, http.StatusOK, map[string]uint64{"revision": s.Put(r.PathValue("key"), value)})
}

// adminRemove deletes a key.
func (s *Server) adminRemove(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.PathValue("key"))
	reply.JSON(w, http.StatusOK, struct{}{})
}

// Compact discards the history, so that watches from older revisions fail with 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Items returns the items whose keys have the prefix, indexed by key.
func (s *Server) Items(prefix string) map[string]Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	out := map[string]Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			out[key] = item
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.faults
	s.expire()
	s.mu.Unlock()
	switch {
	case f.Silent:
		<-r.Context().Done()
	case f.Status != 0:
		reply.Error(w, f.Status, "fault")
	case f.Late > 0 && r.Method != http.MethodGet:
		body := r.Clone(r.Context())
		data, _ := reply.Body(w, r, 1<<20)
		time.AfterFunc(f.Late, func() { s.applyLate(body, data) })
		reply.Abort(w)
	case f.LoseAnswers:
		s.mux.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		reply.Abort(w)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, known := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !known {
		reply.Error(w, http.StatusNotFound, "no such key")
		return
	}
	reply.JSON(w, http.StatusOK, struct {
		Item
		CurrentRev uint64 `json:"currentRev"`
	}{item, revision})
}

func (s *Server) listRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	page := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, item)
		}
	}
	slices.SortFunc(page, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > pageSize
	reply.JSON(w, http.StatusOK, map[string]any{"entries": page[:min(len(page), pageSize)], "hasMore": more, "currentRev": s.revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		reply.Error(w, http.StatusBadRequest, "after and waitMs are whole numbers")
		return
	}
	end := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			reply.Error(w, http.StatusGone, "history is gone")
			return
		}
		events, revision, changed := s.since(q.Get("pathPrefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply.JSON(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply.JSON(w, http.StatusOK, map[string]any{"events": []Item{}, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes to keys with the prefix after a revision. The caller must hold mu.
func (s *Server) since(prefix string, after uint64) []Item {
	var events []Item
	if s.faults.DeafWatches {
		return nil
	}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}
