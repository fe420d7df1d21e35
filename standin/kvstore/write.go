package kvstore

import (
	"encoding/json"
	"net/http"
	"strings"

	"goldcrestport/standin/internal/reply"
)

// write applies puts and deletions at a single new revision. The caller must hold mu.
func (s *Server) write(puts []Item, remove []string) uint64 {
	s.revision++
	for _, p := range puts {
		p.Revision, p.Created = s.revision, s.revision
		if old, known := s.items[p.Key]; known {
			p.Created = old.Created
		}
		s.items[p.Key] = p
		s.history = append(s.history, p)
	}
	for _, key := range remove {
		if _, known := s.items[key]; known {
			delete(s.items, key)
			s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// transaction is the request body of a conditional write.
type transaction struct {
	ExpectedRev []Item   `json:"expectedRev"`
	Puts        []Item   `json:"puts"`
	Remove      []string `json:"remove"`
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	data, status := reply.Body(w, r, 1<<20)
	if status != 0 {
		reply.Error(w, status, "body")
		return
	}
	s.apply(w, data)
}

func (s *Server) apply(w http.ResponseWriter, data []byte) {
	var t transaction
	if err := json.Unmarshal(data, &t); err != nil {
		reply.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range t.ExpectedRev {
		if s.items[want.Key].Revision != want.Revision {
			reply.JSON(w, http.StatusPreconditionFailed, map[string]any{"entries": []Item{s.items[want.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply.Error(w, http.StatusForbidden, "not the system's keys")
			return
		}
		if _, known := s.leases[p.Lease]; p.Lease != 0 && !known {
			reply.Error(w, http.StatusNotFound, "no such lease")
			return
		}
	}
	reply.JSON(w, http.StatusOK, map[string]uint64{"revision": s.write(t.Puts, t.Remove)})
}

// applyLate applies a write that Faults.Late delayed.
func (s *Server) applyLate(r *http.Request, data []byte) {
	if strings.HasSuffix(r.URL.Path, "kv-txn") {
		s.apply(&discardWriter{header: http.Header{}}, data)
	}
}

// discardWriter is a response writer that drops the response.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}
