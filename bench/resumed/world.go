package resumed

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"goldcrestport/coordination/roster"
)

// Times of a play.
const (
	troublesFrom, troublesUntil = 6 * time.Second, 16 * time.Second
	// countFrom and countUntil bound when streams come that are compared, playTime is the end.
	countFrom, countUntil, playTime = 4 * time.Second, 30 * time.Second, 34 * time.Second
)

// Versions of the servers.
const (
	first  roster.Version = "first"
	second roster.Version = "second"
)

// Mends are changes of the product that are played in place of what it does.
type Mends struct {
	// NoHandover: a router that is stopped hands over nothing. NoJournal: routers write no origins to
	// the store.
	NoHandover, NoJournal bool
	// JournalInterval is the time between two writes of origins by a router, at each size of the fleet;
	// 0: as the product has it.
	JournalInterval time.Duration
	// ReadStore: a router that does not find where a stream began reads the store.
	ReadStore bool
	// AskLimit is how long answers of other routers are awaited; 0: as the product does.
	AskLimit time.Duration
	// ResumeWait is the wait limit of requests that resume a stream; 0: as the product has it.
	ResumeWait time.Duration
	// DoubtsEnd: an origin may become certain after its stream has ended.
	DoubtsEnd bool
	// ComeBack: a stream of uncertain origin is refused so that its caller comes back.
	ComeBack bool
}

// Settings are those of one play.
type Settings struct {
	Seed    uint64
	Routers int
	// Troubles are those of the play; drawn from the seed if there are none.
	Troubles []Trouble
	Mends    Mends
	// Again: a caller whose resumed request was refused follows a Retry-After once.
	Again bool
}

// world is one play.
type world struct {
	queue
	set       Settings
	rand      *rand.Rand
	store     *store
	routers   []*router
	servers   []*server
	processes map[string]*server
	result    Result

	// Load: streams a second, the share that breaks, that of callers that come back late and how
	// late, and the share of datagrams that is lost.
	rate, breaks, lateReturns, loss float64
	latestReturn                    time.Duration
	teamWeight, capacity            float64
	longPrompts, floodShare         float64
	flooding                        string
	idleLimit                       time.Duration
	endsWithConnection              bool
	streams, calls, serverIDs       uint64
}

// Sizes of a fleet.
const (
	dataCentres      = 3
	serversPerRouter = 4
	// streamsPerServer is the usual number of streams a second that begin at a server.
	streamsPerServer = 20
	// capacityPerServer is the configured capacity in tokens a second.
	capacityPerServer = 340000.0 / 12
	// quota is the processor time of a router in each period.
	quota = 30 * time.Millisecond
	// usualIdleLimit is how long servers keep a connection without requests.
	usualIdleLimit = 20 * time.Second
)

// Play plays one seed.
func Play(set Settings) Result {
	w := &world{set: set, rand: rand.New(rand.NewPCG(set.Seed, uint64(set.Routers))), processes: map[string]*server{}, idleLimit: usualIdleLimit}
	w.store = newStore(w)
	w.draw()
	w.result = newResult(w.set)
	w.startFleet()
	w.startTroubles()
	w.arrivals()
	w.every(100*time.Millisecond, w.store.tick)
	w.runUntil(playTime - time.Millisecond)
	w.result.finish()
	return w.result
}

// draw draws what is not set.
func (w *world) draw() {
	all := Troubles()
	w.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if w.set.Troubles == nil {
		w.set.Troubles = all[:2]
	}
	servers := serversPerRouter * w.set.Routers
	w.rate = streamsPerServer * float64(servers) * (.5 + .9*w.rand.Float64())
	w.capacity = capacityPerServer * float64(servers)
	w.breaks = []float64{0, .01, .05, .25}[w.rand.IntN(4)]
	w.lateReturns = []float64{0, .2, 1}[w.rand.IntN(3)]
	w.latestReturn = []time.Duration{7 * time.Second, 13 * time.Second}[w.rand.IntN(2)]
	w.loss = []float64{0, 0, .02}[w.rand.IntN(3)]
	for i := range teamCount {
		w.teamWeight += math.Pow(float64(i+1), -teamSkew)
	}
}

// startFleet starts the servers, those of the second version among them, and the routers.
func (w *world) startFleet() {
	count := serversPerRouter * w.set.Routers
	ofSecond := leastOfVersion + w.rand.IntN(count-2*leastOfVersion+1)
	if slices.Contains(w.set.Troubles, Release) {
		ofSecond = w.rand.IntN(leastOfVersion + 1)
	}
	for i := range count {
		version := first
		if i < ofSecond {
			version = second
		}
		w.startServer(w.nextServerID(), version, dataCentre(i))
	}
	for i := range w.set.Routers {
		r := &router{w: w, id: "r-" + strconv.Itoa(i), dataCentre: i % dataCentres, quota: quota, troubledAt: -touchTime}
		w.routers = append(w.routers, r)
		r.begin()
		r.troubledAt = -touchTime
	}
}

func dataCentre(i int) string { return "dc-" + strconv.Itoa(i%dataCentres) }

func (w *world) router(id string) *router {
	for _, r := range w.routers {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (w *world) nextServerID() string {
	w.serverIDs++
	return "s-" + itoa(w.serverIDs)
}

func (w *world) nextCall() uint64 {
	w.calls++
	return w.calls
}

// serving returns the servers that take requests, of one version or of all.
func (w *world) serving(version roster.Version) []*server {
	var out []*server
	for _, s := range w.servers {
		if !s.gone && !s.draining && (version == "" || s.entry.Version == version) {
			out = append(out, s)
		}
	}
	return out
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rand.Float64()*float64(high-low))
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

// sortedRuns returns the runs in the order of their calls.
func sortedRuns(all map[*run]struct{}) []*run {
	out := make([]*run, 0, len(all))
	for r := range all {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.call.number, b.call.number) })
	return out
}

// sortedCalls returns the calls in order.
func sortedCalls(all map[*call]struct{}) []*call {
	out := make([]*call, 0, len(all))
	for c := range all {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	return out
}
