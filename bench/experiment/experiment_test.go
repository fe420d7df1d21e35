package experiment

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestport/bench/load"
	"goldcrestport/protocol/settings"
)

func TestOptions(t *testing.T) {
	c := qt.New(t)
	good := Options{Windows: []time.Duration{30 * time.Second, 2 * time.Minute}, Repeat: 1, Scale: 1}
	c.Assert(good.Validate(), qt.IsNil)
	c.Assert(good.length(), qt.Equals, 2*time.Minute)
	for _, edit := range []func(*Options){
		func(o *Options) { o.Windows = nil },
		func(o *Options) { o.Windows = []time.Duration{time.Hour} },
		func(o *Options) { o.Repeat = 0 },
		func(o *Options) { o.LookAhead = -1 },
		func(o *Options) { o.Scale = 0.5 },
		func(o *Options) { o.Restart = load.Routers + 1 },
	} {
		bad := good
		edit(&bad)
		c.Check(bad.Validate(), qt.IsNotNil)
	}
}

func TestPolicies(t *testing.T) {
	c := qt.New(t)
	all, err := Named(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(all[0].Name, qt.Equals, Chosen)
	one, err := Named([]string{Chosen})
	c.Assert(err, qt.IsNil)
	c.Assert(one, qt.HasLen, 1)
	c.Assert(notRun([]string{Chosen, "push-fifo"}), qt.DeepEquals, []string{"pull-settle", "push-fair"})
	_, err = Named([]string{"none"})
	c.Assert(err, qt.ErrorMatches, `no policy "none"`)
}

func TestDocument(t *testing.T) {
	c := qt.New(t)
	doc := document(load.Teams(1))
	c.Assert(doc.Teams, qt.HasLen, 16)
	c.Assert(doc.Teams["large-1"].Share, qt.Equals, 4.0)
	c.Assert(doc.Teams["flood"].MaxQueued > 0, qt.IsTrue)
}

func TestPolicySettingsAreKnown(t *testing.T) {
	c := qt.New(t)
	for _, p := range Policies() {
		r, s := settings.DefaultRouter(), settings.DefaultSidecar()
		if p.Router != nil {
			p.Router(&r)
		}
		if p.Sidecar != nil {
			p.Sidecar(&s)
		}
		c.Check(r.Policy != "" && s.Policy != "", qt.IsTrue)
		c.Check((r.Policy == settings.RouterPull) == (s.Policy != settings.SidecarPush), qt.IsTrue, qt.Commentf(p.Name))
	}
}
