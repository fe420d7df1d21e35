package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It serves the calls that the routers use,
// linearizable and without loss.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	log      []item
	leases   map[uint64]lease
	nextID   uint64
	changed  chan struct{}
	listener net.Listener
}

// item is one key of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease and when it ends.
type lease struct {
	ttl time.Duration
	end time.Time
}

// newStore starts a store at a free loopback port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", ownIP()+":0")
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, leases: map[uint64]lease{}, nextID: 1000, revision: 100, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.rangeKeys)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go s.expire()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key on behalf of the operator or a replica, and returns when it was acknowledged.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.wake()
	return time.Now()
}

// delete removes a key.
func (s *store) delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, has := s.items[key]; has {
		s.revision++
		s.drop(key)
		s.wake()
	}
	return time.Now()
}

// set writes an item at the current revision. The caller holds mu.
func (s *store) set(key string, value []byte, leaseID uint64) {
	one := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, has := s.items[key]; has {
		one.Created = old.Created
	}
	s.items[key] = one
	s.log = append(s.log, one)
}

// drop removes an item at the current revision. The caller holds mu.
func (s *store) drop(key string) {
	delete(s.items, key)
	s.log = append(s.log, item{Key: key, Revision: s.revision, Deleted: true})
}

// wake wakes the waiting watches. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one, has := s.items[r.URL.Query().Get("key")]
	if !has {
		answer(w, http.StatusNotFound, map[string]any{"currentRev": s.revision})
		return
	}
	answer(w, http.StatusOK, one)
}

// pageSize is the number of items of one page.
const pageSize = 500

func (s *store) rangeKeys(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	entries := []item{}
	for _, k := range keys[:min(len(keys), pageSize)] {
		entries = append(entries, s.items[k])
	}
	answer(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": len(keys) > pageSize, "currentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, one := range s.log {
			if one.Revision > after && strings.HasPrefix(one.Key, q.Get("pathPrefix")) {
				events = append(events, one)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []struct {
			Key      string
			Revision uint64
		} `json:"expectedRev"`
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	data, _ := io.ReadAll(r.Body)
	if json.Unmarshal(data, &body) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range body.ExpectedRev {
		if s.items[one.Key].Revision != one.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{s.items[one.Key]}})
			return
		}
	}
	for _, one := range body.Puts {
		if strings.HasPrefix(one.Key, "op/") || strings.HasPrefix(one.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
		if _, has := s.leases[one.Lease]; one.Lease != 0 && !has {
			answer(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, one := range body.Puts {
		s.set(one.Key, one.Value, one.Lease)
	}
	for _, key := range body.Remove {
		if _, has := s.items[key]; has {
			s.drop(key)
		}
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.nextID] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": body.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	one, has := s.leases[id]
	if !has {
		answer(w, http.StatusNotFound, nil)
		return
	}
	one.end = time.Now().Add(one.ttl)
	s.leases[id] = one
	answer(w, http.StatusOK, map[string]any{"ttlMs": one.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for k, one := range s.items {
		if one.Lease == id {
			s.revision++
			s.drop(k)
		}
	}
	s.wake()
}

// expire ends the leases whose time is over.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, one := range s.leases {
			if time.Now().After(one.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}
