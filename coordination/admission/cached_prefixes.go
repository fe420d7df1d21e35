package admission

import "time"

// CachedPrefix says that a server has prefilled a shared prefix.
//
// Each router sees a small part of the requests. From those alone it seldom knows
// which server has a document cached, and would have its prefill repeated elsewhere.
// So routers announce cached prefixes to each other, each prefix once in half of
// PrefixTTL.
type CachedPrefix struct {
	Server ServerID
	Prefix uint64
}

// Limits of announcements.
const (
	// maxAnnouncements is the maximum number of announcements in a digest, 768 bytes
	// of a datagram.
	maxAnnouncements = 64
	// maxPendingAnnouncements is the maximum number that waits for the next digests.
	// Further ones are dropped, each of which costs at most one repeated prefill.
	maxPendingAnnouncements = 1024
)

// recordPrefixes records that the server prefills the prefixes, and which of them
// the next digest announces.
func (s *State) recordPrefixes(now time.Time, srv *server, prefixes []Prefix) {
	for _, prefix := range prefixes {
		srv.markUsed(now, prefix.ID, s.cfg.PrefixTTL)
		if prefix.Tokens < s.cfg.AnnounceTokens*s.routers || len(s.pendingAnnouncements) >= maxPendingAnnouncements {
			continue
		}
		if srv.markAnnounced(now, prefix.ID, s.cfg.PrefixTTL/2) {
			s.pendingAnnouncements = append(s.pendingAnnouncements, CachedPrefix{Server: srv.number, Prefix: prefix.ID})
		}
	}
}

// takeAnnouncements returns what the next digest announces.
func (s *State) takeAnnouncements() []CachedPrefix {
	if len(s.pendingAnnouncements) == 0 {
		return nil
	}
	n := min(len(s.pendingAnnouncements), maxAnnouncements)
	out := s.pendingAnnouncements[:n:n]
	s.pendingAnnouncements = s.pendingAnnouncements[n:]
	return out
}

// receiveAnnouncements takes the announcements of another router.
func (s *State) receiveAnnouncements(now time.Time, announcements []CachedPrefix) {
	for _, a := range announcements {
		if srv := s.numbers[a.Server]; srv != nil {
			srv.markUsed(now, a.Prefix, s.cfg.PrefixTTL)
			srv.markAnnounced(now, a.Prefix, 0)
		}
	}
}
