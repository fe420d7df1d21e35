package kvstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"goldcrestport/standin/internal/reply"
)

// lease keeps keys while it is renewed.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// renewed returns the lease as of a renewal now.
func (l lease) renewed() lease { return lease{l.ttl, time.Now().Add(l.ttl)} }

// expire removes the keys of leases that ended. The caller holds mu.
func (s *Server) expire() {
	for id, one := range s.leases {
		if time.Now().After(one.ends) {
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

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) keep(w http.ResponseWriter, r *http.Request) {
	s.onLease(w, r, func(id uint64) { s.leases[id] = s.leases[id].renewed() })
}

func (s *Server) end(w http.ResponseWriter, r *http.Request) { s.onLease(w, r, s.dropLease) }

func (s *Server) onLease(w http.ResponseWriter, r *http.Request, do func(uint64)) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.leases[id]; err != nil || !known {
		reply.Error(w, http.StatusNotFound, "no such lease")
		return
	}
	do(id)
	reply.JSON(w, http.StatusOK, map[string]int64{"ttlMs": 1000})
}
