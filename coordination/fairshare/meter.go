package fairshare

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

var unlimited = math.Inf(1)

// parts of the window: sums forget what is older than the window by steps of
// an eighth of it, half a second for the users' four.
const parts = 8

// Use is what a team asked for and got within the window, in tokens.
type Use struct {
	Asked, Begun float64
}

// window holds the sums of one team over the last slices.
type window struct {
	asked, begun [parts]float64
	// turned is the number of the newest slice.
	turned int64
	// mean is the mean size of the team's requests lately, in tokens.
	mean float64
}

// TeamID names a team in messages between routers.
type TeamID uint32

// IDOf returns the id of the team.
func IDOf(team string) TeamID { return TeamID(xxhash.Sum64String(team)) }

// Meter keeps the use of all teams: its own router's exactly, the others' as
// they told last. It must be used by one goroutine at a time.
type Meter struct {
	width time.Duration
	own   map[TeamID]*window
	peers map[string]report
	// level is kept for a short time, as it changes slowly.
	level float64
	// served is the level of what all teams together got.
	served  float64
	leveled time.Time
	total   map[TeamID]Use
	// late tells that this router reads its input late.
	late   bool
	holder holder
}

// report is what another router told.
type report struct {
	at  time.Time
	use map[TeamID]Use
}

// ReportTime is how long another router's word counts: a few times the
// longest period between two of them.
const ReportTime = 2 * time.Second

// deafTime is how long it counts at a router that reads late, which hears nothing
// whoever speaks.
const deafTime = 10 * time.Second

// SetLate tells whether this router reads its input late.
func (m *Meter) SetLate(late bool) { m.late = late }

// levelTime is how long a computed level is used. A slice of the window is
// half a second, so that a tenth of it changes little.
const levelTime = 50 * time.Millisecond

// NewMeter returns a meter of a sliding window.
func NewMeter(length time.Duration) *Meter {
	return &Meter{
		width: length / parts, own: make(map[TeamID]*window), peers: make(map[string]report), total: make(map[TeamID]Use), level: unlimited, served: unlimited, holder: holder{least: unlimited},
	}
}

// Ask counts a request of the team, whatever becomes of it.
func (m *Meter) Ask(now time.Time, team TeamID, tokens float64) {
	w := m.turn(now, team)
	w.asked[0] += tokens
	if w.mean == 0 {
		w.mean = tokens
	}
	w.mean += meanGain * (tokens - w.mean)
	u := m.total[team]
	u.Asked += tokens
	m.total[team] = u
}

// meanGain is the weight of one request in the mean size of a team's.
const meanGain = 0.05

// AskUnread counts a request of the team that was turned away unread: of the mean size of
// those that were read. A team of which none was asks for what nobody knows.
func (m *Meter) AskUnread(now time.Time, team TeamID) {
	if w := m.own[team]; w != nil && w.mean > 0 {
		m.Ask(now, team, w.mean)
	}
}

// Begin counts a request of the team that was sent to a server.
func (m *Meter) Begin(now time.Time, team TeamID, tokens float64) {
	m.turn(now, team).begun[0] += tokens
	u := m.total[team]
	u.Begun += tokens
	m.total[team] = u
}

// Reported takes another router's own use.
func (m *Meter) Reported(now time.Time, router string, use map[TeamID]Use) {
	m.peers[router] = report{at: now, use: use}
}

// Own returns the use of this router's requests.
func (m *Meter) Own(now time.Time) map[TeamID]Use {
	out := make(map[TeamID]Use, len(m.own))
	for team := range m.own {
		if u := sum(m.turn(now, team)); u.Asked > 0 || u.Begun > 0 {
			out[team] = u
		} else {
			delete(m.own, team)
		}
	}
	return out
}

// Standing returns what the team got in the window in relation to its max-min
// share of the capacity: below 1 it may have more, above 1 it is beyond its
// share. It is 0 while all that is asked fits.
func (m *Meter) Standing(now time.Time, team TeamID, capacity float64) float64 {
	if now.Sub(m.leveled) >= levelTime {
		m.relevel(now, capacity)
	}
	return m.standing(team, m.level)
}

// Level returns the max-min share of the capacity as of the last Standing, in tokens;
// 0 while all that is asked fits.
func (m *Meter) Level() float64 {
	if math.IsInf(m.level, 1) {
		return 0
	}
	return m.level
}

// ServedStanding returns what the team got in relation to its max-min share of
// what all teams together got, as of the last Standing. It is 0 while nearly all
// that is asked is served.
//
// The pattern that it answers: engines are full though all that is asked fits into
// the capacity that the operators name, which holds for the usual mix of prompts
// only. Then a team that asks for much crowds out one that asks for less: one got
// 44 % of what it asked for while the largest got eight times as much.
func (m *Meter) ServedStanding(team TeamID) float64 { return m.standing(team, m.served) }

func (m *Meter) standing(team TeamID, level float64) float64 {
	if math.IsInf(level, 1) || level <= 0 {
		return 0
	}
	return m.total[team].Begun / level
}

// servedShare is the part of what is asked from which all of it counts as served:
// single refusals, whose callers come back, tell nothing of full engines.
const servedShare = 0.95

func (m *Meter) relevel(now time.Time, capacity float64) {
	m.leveled = now
	m.total = m.Own(now)
	most := ReportTime
	if m.late {
		most = deafTime
	}
	for router, r := range m.peers {
		if now.Sub(r.at) > most {
			delete(m.peers, router)
			continue
		}
		for team, u := range r.use {
			t := m.total[team]
			t.Asked += u.Asked
			t.Begun += u.Begun
			m.total[team] = t
		}
	}
	asked := make([]float64, 0, len(m.total))
	var all, served float64
	for _, u := range m.total {
		asked = append(asked, u.Asked)
		all += u.Asked
		served += u.Begun
	}
	m.level, m.served = Level(asked, capacity), unlimited
	if served < servedShare*all {
		m.served = Level(asked, served)
	}
	m.holder.observe(m)
}

// Holds reports whether the team got well more than its share and more than the factor of what
// the least served team that asks for more got, as of the last Standing.
func (m *Meter) Holds(team TeamID, factor float64) bool {
	return m.holder.holds(m, team, factor)
}

// turn moves the team's window to the time.
func (m *Meter) turn(now time.Time, team TeamID) *window {
	n := now.UnixNano() / int64(m.width)
	w := m.own[team]
	if w == nil {
		w = &window{turned: n}
		m.own[team] = w
	}
	for ; w.turned < n; w.turned++ {
		if n-w.turned > parts {
			*w = window{turned: n, mean: w.mean}
			return w
		}
		copy(w.asked[1:], w.asked[:])
		copy(w.begun[1:], w.begun[:])
		w.asked[0], w.begun[0] = 0, 0
	}
	return w
}

func sum(w *window) Use {
	var u Use
	for i := range w.asked {
		u.Asked += w.asked[i]
		u.Begun += w.begun[i]
	}
	return u
}
