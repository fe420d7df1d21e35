package slopes

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Marks in docs/CAPACITY-SIDECARS.md between which the tables stand.
const (
	markBegin = "<!-- slopes: begin, written by make slopes -->"
	markEnd   = "<!-- slopes: end -->"
)

// Report is the result of a measurement.
type Report struct {
	Series []Series         `json:"series"`
	Failed map[string]int64 `json:"failed_calls"`
	rows   []row
}

func newReport(m *measurement) *Report {
	r := &Report{Failed: m.failed, rows: budget(&m.set, Target)}
	for _, s := range m.set.order {
		r.Series = append(r.Series, *s)
	}
	return r
}

// ReadReport reads the report of an earlier run.
func ReadReport(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, file)
	}
	s := set{}
	for i := range r.Series {
		s.order = append(s.order, &r.Series[i])
	}
	r.rows = budget(&s, Target)
	return &r, nil
}

// Markdown renders the tables.
func (r *Report) Markdown() string {
	var b strings.Builder
	b.WriteString("### At the size to design for\n\n")
	b.WriteString(renderBudget(r.rows))
	b.WriteString("\n### Measured slopes\n\n")
	b.WriteString("Each point is the mean of three windows, ± half the distance between the least and the greatest.\n\n")
	b.WriteString("| role | cost | over | points | slope | at zero | R² |\n|---|---|---|---|---|---|---|\n")
	for _, s := range r.Series {
		f := s.Fit()
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %.4g ± %.2g", p.X, p.Y, p.Spread))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.4g | %.4g | %.3f |\n",
			s.Role, s.Cost, s.Per, strings.Join(points, "<br>"), f.Slope, f.Intercept, f.R2)
	}
	return b.String()
}

func renderBudget(rows []row) string {
	var b strings.Builder
	b.WriteString("| role | cost | what | formula | value | budget | verdict |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		limit := "-"
		if r.budget > 0 {
			limit = fmt.Sprintf("%.4g", r.budget)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.4g | %s | %s |\n",
			r.role, r.cost, r.note, r.formula, r.value, limit, r.verdict())
	}
	return b.String()
}

// WriteInto replaces the tables in the page.
func (r *Report) WriteInto(file string) error {
	old, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	text, err := splice(string(old), r.Markdown())
	if err != nil {
		return errors.Wrap(err, file)
	}
	return os.WriteFile(file, []byte(text), 0o644)
}

// splice replaces what stands between the marks.
func splice(page, tables string) (string, error) {
	before, rest, ok1 := strings.Cut(page, markBegin)
	_, after, ok2 := strings.Cut(rest, markEnd)
	if !ok1 || !ok2 {
		return "", errors.New("the marks for the tables are missing")
	}
	return before + markBegin + "\n" + tables + markEnd + after, nil
}
