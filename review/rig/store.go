package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, in the form of the platform's pages.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store: linearizable, with one revision for each
// change, watches, conditional writes and leases.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]lease
	next    uint64
	changed chan struct{}
	srv     *http.Server
	addr    string
	// holdWrites is the time by which writes are applied late and not answered; 0 for none.
	holdWrites time.Duration
}

func startStore(addr string) (*store, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{}), rev: 1, addr: lis.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	s.srv = &http.Server{Handler: mux}
	go func() { _ = s.srv.Serve(lis) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// change applies one change to one key. The caller holds mu.
func (s *store) change(it item, remove bool) {
	old, known := s.items[it.Key]
	if remove && !known {
		return
	}
	s.rev++
	it.Revision, it.Created = s.rev, s.rev
	if known {
		it.Created = old.Created
	}
	if remove {
		delete(s.items, it.Key)
		it.Value, it.Deleted = nil, true
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a replica, and returns when it was accepted.
func (s *store) put(key string, v any) time.Time {
	data, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: data}, false)
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key}, true)
	return time.Now()
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.drop(id)
		}
	}
}

func (s *store) drop(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.change(item{Key: key}, true)
		}
	}
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		answer(w, 404, map[string]any{"currentRev": rev})
		return
	}
	answer(w, 200, struct {
		item
		CurrentRev uint64 `json:"currentRev"`
	}{it, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	out := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	if more {
		out = out[:500]
	}
	answer(w, 200, map[string]any{"entries": out, "hasMore": more, "currentRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, 200, map[string]any{"events": events, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []item   `json:"expectedRev"`
		Puts        []item   `json:"puts"`
		Remove      []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, 400, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range t.ExpectedRev {
		if s.items[want.Key].Revision != want.Revision {
			answer(w, 412, map[string]any{"entries": []item{s.items[want.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, 403, map[string]string{"error": "key"})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, 404, map[string]string{"error": "lease"})
			return
		}
	}
	for _, p := range t.Puts {
		s.change(p, false)
	}
	for _, key := range t.Remove {
		s.change(item{Key: key}, true)
	}
	answer(w, 200, map[string]uint64{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	s.mu.Lock()
	s.next++
	id := s.next
	ttl := time.Duration(b.TTLMs) * time.Millisecond
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, 200, map[string]any{"lease": id, "ttlMs": b.TTLMs})
}

func (s *store) withLease(w http.ResponseWriter, r *http.Request, do func(id uint64)) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, 404, map[string]string{"error": "lease"})
		return
	}
	do(id)
	answer(w, 200, map[string]any{"lease": id})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(id uint64) {
		l := s.leases[id]
		s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) { s.withLease(w, r, s.drop) }
