package admission

import (
	"time"

	"goldcrestport/coordination/health"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/selfcheck"
)

// SetLate sets whether this router reads its input late.
func (s *State) SetLate(late bool) {
	s.selfCheck.SetLate(late)
	s.teams.SetLate(late)
	s.isLate = late
}

// SetGossipPeriod sets the time between two digests of another router.
func (s *State) SetGossipPeriod(period time.Duration) { s.selfCheck.SetPeriod(period) }

// SetDataCentre sets the data centre of the server.
func (s *State) SetDataCentre(id, dataCentre string) {
	if srv := s.servers[id]; srv != nil {
		srv.dataCentre = dataCentre
	}
}

// SetVersion sets the version of the server's software.
func (s *State) SetVersion(id string, version roster.Version) {
	if srv := s.servers[id]; srv != nil {
		srv.version = version
	}
}

// SelfCheck checks whether this router is impaired, and reports whether that
// changed. When the router is found impaired, its recent ejections of servers are
// undone. SelfCheck is to be called several times a second.
func (s *State) SelfCheck(now time.Time) (signs selfcheck.Signs, changed bool) {
	var servers map[string]int
	if s.selfCheck.Misses() {
		servers = s.serversByDataCentre()
	}
	signs = s.selfCheck.Check(now, servers)
	before := s.isImpaired
	s.isImpaired = s.selfCheck.Impaired(now)
	if s.isImpaired && !before {
		s.readmit(now)
	}
	s.teams.SetLate(s.isImpaired)
	return signs, s.isImpaired != before
}

// Impaired reports whether the last self-check found this router impaired. While it
// is, it ejects no servers and keeps what its peers sent for longer.
func (s *State) Impaired() bool { return s.isImpaired }

func (s *State) serversByDataCentre() map[string]int {
	out := make(map[string]int)
	for _, srv := range s.servers {
		out[srv.dataCentre]++
	}
	return out
}

// readmitWindow is the time before the self-check found this router impaired in
// which ejections are undone: about as long as a connection attempt takes.
const readmitWindow = time.Second

func (s *State) readmit(now time.Time) {
	for _, srv := range s.servers {
		if srv.health.Ejected() && now.Sub(srv.ejectedAt) <= readmitWindow {
			srv.health = health.New(s.cfg.Health)
		}
	}
}

// countsAgainst reports whether the result counts against the server, and passes the
// result to the self-check.
func (s *State) countsAgainst(now time.Time, srv *server, result health.Result) bool {
	switch result {
	case health.NoResult:
		return true
	case health.Unreachable:
		s.selfCheck.Unreached(now, srv.id, srv.dataCentre)
		s.SelfCheck(now)
		return !s.isImpaired
	case health.Success:
		s.selfCheck.Reached(srv.id)
		return true
	default:
		s.selfCheck.Reached(srv.id)
		return !s.isImpaired
	}
}
