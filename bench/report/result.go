package report

// PolicyResult holds the figures of one policy. Times are in milliseconds. A
// figure that could not be measured is null.
type PolicyResult struct {
	Policy string `json:"policy"`
	// FairnessGap is the largest difference of cost per share between two
	// continuously backlogged teams, divided by MeanRequestCost.
	FairnessGap float64 `json:"fairness_gap"`
	// GapBound is what the gap must stay below, in the same unit.
	GapBound    float64 `json:"gap_bound"`
	Utilisation float64 `json:"utilisation"`
	// IdleWhileWaiting is the part of the slot time that was idle while a
	// request of the service waited anywhere, by sampling the engines.
	IdleWhileWaiting float64 `json:"idle_while_waiting_fraction"`
	// LightWait is the time from the caller's sending to the engine's start.
	LightWait float64 `json:"light_team_wait_p95_ms"`
	// TTFT is the time to the first byte of all answered model requests,
	// queueing included.
	TTFT float64 `json:"ttft_p95_ms"`
	// ControlBytes a second of one router or sidecar, in and out.
	ControlBytes *float64 `json:"control_bytes_per_s_per_process"`
	// ControlCPU is the part of a core that a router or sidecar used while
	// work waited and no request moved.
	ControlCPU *float64 `json:"control_cpu_fraction"`
	Requests   int      `json:"requests"`
	Errors     int      `json:"errors"`

	Refused int `json:"refused"`
	// MeanRequestCost and MeanService are over the runs that ended.
	MeanRequestCost float64 `json:"mean_request_cost"`
	MeanService     float64 `json:"mean_service_ms"`
	// SidecarIdle is the idle fraction that the sidecars told themselves.
	SidecarIdle *float64 `json:"idle_by_sidecars_fraction"`
	// LightTTFT and StartedTTFT: first byte of light teams from the sending,
	// and of all model requests from the engine's start.
	LightTTFT   float64 `json:"light_ttft_p95_ms"`
	StartedTTFT float64 `json:"ttft_after_start_p95_ms"`
	// PlainTTFT is the time to the first byte of the plain service's calls.
	PlainTTFT float64 `json:"plain_ttft_p95_ms"`
	// Backlogged are the teams that the gap is taken over.
	Backlogged []string `json:"backlogged"`
	// ServicePerShare by backlogged team, in mean request costs.
	ServicePerShare map[string]float64 `json:"service_per_share"`
	Windows         []WindowGap        `json:"windows"`
	// LongestSilence is the longest time without a completion, by team.
	LongestSilence map[string]float64 `json:"longest_silence_ms"`
	// RouterControlCPU is ControlCPU of the routers alone.
	RouterControlCPU *float64 `json:"control_cpu_fraction_router"`
	// RouterBytes, SidecarBytes are ControlBytes by role; LargestBytes that
	// of the process with the most.
	RouterBytes  *float64 `json:"control_bytes_per_s_router"`
	SidecarBytes *float64 `json:"control_bytes_per_s_sidecar"`
	LargestBytes *float64 `json:"control_bytes_per_s_largest"`
	// RouterCPU and SidecarCPU are the part of a core used in the window, for
	// everything that the process does.
	RouterCPU  float64 `json:"cpu_fraction_router"`
	SidecarCPU float64 `json:"cpu_fraction_sidecar"`
	// RequestRate is the completed requests a second.
	RequestRate float64 `json:"requests_per_s"`
}

// WindowGap tells the gaps over all windows of one length that lie within the
// trial, in mean request costs.
type WindowGap struct {
	Seconds float64 `json:"seconds"`
	// Placements is the number of windows, which overlap.
	Placements int     `json:"placements"`
	Median     float64 `json:"median"`
	Largest    float64 `json:"largest"`
}

// Report is the outcome of a run of the tool.
type Report struct {
	// PolicyResults holds the medians over the repeated trials.
	PolicyResults []PolicyResult `json:"policy_results"`
	Chosen        string         `json:"chosen"`
	NotRun        []string       `json:"not_run"`
	Repeats       int            `json:"repeats"`
	Seconds       float64        `json:"seconds"`
	RateScale     float64        `json:"rate_scale"`
	Restarted     int            `json:"restarted_routers"`
	Spread        []Spread       `json:"spread"`
	// Checks hold the chosen policy's medians against the targets.
	Checks []Check `json:"checks"`
}

// Spread holds the least and the largest figure over the repeats.
type Spread struct {
	Policy           string     `json:"policy"`
	FairnessGap      [2]float64 `json:"fairness_gap"`
	Utilisation      [2]float64 `json:"utilisation"`
	IdleWhileWaiting [2]float64 `json:"idle_while_waiting_fraction"`
	LightWait        [2]float64 `json:"light_team_wait_p95_ms"`
	TTFT             [2]float64 `json:"ttft_p95_ms"`
}
