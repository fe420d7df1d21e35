// Package kvstore is a stand-in for the users' platform's key-value store,
// written from the users' pages: items with a store-wide revision, ranges in
// pages, watches, conditional writes and leases, with the faults that the
// pages name.
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

// Item is one key as readers see it.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Faults are what goes wrong at the store. The zero value is a sound store.
type Faults struct {
	// Status answers every call with it and does nothing, such as 503 or 429.
	Status int
	// Silent takes calls and never answers.
	Silent bool
	// LoseAnswers does what a call says and closes the connection.
	LoseAnswers bool
	// Late does a write only after this time, without an answer.
	Late time.Duration
	// DeafWatches tell no changes until their time is over.
	DeafWatches bool
}

// pageItems is the number of items in a page of a range.
const pageItems = 3

// maxWait bounds a watch.
const maxWait = 30 * time.Second

// Server is the stand-in.
type Server struct {
	mux *http.ServeMux

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// compacted is the revision up to which the history is gone.
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
	s.mux.HandleFunc("GET /api/kv-key", s.key)
	s.mux.HandleFunc("GET /api/kv-range", s.list)
	s.mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.mux.HandleFunc("POST /api/kv-txn", s.txn)
	s.mux.HandleFunc("POST /api/kv-lease", s.grant)
	s.mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	s.mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	s.mux.HandleFunc("PUT /admin/items/{key...}", s.adminPut)
	s.mux.HandleFunc("DELETE /admin/items/{key...}", s.adminRemove)
	return s
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how often the path was called.
func (s *Server) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes as the operators and backend servers do.
func (s *Server) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write([]Item{{Key: key, Value: value}}, nil)
}

// Remove deletes as the store does when a lease ends.
func (s *Server) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []string{key})
}

// adminPut writes a key as the operators and backend servers do.
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

// Compact drops the history.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Items returns the items below the prefix by their keys.
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

// ServeHTTP answers one call.
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
		time.AfterFunc(f.Late, func() { s.replay(body, data) })
		reply.Abort(w)
	case f.LoseAnswers:
		s.mux.ServeHTTP(&discard{header: http.Header{}}, r)
		reply.Abort(w)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

func (s *Server) key(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
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
	more := len(page) > pageItems
	reply.JSON(w, http.StatusOK, map[string]any{"entries": page[:min(len(page), pageItems)], "hasMore": more, "currentRev": s.revision})
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

// since returns the changes below the prefix. The caller holds mu.
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
