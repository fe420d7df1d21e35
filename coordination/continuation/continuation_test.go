package continuation

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
)

var (
	v1   = origin.Origin{Service: "app", Version: "v1"}
	app  = []string{"app"}
	one  = []roster.Version{"v1"}
	both = []roster.Version{"v1", "v2"}
)

// Each row of what a router may know, and what follows.
func TestDecide(t *testing.T) {
	for name, tc := range map[string]struct {
		stream Stream
		want   Decision
	}{
		"known": {
			Stream{Knowledge: Known, Origin: v1, Services: app, Serving: both, Recent: both, IsCurrent: true},
			Decision{Bound: v1, IsStrict: true},
		},
		"known, with an old view": {
			Stream{Knowledge: Known, Origin: v1, Services: app, Serving: both, Recent: both},
			Decision{Bound: v1, IsStrict: true},
		},
		"known, one version": {
			Stream{Knowledge: Known, Origin: v1, Services: app, Serving: one, Recent: one, IsCurrent: true},
			Decision{Bound: v1},
		},
		"its version left": {
			Stream{Knowledge: Known, Origin: v1, Services: app, Serving: []roster.Version{"v2"}, Recent: both, IsCurrent: true},
			Decision{Bound: v1, Reason: ReasonVersionGone, IsStrict: true},
		},
		"its version lapsed": {
			Stream{Knowledge: Known, Origin: v1, Services: app, Serving: []roster.Version{"v2"}, Returning: one, Recent: both, IsCurrent: true},
			Decision{Bound: v1, Reason: ReasonVersionLapsed, IsStrict: true},
		},
		"one server of its version lapsed": {
			Stream{Knowledge: Known, Origin: v1, Services: app, Serving: one, Returning: one, Recent: one, IsCurrent: true},
			Decision{Bound: v1},
		},
		"its route leads elsewhere": {
			Stream{Knowledge: Known, Origin: v1, Services: []string{"other"}, Serving: one, Recent: one, IsCurrent: true},
			Decision{Bound: v1, Reason: ReasonServiceGone},
		},
		"uncertain": {
			Stream{Knowledge: Uncertain, Services: app, Serving: both, Recent: both, IsCurrent: true},
			Decision{Reason: ReasonUncertain, IsStrict: true},
		},
		"doubted": {
			Stream{Knowledge: Doubted, Origin: v1, Services: app, Serving: one, Recent: one, IsCurrent: true},
			Decision{Reason: ReasonDoubted},
		},
		"unknown, two versions": {
			Stream{Knowledge: Unknown, Services: app, Serving: both, Recent: both, IsCurrent: true},
			Decision{Reason: ReasonUnknown, IsStrict: true},
		},
		"unknown, the second left lately": {
			Stream{Knowledge: Unknown, Services: app, Serving: one, Recent: both, IsCurrent: true},
			Decision{Reason: ReasonUnknown, IsStrict: true},
		},
		"unknown, one version": {
			Stream{Knowledge: Unknown, Services: app, Serving: one, Recent: one, IsCurrent: true},
			Decision{Bound: v1},
		},
		"unknown, one version here and two elsewhere": {
			Stream{Knowledge: Unknown, Services: app, Serving: one, Recent: one, MixedElsewhere: true, IsCurrent: true},
			Decision{Reason: ReasonUnknown, IsStrict: true},
		},
		"unknown, one version by an old view": {
			Stream{Knowledge: Unknown, Services: app, Serving: one, Recent: one},
			Decision{Reason: ReasonOldView},
		},
		"unanswered, two versions": {
			Stream{Knowledge: Unanswered, Services: app, Serving: both, Recent: both, IsCurrent: true},
			Decision{Reason: ReasonUnanswered, IsStrict: true},
		},
		"unanswered, one version": {
			Stream{Knowledge: Unanswered, Services: app, Serving: one, Recent: one, IsCurrent: true},
			Decision{Bound: v1},
		},
		"unnamed, two versions": {
			Stream{Knowledge: Unnamed, Services: app, Serving: both, Recent: both, IsCurrent: true},
			Decision{Reason: ReasonUnknown, IsStrict: true},
		},
		"unnamed, one version": {
			Stream{Knowledge: Unnamed, Services: app, Serving: one, Recent: one, IsCurrent: true},
			Decision{Bound: v1},
		},
		"unnamed, a route with two services": {
			Stream{Knowledge: Unnamed, Services: []string{"app", "other"}, Serving: one, Recent: one, IsCurrent: true},
			Decision{Reason: ReasonUnknown},
		},
		"no server": {
			Stream{Knowledge: Unnamed, Services: app, IsCurrent: true},
			Decision{Reason: ReasonVersionGone},
		},
	} {
		qt.Check(t, Decide(tc.stream), qt.Equals, tc.want, qt.Commentf(name))
	}
}

// Whatever is known: a stream goes on only at its known origin, or at the only version that there
// was, by a current view.
func TestAStreamNeverGoesOnByAGuess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfDistinct(rapid.SampledFrom([]roster.Version{"", "v1", "v2", "v3"}), rapid.ID[roster.Version])
		s := Stream{
			Knowledge: Knowledge(rapid.IntRange(int(Unnamed), int(Known)).Draw(t, "knowledge")), Origin: v1,
			Services: rapid.SampledFrom([][]string{app, {"other"}, {"app", "other"}}).Draw(t, "services"),
			Serving:  versions.Draw(t, "serving"), Recent: versions.Draw(t, "recent"),
			MixedElsewhere: rapid.Bool().Draw(t, "mixed elsewhere"), IsCurrent: rapid.Bool().Draw(t, "current"),
		}
		d := Decide(s)
		if d.Reason != ReasonNone {
			return
		}
		if s.Knowledge == Known {
			if d.Bound != s.Origin {
				t.Fatalf("%+v goes on at %+v", s, d)
			}
			return
		}
		if len(s.Recent) != 1 || s.MixedElsewhere || !s.IsCurrent || len(s.Services) != 1 || d.Bound.Version != s.Recent[0] {
			t.Fatalf("%+v goes on at %+v by a guess", s, d)
		}
	})
}

// Guards against streams that go on nowhere though it is proven that they began at the first of two versions, and
// against a proof that is used for a stream that another router may know, or that may be of another service.
func TestAProvenStreamGoesOn(t *testing.T) {
	s := Stream{Knowledge: Unknown, Proven: "v1", Services: []string{"app"}, Serving: []roster.Version{"v1", "v2"}, Recent: []roster.Version{"v1", "v2"}}
	qt.Check(t, Decide(s).Reason, qt.Equals, ReasonOldView, qt.Commentf("a router may have begun that this one does not know"))
	s.IsCurrent = true
	qt.Check(t, Decide(s), qt.Equals, Decision{Bound: origin.Origin{Service: "app", Version: "v1"}, IsStrict: true})
	s.Serving = []roster.Version{"v2"}
	qt.Check(t, Decide(s).Reason, qt.Equals, ReasonVersionGone)
	s.Serving = s.Recent
	for _, k := range []Knowledge{Unnamed, Unanswered, Uncertain, Doubted} {
		s.Knowledge = k
		qt.Check(t, Decide(s).Reason, qt.Not(qt.Equals), ReasonNone)
	}
	s.Knowledge, s.Services = Unknown, []string{"app", "other"}
	qt.Check(t, Decide(s).Reason, qt.Equals, ReasonUnknown)
}
