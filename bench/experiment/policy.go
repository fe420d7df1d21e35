package experiment

import (
	"slices"

	"github.com/cockroachdb/errors"

	"goldcrestport/protocol/settings"
)

// Chosen is the policy that the product uses unless told otherwise.
const Chosen = "pull"

// Policy is a way of sharing the pool's capacity, set up by the settings of
// the processes.
type Policy struct {
	Name string
	// Router and Sidecar edit the settings; nil leaves the defaults.
	Router  func(*settings.Router)
	Sidecar func(*settings.Sidecar)
}

// Policies returns the chosen policy and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: Chosen},
		{Name: "pull-settle", Sidecar: sidecarPolicy(settings.SidecarPullSettle)},
		{Name: "push-fifo", Router: routerPolicy(settings.RouterPushFIFO), Sidecar: sidecarPolicy(settings.SidecarPush)},
		{Name: "push-fair", Router: routerPolicy(settings.RouterPushFair), Sidecar: sidecarPolicy(settings.SidecarPush)},
	}
}

func routerPolicy(p settings.RouterPolicy) func(*settings.Router) {
	return func(s *settings.Router) { s.Policy = p }
}

func sidecarPolicy(p settings.SidecarPolicy) func(*settings.Sidecar) {
	return func(s *settings.Sidecar) { s.Policy = p }
}

// Named returns the policies with the names, all if there are none.
func Named(names []string) ([]Policy, error) {
	if len(names) == 0 {
		return Policies(), nil
	}
	var out []Policy
	for _, n := range names {
		i := slices.IndexFunc(Policies(), func(p Policy) bool { return p.Name == n })
		if i < 0 {
			return nil, errors.Newf("no policy %q", n)
		}
		out = append(out, Policies()[i])
	}
	return out, nil
}
