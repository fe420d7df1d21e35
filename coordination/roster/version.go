package roster

// putOtherVersion takes the entry of a process that has the id and start time of an earlier one, or no
// start time, and is of another software version: nothing of the earlier one applies to it.
func (r *Roster) putOtherVersion(s Server) []Change {
	changes := r.drop(s.ID, ReasonRestarted)
	delete(r.formers, s.ID)
	return append(changes, r.putLatest(s, false)...)
}

// putVersion takes the entry of a server whose version was not known, and reports it if the server
// was usable before.
func (r *Roster) putVersion(s Server, drained bool) []Change {
	wasUsable := r.entries[s.ID].usable
	changes := r.putLatest(s, drained)
	if wasUsable && len(changes) == 0 {
		return []Change{{Server: r.entries[s.ID].server, Usable: true, Reason: ReasonVersion}}
	}
	return changes
}

// latestVersion returns the software version of the last known process under the id, empty if it is
// not known, and the revision of its entry.
func (r *Roster) latestVersion(id string) (Version, uint64) {
	if e := r.entries[id]; e != nil {
		return e.server.Version, e.server.Revision
	}
	f := r.formers[id]
	return f.version, f.revision
}
