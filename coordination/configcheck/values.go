package configcheck

import (
	"strconv"
	"strings"

	"goldcrestport/state/config"
	"goldcrestport/state/routing"
)

func (f RouteFields) values(r routing.Route) []value {
	return []value{
		shown(f.Host, r.Host), shown(f.Prefix, r.Prefix), shown(f.Kind, r.Kind), shown(f.Resumable, r.Resumable),
		shown(f.Timeout, r.Timeout), shown(f.Objective, r.Objective), shown(f.Pause, r.Pause), shown(f.Priority, r.Priority),
		shown(f.Split, targetsText(r.Targets)), shown(f.Attempts, r.Attempts), shown(f.Public, r.Public),
		listed(f.Homes, r.Homes), shown(f.Prompts, r.Prompts),
	}
}

// targetsText lists services with their weights, the shares of the split.
func targetsText(targets []routing.Target) string {
	out := make([]string, len(targets))
	for i, t := range targets {
		out[i] = t.Service + ":" + strconv.FormatFloat(t.Weight, 'g', -1, 64)
	}
	return strings.Join(out, " ")
}

func (f ServiceFields) values(s routing.Service) []value {
	return []value{
		shown(f.HealthPath, s.HealthPath), shown(f.Connections, s.Connections), shown(f.ColdFor, s.ColdFor), shown(f.ColdRate, s.ColdRate),
		shown(f.Slots, s.Engine.Slots), shown(f.Memory, s.Engine.Memory), shown(f.EventTokens, s.Engine.EventTokens),
		shown(f.TokenBytes, s.Engine.TokenBytes), shown(f.LinkMbps, s.Engine.LinkMbps),
	}
}

func (f TeamFields) values(t routing.Team) []value {
	return []value{{field: f.Keys, secrets: t.Keys}, shown(f.Priority, t.Priority), listed(f.Homes, t.Homes)}
}

func (f LimitFields) values(l routing.Limits) []value {
	return []value{
		shown(f.HeaderBytes, l.HeaderBytes), shown(f.BodyBytes, l.BodyBytes), shown(f.HeaderTimeout, l.HeaderTimeout),
		shown(f.IdleTimeout, l.IdleTimeout), shown(f.TokensPerSecond, l.TokensPerSecond),
	}
}

func documentTeamValues(t config.Team) []value {
	return []value{
		shown("share", t.Share), {field: "tokens", secrets: t.Tokens}, listed("services", t.Services),
		shown("max_queued", t.MaxQueued), shown("max_queued_bytes", t.MaxQueuedBytes),
	}
}

func documentServiceValues(s config.Service) []value {
	models := make([]string, len(s.Models))
	for i, m := range s.Models {
		models[i] = m.Name + "@" + m.Version
		if m.Adapter {
			models[i] += " (adapter)"
		}
	}
	return []value{
		shown("kind", s.Kind), listed("non_idempotent", s.NonIdempotent), shown("max_body", s.MaxBody), listed("models", models),
		shown("checks_fence", s.ChecksFence), shown("wave", s.Wave), shown("role", s.Role),
	}
}
