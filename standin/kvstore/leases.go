package kvstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"goldcrestport/standin/internal/reply"
)

// lease keeps its keys in the store for as long as it is renewed.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// renewed returns the lease with its expiry extended from now.
func (l lease) renewed() lease { return lease{l.ttl, time.Now().Add(l.ttl)} }

// expire removes expired leases and their keys. The caller must hold mu.
func (s *Server) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.dropLease(id)
		}
	}
}

func (s *Server) dropLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.write(nil, keys)
	}
}

func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMs <= 0 {
		reply.Error(w, http.StatusBadRequest, "ttlMs")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl: time.Duration(body.TTLMs) * time.Millisecond}.renewed()
	reply.JSON(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttlMs": body.TTLMs})
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(id uint64) { s.leases[id] = s.leases[id].renewed() })
}

func (s *Server) endLease(w http.ResponseWriter, r *http.Request) { s.withLease(w, r, s.dropLease) }

func (s *Server) withLease(w http.ResponseWriter, r *http.Request, action func(uint64)) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.leases[id]; err != nil || !known {
		reply.Error(w, http.StatusNotFound, "no such lease")
		return
	}
	action(id)
	reply.JSON(w, http.StatusOK, map[string]int64{"ttlMs": 1000})
}
