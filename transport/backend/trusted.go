package backend

// IsTrusted reports what Offers does, and draws no conclusion from connections that have ended: looking
// at a server for a log line changes nothing of what is known of it.
func (p *Pool) IsTrusted(id string, need Trust) bool {
	if need == AnyProcess {
		return true
	}
	one := p.peerOf(id)
	entry := p.entryOf(one)
	if p.cfg.Vouching.Vouches(entry, min(one.openSince(nil), sinceEpochDuration())) {
		return true
	}
	return need == NoSuspect && !p.cfg.Vouching.IsSuspect(entry)
}
