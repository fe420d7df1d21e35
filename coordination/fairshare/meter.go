package fairshare

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

var unlimited = math.Inf(1)

// windowSlices is the number of slices of the sliding window. A sum drops old tokens in
// steps of one slice: half a second with the default window of 4 s.
const windowSlices = 8

// Use is what a team requested within the window, and what of it was sent to backend
// servers, in tokens.
type Use struct {
	Requested, Started float64
	// Rates over about the last second, in tokens per second; they show a flood at once.
	// ThrottledRate is the part of RequestedRate that was refused only because the team is
	// throttled.
	RequestedRate, StartedRate, ThrottledRate float64
}

// window holds the sums of one team over the latest slices.
type window struct {
	requested, started [windowSlices]float64
	// newest is the number of the newest slice, counted from the Unix epoch.
	newest int64
	// recent holds the rates over the last second as of recentAt.
	recent   Use
	recentAt time.Time
	// meanSize is the moving average of the size of the team's requests, in tokens.
	meanSize float64
}

// TeamID identifies a team in messages between routers.
type TeamID uint32

// IDOf returns the id of the team.
func IDOf(team string) TeamID { return TeamID(xxhash.Sum64String(team)) }

// Meter keeps the usage of all teams: that of its own router exactly, that of other
// routers as of their last report. It must be used by one goroutine at a time.
type Meter struct {
	sliceWidth time.Duration
	own        map[TeamID]*window
	peers      map[string]peerUse
	// level is the max-min fair share level of the capacity, in tokens. It is kept for
	// refreshPeriod, since it changes slowly.
	level float64
	// served is the max-min fair share level of what all teams together were served.
	served  float64
	updated time.Time
	// shareRate is the max-min fair share of the capacity by the rates of the last second,
	// in tokens per second.
	shareRate float64
	total     map[TeamID]Use
	// late is true while this router reads its input late.
	late bool
}

// peerUse is the usage that another router reported.
type peerUse struct {
	received time.Time
	use      map[TeamID]Use
}

// ReportTime is how long a report of another router counts: a few times the longest period
// between two reports.
const ReportTime = 2 * time.Second

// lateReportTime replaces ReportTime while this router reads its input late: reports then
// wait unread in its socket buffer, whichever router sends them.
const lateReportTime = 10 * time.Second

// SetLate sets whether this router reads its input late.
func (m *Meter) SetLate(late bool) { m.late = late }

// refreshPeriod is how long the computed levels are used. A tenth of the 0.5 s slice of
// the window changes them little.
const refreshPeriod = 50 * time.Millisecond

// NewMeter returns a meter with a sliding window of the given length.
func NewMeter(length time.Duration) *Meter {
	return &Meter{
		sliceWidth: length / windowSlices, own: make(map[TeamID]*window), peers: make(map[string]peerUse), total: make(map[TeamID]Use), level: unlimited, served: unlimited, shareRate: unlimited,
	}
}

// Ask records a request of the team, whether or not it is served.
func (m *Meter) Ask(now time.Time, team TeamID, tokens float64) {
	w := m.advance(now, team)
	w.requested[0] += tokens
	w.decay(now)
	w.recent.RequestedRate += tokens / rateTime.Seconds()
	if w.meanSize == 0 {
		w.meanSize = tokens
	}
	w.meanSize += meanSizeGain * (tokens - w.meanSize)
	u := m.total[team]
	u.Requested += tokens
	m.total[team] = u
}

// meanSizeGain is the weight of one request in the moving average of the sizes of a team's
// requests.
const meanSizeGain = 0.05

// AskUnread records a request of the team that was refused before its body was read. It
// counts with the mean size of the team's requests that were read, which is returned. If
// none was read yet, the size is unknown and the request counts 0 tokens.
func (m *Meter) AskUnread(now time.Time, team TeamID) (tokens float64) {
	w := m.own[team]
	if w == nil || w.meanSize == 0 {
		return 0
	}
	m.Ask(now, team, w.meanSize)
	return w.meanSize
}

// RecordStart records a request of the team that was sent to a server.
func (m *Meter) RecordStart(now time.Time, team TeamID, tokens float64) {
	w := m.advance(now, team)
	w.started[0] += tokens
	w.decay(now)
	w.recent.StartedRate += tokens / rateTime.Seconds()
	u := m.total[team]
	u.Started += tokens
	m.total[team] = u
}

// Throttled records a request of the team that was refused only because the team is
// throttled.
func (m *Meter) Throttled(now time.Time, team TeamID, tokens float64) {
	w := m.advance(now, team)
	w.decay(now)
	w.recent.ThrottledRate += tokens / rateTime.Seconds()
}

// SetPeerUse stores the usage of another router's own requests, which replaces its previous
// report.
func (m *Meter) SetPeerUse(now time.Time, router string, use map[TeamID]Use) {
	m.peers[router] = peerUse{received: now, use: use}
}

// Own returns the usage of the requests of this router.
func (m *Meter) Own(now time.Time) map[TeamID]Use {
	out := make(map[TeamID]Use, len(m.own))
	for team := range m.own {
		if u := m.advance(now, team).usage(now); u.Requested > 0 || u.Started > 0 {
			out[team] = u
		} else {
			delete(m.own, team)
		}
	}
	return out
}

// Standing returns the team's standing: what it was served in the window, relative to its
// max-min share of the capacity. Below 1 it may have more, above 1 it exceeds its share. A
// flood that started a moment ago is judged by its rate over the last second. The standing
// is 0 while all requests fit into the capacity.
func (m *Meter) Standing(now time.Time, team TeamID, capacity float64) float64 {
	if now.Sub(m.updated) >= refreshPeriod {
		m.refresh(now, capacity)
	}
	recent := m.total[team].StartedRate * (windowSlices * m.sliceWidth).Seconds()
	return max(m.standing(team, m.level), recent/m.level)
}

// Level returns the max-min fair share level of the capacity as of the last call of
// Standing, in tokens; 0 while all requests fit.
func (m *Meter) Level() float64 {
	if math.IsInf(m.level, 1) {
		return 0
	}
	return m.level
}

// Share returns a team's max-min share of the capacity, in tokens per second, by the rates
// of the last second as of the last call of Standing; +Inf while all requests fit.
func (m *Meter) Share() float64 { return m.shareRate }

// Updated returns when Standing last summed the usage of all teams.
func (m *Meter) Updated() time.Time { return m.updated }

// Each calls visit for each team with its usage at all routers, as of the last call of
// Standing.
func (m *Meter) Each(visit func(team TeamID, use Use)) {
	for team, use := range m.total {
		visit(team, use)
	}
}

// ServedStanding returns what the team was served relative to its max-min share of what
// all teams together were served, as of the last call of Standing. It is 0 while nearly
// all requests are served.
//
// It covers the case that backend servers are full although all requests fit into the
// capacity that the operators configured, which holds for the usual mix of prompts only.
// Without it, a team with a large load starves one with a smaller load: one team got 44 %
// of what it requested while the largest team got eight times as much.
func (m *Meter) ServedStanding(team TeamID) float64 { return m.standing(team, m.served) }

func (m *Meter) standing(team TeamID, level float64) float64 {
	if math.IsInf(level, 1) || level <= 0 {
		return 0
	}
	return m.total[team].Started / level
}

// servedFraction is the fraction of the requested tokens from which all of them count as
// served. A few refused requests, which clients retry, are no sign of full backend
// servers.
const servedFraction = 0.95

func (m *Meter) refresh(now time.Time, capacity float64) {
	m.updated = now
	m.total = m.Own(now)
	maxAge := ReportTime
	if m.late {
		maxAge = lateReportTime
	}
	for router, peer := range m.peers {
		if now.Sub(peer.received) > maxAge {
			delete(m.peers, router)
			continue
		}
		for team, u := range peer.use {
			t := m.total[team]
			t.Requested += u.Requested
			t.Started += u.Started
			t.RequestedRate += u.RequestedRate
			t.StartedRate += u.StartedRate
			t.ThrottledRate += u.ThrottledRate
			m.total[team] = t
		}
	}
	requested, recent := make([]float64, 0, len(m.total)), make([]float64, 0, len(m.total))
	var served float64
	for _, u := range m.total {
		requested, recent = append(requested, u.Requested), append(recent, u.RequestedRate)
		served += u.Started
	}
	m.level, m.served = Level(requested, capacity), servedLevel(requested, served)
	m.shareRate = Level(recent, capacity/(windowSlices*m.sliceWidth).Seconds())
}

// servedLevel returns the max-min fair share level of what is served, or unlimited while
// nearly all requests are served.
func servedLevel(requested []float64, served float64) float64 {
	var total float64
	for _, amount := range requested {
		total += amount
	}
	if served >= servedFraction*total {
		return unlimited
	}
	return Level(requested, served)
}

// advance moves the team's window to now and returns it.
func (m *Meter) advance(now time.Time, team TeamID) *window {
	newest := now.UnixNano() / int64(m.sliceWidth)
	w := m.own[team]
	if w == nil {
		w = &window{newest: newest}
		m.own[team] = w
	}
	for ; w.newest < newest; w.newest++ {
		if newest-w.newest > windowSlices {
			*w = window{newest: newest, meanSize: w.meanSize, recent: w.recent, recentAt: w.recentAt}
			return w
		}
		copy(w.requested[1:], w.requested[:])
		copy(w.started[1:], w.started[:])
		w.requested[0], w.started[0] = 0, 0
	}
	return w
}

// rateTime is the time constant of the exponentially decaying rates.
const rateTime = time.Second

// decay moves the rates of the last second to now.
func (w *window) decay(now time.Time) {
	if since := now.Sub(w.recentAt); since > 0 {
		keep := math.Exp(-since.Seconds() / rateTime.Seconds())
		w.recent.RequestedRate *= keep
		w.recent.StartedRate *= keep
		w.recent.ThrottledRate *= keep
		w.recentAt = now
	}
}

// usage returns the sums of the window and the rates at now.
func (w *window) usage(now time.Time) Use {
	w.decay(now)
	u := w.recent
	for i := range w.requested {
		u.Requested += w.requested[i]
		u.Started += w.started[i]
	}
	return u
}
