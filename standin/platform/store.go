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

// Entry is one key and its value as returned to clients.
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

// store holds the keys. Deleted keys remain as tombstones, so that a watch sees every deletion.
type store struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]*record
	changes  []change // in ascending order of version; superseded ones are pruned periodically
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

// outcome is the result of a write.
type outcome int

const (
	written outcome = iota
	conflict
	noKey
	noLease
)

// put writes a key. It returns the new version, or the current version if the write fails.
func (s *store) put(key string, value []byte, leaseID string, expect *uint64) (uint64, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current(key)
	if expect != nil && *expect != current {
		return current, conflict
	}
	if leaseID != "" && s.liveLease(leaseID) == nil {
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

// current returns a key's version, or 0 if the key does not exist.
func (s *store) current(key string) uint64 {
	if found := s.records[key]; found != nil && !found.Deleted {
		return found.Version
	}
	return 0
}

// change stores a record under the next version and wakes the watches on its key.
func (s *store) change(next *record) {
	if old := s.records[next.Key]; old != nil && s.leases[old.lease] != nil {
		delete(s.leases[old.lease].keys, next.Key)
	}
	if attached := s.leases[next.lease]; attached != nil {
		attached.keys[next.Key] = true
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

// since returns the changes after a revision. A revision greater than the store's own is treated as 0.
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

func (s *store) watcherCount() int {
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
	s.liveLease(id)
}

// liveLease returns a lease, or nil if there is none. An expired lease is removed along with its keys.
func (s *store) liveLease(id string) *lease {
	l := s.leases[id]
	if l != nil && !time.Now().Before(l.expires) {
		s.dropLease(id)
		return nil
	}
	return l
}

func (s *store) dropLease(id string) {
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
	l := s.liveLease(id)
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
	if s.liveLease(id) == nil {
		return false
	}
	s.dropLease(id)
	return true
}
