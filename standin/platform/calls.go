package platform

import (
	"net/http"
	"time"

	"goldcrestport/standin/internal/reply"
)

func errorAnswer(status int, reason string) answer {
	return answer{status, map[string]string{"error": reason}}
}

type versionBody struct {
	Version uint64 `json:"version"`
}

type entriesBody struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

type leaseBody struct {
	ID    string `json:"id"`
	TTLMS int64  `json:"ttl_ms"`
}

func (s *Server) list(r *http.Request, _ []byte) answer {
	entries, revision := s.store.list(r.URL.Query().Get("prefix"))
	return answer{http.StatusOK, entriesBody{entries, revision}}
}

func (s *Server) get(r *http.Request, _ []byte) answer {
	entry, found := s.store.get(r.PathValue("key"))
	if !found {
		return errorAnswer(http.StatusNotFound, "no such key")
	}
	return answer{http.StatusOK, entry}
}

// expectedVersion parses the version that a conditional write expects; nil if the caller sent none.
func expectedVersion(r *http.Request) (*uint64, error) {
	version, present, err := reply.Uint(r, "version")
	if !present || err != nil {
		return nil, err
	}
	return &version, nil
}

func (s *Server) put(r *http.Request, body []byte) answer {
	expect, err := expectedVersion(r)
	if err != nil || r.PathValue("key") == "" {
		return errorAnswer(http.StatusBadRequest, "a key and a whole number as version are needed")
	}
	return writeAnswer(s.store.put(r.PathValue("key"), body, r.URL.Query().Get("lease"), expect))
}

func (s *Server) remove(r *http.Request, _ []byte) answer {
	expect, err := expectedVersion(r)
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "version must be a whole number")
	}
	return writeAnswer(s.store.remove(r.PathValue("key"), expect))
}

func writeAnswer(version uint64, result outcome) answer {
	switch result {
	case conflict:
		return answer{http.StatusConflict, versionBody{version}}
	case noKey:
		return errorAnswer(http.StatusNotFound, "no such key")
	case noLease:
		return errorAnswer(http.StatusNotFound, "no such lease")
	}
	return answer{http.StatusOK, versionBody{version}}
}

// watch waits until a key with the prefix changes, the timeout expires, or the platform goes down.
func (s *Server) watch(r *http.Request, _ []byte) answer {
	after, _, err1 := reply.Uint(r, "after")
	timeoutMS, present, err2 := reply.Uint(r, "timeout_ms")
	if err1 != nil || err2 != nil {
		return errorAnswer(http.StatusBadRequest, "after and timeout_ms must be whole numbers")
	}
	timeout := defaultWatch
	if present {
		timeout = time.Duration(min(timeoutMS, uint64(maxWatch.Milliseconds()))) * time.Millisecond
	}
	s.meter.countWatch()
	prefix := r.URL.Query().Get("prefix")
	w := s.store.watch(prefix)
	defer s.store.unwatch(w)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		faultsChanged := s.faults.Changed()
		if s.faults.Get().Down {
			return answer{}
		}
		entries, revision := s.store.since(prefix, after)
		if len(entries) > 0 || revision < after {
			return answer{http.StatusOK, entriesBody{entries, revision}}
		}
		select {
		case <-w.wake:
		case <-faultsChanged:
		case <-timer.C:
			return answer{http.StatusOK, entriesBody{entries, revision}}
		case <-r.Context().Done():
			return answer{}
		}
	}
}

func (s *Server) grant(r *http.Request, _ []byte) answer {
	ttl, _, err := reply.Uint(r, "ttl_ms")
	if err != nil || ttl == 0 || ttl > uint64(maxTTL.Milliseconds()) {
		return errorAnswer(http.StatusBadRequest, "ttl_ms must be a whole number of at most a day")
	}
	id := s.store.grant(time.Duration(ttl) * time.Millisecond)
	return answer{http.StatusOK, leaseBody{id, int64(ttl)}}
}

func (s *Server) keepAlive(r *http.Request, _ []byte) answer {
	ttl, found := s.store.keepAlive(r.PathValue("id"))
	if !found {
		return errorAnswer(http.StatusNotFound, "no such lease")
	}
	return answer{http.StatusOK, leaseBody{r.PathValue("id"), ttl.Milliseconds()}}
}

func (s *Server) revoke(r *http.Request, _ []byte) answer {
	if !s.store.revoke(r.PathValue("id")) {
		return errorAnswer(http.StatusNotFound, "no such lease")
	}
	return answer{http.StatusOK, struct{}{}}
}

func (s *Server) listInstances(*http.Request, []byte) answer {
	list, asOf := s.instances.list()
	return answer{http.StatusOK, struct {
		Instances []Instance `json:"instances"`
		AsOfMS    int64      `json:"as_of_ms"`
	}{list, asOf.UnixMilli()}}
}

func (s *Server) putInstance(r *http.Request, body []byte) answer {
	instance, err := parseInstance(r.PathValue("id"), body)
	if err != nil {
		return errorAnswer(http.StatusBadRequest, err.Error())
	}
	s.instances.set(instance.ID, instance)
	return answer{http.StatusOK, instance}
}

func (s *Server) removeInstance(r *http.Request, _ []byte) answer {
	s.instances.set(r.PathValue("id"), nil)
	return answer{http.StatusOK, struct{}{}}
}
