package direct

import (
	"strings"
	"time"

	"goldcrestport/protocol/settings"
)

// Reload applies the limits of changed settings. Addresses do not change until the process
// restarts.
func (r *Router) Reload(set settings.Direct, cfg Config) {
	r.memory.Store(set.Memory.Bytes())
	r.answerMemory.SetMemory(set.Memory.Bytes())
	r.mu.Lock()
	r.fresh.SetBound(cfg.Freshness)
	r.cfg.Freshness, r.cfg.Staleness = cfg.Freshness, cfg.Staleness
	r.versions.SetViewBound(cfg.Staleness.Bound)
	if cfg.Repeats != r.cfg.Repeats {
		// Budgets keep what they earned: new ones would earn a second allowance in the same window.
		r.cfg.Repeats = cfg.Repeats
		for _, b := range r.budgets {
			b.SetConfig(cfg.Repeats)
		}
	}
	r.warmup.SetConfig(cfg.Warmup)
	r.admission.SetPaceMode(cfg.Admission.Pace.Mode)
	r.admission.SetPromptMixMode(cfg.Admission.PromptMix.Mode)
	r.mu.Unlock()
	r.event("reloaded", "key_revocation", set.KeyRevocation.D(), "departure", set.Departure.D(), "repeat_ratio", set.Repeats.Ratio, "repeat_allowance", set.Repeats.Allowance,
		"cold_overrun", set.ColdServers.Overrun, "cold_slack", set.ColdServers.Slack, "engines_pace", set.Engines.Pace, "engines_prompt_mix", set.Engines.PromptMix)
}

// Rejected logs that changed settings were invalid.
func (r *Router) Rejected(err error) { r.event("reload_rejected", "err", err) }

// errorLines receives the lines that net/http logs about connections.
type errorLines struct{ r *Router }

// Write implements io.Writer.
func (e errorLines) Write(line []byte) (int, error) {
	if allowed, dropped := e.r.completedLines.Allow("http_server", time.Now()); allowed {
		e.r.event("http_server", "text", strings.TrimSpace(string(line)), "left_out", dropped)
	}
	return len(line), nil
}
