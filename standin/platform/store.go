package platform

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is a key as readers see it.
type Entry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type record struct {
	Entry
	lease string
}

type change struct {
	version uint64
	key     string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]bool
}

type watcher struct {
	prefix string
	wake   chan struct{}
}

// store holds the keys. Deleted keys stay as marks, so that a watch sees every deletion.
type store struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]*record
	changes  []change // by rising version; superseded ones are dropped now and then
	leases   map[string]*lease
	leaseNo  uint64
	watchers map[*watcher]bool
}

func newStore() *store {
	return &store{records: map[string]*record{}, leases: map[string]*lease{}, watchers: map[*watcher]bool{}}
}

func (s *store) get(key string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.records[key]; found != nil && !found.Deleted {
		return found.Entry, true
	}
	return Entry{}, false
}

func (s *store) list(prefix string) ([]Entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Entry{}
	for key, found := range s.records {
		if !found.Deleted && strings.HasPrefix(key, prefix) {
			out = append(out, found.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision
}

// outcome tells how a write went.
type outcome int

const (
	written outcome = iota
	conflict
	noKey
	noLease
)

// put writes a key; it returns the new version, or the current one on conflict.
func (s *store) put(key string, value []byte, leaseID string, expect *uint64) (uint64, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current(key)
	if expect != nil && *expect != current {
		return current, conflict
	}
	if leaseID != "" && s.alive(leaseID) == nil {
		return current, noLease
	}
	s.change(&record{Entry{Key: key, Value: value}, leaseID})
	return s.revision, written
}

func (s *store) remove(key string, expect *uint64) (uint64, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current(key)
	switch {
	case current == 0:
		return 0, noKey
	case expect != nil && *expect != current:
		return current, conflict
	}
	s.change(&record{Entry{Key: key, Deleted: true}, ""})
	return s.revision, written
}

// current returns a key's version, 0 when there is none.
func (s *store) current(key string) uint64 {
	if found := s.records[key]; found != nil && !found.Deleted {
		return found.Version
	}
	return 0
}

// change puts a record in place under the next version and wakes the watches that wait for it.
func (s *store) change(next *record) {
	if old := s.records[next.Key]; old != nil && s.leases[old.lease] != nil {
		delete(s.leases[old.lease].keys, next.Key)
	}
	if held := s.leases[next.lease]; held != nil {
		held.keys[next.Key] = true
	}
	s.revision++
	next.Version = s.revision
	s.records[next.Key] = next
	s.changes = append(s.changes, change{next.Version, next.Key})
	if len(s.changes) > 1024+4*len(s.records) {
		s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return s.records[c.key].Version != c.version })
	}
	for w := range s.watchers {
		if strings.HasPrefix(next.Key, w.prefix) {
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	}
}

// since returns what changed after a revision; a revision the store never reached counts as 0.
func (s *store) since(prefix string, after uint64) ([]Entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > s.revision {
		after = 0
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > after })
	out := []Entry{}
	for _, c := range s.changes[first:] {
		found := s.records[c.key]
		if found.Version == c.version && strings.HasPrefix(c.key, prefix) {
			out = append(out, found.Entry)
		}
	}
	return out, s.revision
}

func (s *store) watch(prefix string) *watcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &watcher{prefix, make(chan struct{}, 1)}
	s.watchers[w] = true
	return w
}

func (s *store) unwatch(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

func (s *store) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}

func (s *store) grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseNo++
	id := "lease-" + strconv.FormatUint(s.leaseNo, 10)
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = l
	return id
}

func (s *store) expire(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive(id)
}

// alive returns a lease, or nil when there is none; one that has lapsed goes with its keys.
func (s *store) alive(id string) *lease {
	l := s.leases[id]
	if l != nil && !time.Now().Before(l.expires) {
		s.drop(id)
		return nil
	}
	return l
}

func (s *store) drop(id string) {
	l := s.leases[id]
	l.timer.Stop()
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.change(&record{Entry{Key: key, Deleted: true}, ""})
	}
}

func (s *store) keepAlive(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.alive(id)
	if l == nil {
		return 0, false
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl, true
}

func (s *store) revoke(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alive(id) == nil {
		return false
	}
	s.drop(id)
	return true
}
