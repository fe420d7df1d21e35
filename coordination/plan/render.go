package plan

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"goldcrestport/state/config"
)

// maxSummary limits a summary, in bytes, so that the history stays small.
const maxSummary = 240

// summaryNames is the maximum number of names of each kind in a summary.
const summaryNames = 4

func plural(n int, one, more string) string {
	if n == 1 {
		return one
	}
	return more
}

func sortedServices(d *config.Document) []string {
	return slices.Sorted(maps.Keys(d.Services))
}

// summary returns the plan in one line of bounded length.
func summary(p *Plan) string {
	var parts []string
	add := func(kind string, names []string) {
		if len(names) == 0 {
			return
		}
		text := strings.Join(names[:min(len(names), summaryNames)], ", ")
		if more := len(names) - summaryNames; more > 0 {
			text += fmt.Sprintf(" and %d more", more)
		}
		parts = append(parts, kind+" "+text)
	}
	add("teams", teamMarks(p.Teams))
	var services, drained, undrained, operators []string
	for _, s := range p.Services {
		services = append(services, mark(s.Action)+s.Service)
	}
	for _, b := range p.Backends {
		if b.Drained {
			drained = append(drained, b.Backend)
		} else {
			undrained = append(undrained, b.Backend)
		}
	}
	for _, o := range p.Operators {
		operators = append(operators, mark(o.Action)+o.Operator)
	}
	add("services", services)
	add("drain", drained)
	add("undrain", undrained)
	var evacuated, restored []string
	for _, d := range p.DataCentres {
		if d.Evacuated {
			evacuated = append(evacuated, d.DataCentre)
		} else {
			restored = append(restored, d.DataCentre)
		}
	}
	add("evacuate", evacuated)
	add("take back", restored)
	add("operators", operators)
	if len(parts) == 0 {
		return "no change"
	}
	text := strings.Join(parts, "; ")
	return text[:min(len(text), maxSummary)]
}

func teamMarks(teams []TeamChange) []string {
	out := make([]string, len(teams))
	for i, t := range teams {
		out[i] = mark(t.Action) + t.Team
		if t.Action == Changed && t.ShareBefore != t.ShareAfter {
			out[i] += " " + number(t.ShareBefore) + "->" + number(t.ShareAfter)
		}
	}
	return out
}

func mark(a Action) string {
	switch a {
	case Added:
		return "+"
	case Removed:
		return "-"
	default:
		return "~"
	}
}

func number(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func percent(x float64) string { return strconv.FormatFloat(100*x, 'f', 1, 64) + " %" }

// Lines returns the plan as lines of text for an operator.
func (p *Plan) Lines() []string {
	out := []string{fmt.Sprintf("Plan against revision %d: %s", p.BaseRevision, p.Summary)}
	for _, t := range p.Teams {
		out = append(out, t.lines()...)
	}
	for _, o := range p.Pools {
		out = append(out, fmt.Sprintf("The other %d %s of %s: %s of their present part each",
			o.Others, plural(o.Others, "team", "teams"), o.Service, percent(o.Factor)))
	}
	for _, s := range p.Services {
		out = append(out, s.lines()...)
	}
	for _, d := range p.DataCentres {
		out = append(out, d.line())
	}
	for _, b := range p.Backends {
		out = append(out, b.line())
	}
	for _, o := range p.Operators {
		out = append(out, fmt.Sprintf("Operator %s: %s", o.Operator, o.Action))
	}
	out = append(out, noteLines("Will be refused:", p.Refused)...)
	return append(out, noteLines("Warnings:", p.Warnings)...)
}

func noteLines(head string, notes []Note) []string {
	if len(notes) == 0 {
		return nil
	}
	out := []string{head}
	for _, n := range notes {
		out = append(out, "  "+n.Text)
	}
	return out
}

func (t TeamChange) lines() []string {
	head := fmt.Sprintf("Team %s: %s, share %s", t.Team, t.Action, number(t.ShareAfter))
	switch {
	case t.Action == Removed:
		head = fmt.Sprintf("Team %s: removed, its share was %s", t.Team, number(t.ShareBefore))
	case t.Action == Changed && t.ShareBefore != t.ShareAfter:
		head = fmt.Sprintf("Team %s: share %s -> %s", t.Team, number(t.ShareBefore), number(t.ShareAfter))
	case t.Action == Changed:
		head = fmt.Sprintf("Team %s: changed, share still %s", t.Team, number(t.ShareAfter))
	}
	out := []string{head}
	for _, f := range t.Pools {
		out = append(out, fmt.Sprintf("  of %s: %s -> %s", f.Service, percent(f.Before), percent(f.After)))
	}
	if t.Action == Changed {
		out = append(out, listLine("  gains ", t.Gained)...)
		out = append(out, listLine("  loses ", t.Lost)...)
	}
	if t.TokensAdded+t.TokensRemoved > 0 {
		out = append(out, fmt.Sprintf("  tokens: %d added, %d removed", t.TokensAdded, t.TokensRemoved))
	}
	return append(out, fieldLines(t.Fields)...)
}

func listLine(head string, names []string) []string {
	if len(names) == 0 {
		return nil
	}
	return []string{head + strings.Join(names, ", ")}
}

func fieldLines(fields []Field) []string {
	var out []string
	for _, f := range fields {
		before := f.Before
		if before == "" {
			before = "none"
		}
		after := f.After
		if after == "" {
			after = "none"
		}
		out = append(out, fmt.Sprintf("  %s: %s -> %s", f.Name, before, after))
	}
	return out
}

func (s ServiceChange) lines() []string {
	out := []string{fmt.Sprintf("Service %s: %s", s.Service, s.Action)}
	out = append(out, fieldLines(s.Fields)...)
	return append(out, listLine("  backend servers: ", s.Backends)...)
}

func (d DataCentreChange) line() string {
	if d.Evacuated {
		return fmt.Sprintf("Data centre %s: evacuated: its backend servers get no new work, what runs is finished", d.DataCentre)
	}
	return fmt.Sprintf("Data centre %s: its backend servers take work again", d.DataCentre)
}

func (b BackendChange) line() string {
	effect := "takes work again"
	if b.Drained {
		effect = "drained: gets no new work, what runs is finished"
	}
	if b.Service == "" {
		return fmt.Sprintf("Backend server %s: %s", b.Backend, effect)
	}
	return fmt.Sprintf("Backend server %s of %s: %s", b.Backend, b.Service, effect)
}
