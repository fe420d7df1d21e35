package prove

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"goldcrestport/bench/history"
)

// Report sums up runs.
type Report struct {
	runs       int
	requests   int
	order      []history.Promise
	checked    map[history.Promise]int
	violations map[history.Promise]int
	faults     map[string]int
	planned    map[string]int
	endings    map[string]int
	// last is the latest start of a run after a leave, by the way of leaving.
	last map[string]time.Duration
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		checked: map[history.Promise]int{}, violations: map[history.Promise]int{},
		faults: map[string]int{}, planned: map[string]int{}, endings: map[string]int{}, last: map[string]time.Duration{},
	}
}

// Add adds a run and its verdicts.
func (r *Report) Add(h *history.History, results []history.Result) {
	r.runs++
	r.requests += len(h.Calls)
	for _, res := range results {
		if !slices.Contains(r.order, res.Promise) {
			r.order = append(r.order, res.Promise)
		}
		r.checked[res.Promise] += res.Checked
		r.violations[res.Promise] += len(res.Violations)
	}
	for _, f := range h.Faults {
		if f.Planned {
			r.planned[f.Kind]++
		} else {
			r.faults[f.Kind]++
		}
	}
	for _, l := range h.Leaves {
		r.last[l.How] = max(r.last[l.How], h.LastStart(l))
	}
	for _, c := range h.Calls {
		r.endings[ending(c)]++
	}
}

func ending(c history.Call) string {
	if c.Ending != history.Answered {
		return string(c.Ending)
	}
	if c.Reason == "" {
		return string(c.Outcome)
	}
	return string(c.Outcome) + " " + c.Reason
}

// Violations returns the number of breaches in all runs.
func (r *Report) Violations() int { return sum(r.violations) }

func sum[K comparable](counts map[K]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// Print writes a line per promise, kind of failure and ending.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d runs, %d requests, %d failures, %d planned stops and leaves\n",
		r.runs, r.requests, sum(r.faults), sum(r.planned))
	for _, p := range r.order {
		fmt.Fprintf(w, "%s: %d runs, %d checked, %d violations\n", p, r.runs, r.checked[p], r.violations[p])
	}
	printCounts(w, "failure", r.faults)
	printCounts(w, "planned", r.planned)
	printCounts(w, "ending", r.endings)
	printCounts(w, "latest start after leaving by", r.last)
}

func printCounts[V any](w io.Writer, name string, counts map[string]V) {
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s %s: %v\n", name, key, counts[key])
	}
}
