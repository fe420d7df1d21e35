package report

import "fmt"

// Targets that the chosen policy has to meet.
const (
	// LeastFIFORatio is how many times smaller than FIFO's gap its gap is.
	LeastFIFORatio = 20
	// MostIdleWhileWaiting is a fraction of the slot time.
	MostIdleWhileWaiting = 0.005
	// LeastUtilisationRatio is to the best baseline's utilisation.
	LeastUtilisationRatio = 0.99
	// MostControlBytes a second and process.
	MostControlBytes = 15000
	// MostControlCPU is a part of a core.
	MostControlCPU = 0.047
	// MostWindowGrowth is the gap of the longest window to that of the
	// shortest.
	MostWindowGrowth = 1.25
)

// fifo is the name of the baseline that has no notion of teams.
const fifo = "push-fifo"

// Check is one target with the figure that it is held against.
type Check struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Limit is the largest value, or the smallest if AtLeast.
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"at_least"`
	Met     bool    `json:"met"`
}

// String is a line for a person.
func (c Check) String() string {
	word, sign := "met", "<="
	if !c.Met {
		word = "MISSED"
	}
	if c.AtLeast {
		sign = ">="
	}
	return fmt.Sprintf("%-6s %s: %.4g (%s %.4g)", word, c.Name, c.Value, sign, c.Limit)
}

func atMost(name string, value, limit float64) Check {
	return Check{Name: name, Value: value, Limit: limit, Met: value <= limit}
}

func atLeast(name string, value, limit float64) Check {
	return Check{Name: name, Value: value, Limit: limit, AtLeast: true, Met: value >= limit}
}

// Checks holds the chosen policy's figures against the targets. What was not
// measured is left out.
func Checks(results []PolicyResult, chosen string) []Check {
	var mine *PolicyResult
	best := 0.0
	for i, r := range results {
		if r.Policy == chosen {
			mine = &results[i]
		} else {
			best = max(best, r.Utilisation)
		}
	}
	if mine == nil {
		return nil
	}
	out := []Check{
		atMost("gap to its bound", mine.FairnessGap, mine.GapBound),
		atMost("idle while work waits", mine.IdleWhileWaiting, MostIdleWhileWaiting),
		atMost("light teams' wait to mean service", mine.LightWait, mine.MeanService),
	}
	out = append(out, windowCheck(*mine)...)
	for _, r := range results {
		if r.Policy == fifo {
			out = append(out, atLeast("gap of FIFO to this", ratio(r.FairnessGap, mine.FairnessGap), LeastFIFORatio))
		}
	}
	if best > 0 {
		out = append(out, atLeast("utilisation to best baseline's", mine.Utilisation/best, LeastUtilisationRatio))
	}
	return append(out, controlChecks(*mine)...)
}

func windowCheck(r PolicyResult) []Check {
	if len(r.Windows) < 2 {
		return nil
	}
	first, last := r.Windows[0], r.Windows[len(r.Windows)-1]
	return []Check{atMost("median gap of longest windows to shortest", ratio(last.Median, first.Median), MostWindowGrowth)}
}

func controlChecks(r PolicyResult) []Check {
	var out []Check
	if r.LargestBytes != nil {
		out = append(out, atMost("control bytes a second, largest process", *r.LargestBytes, MostControlBytes))
	}
	if r.ControlCPU != nil {
		out = append(out, atMost("control part of a core", *r.ControlCPU, MostControlCPU))
	}
	return out
}
