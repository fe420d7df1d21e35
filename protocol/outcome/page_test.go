package outcome

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The page for operators and callers lists every reason for which a request can end.
func TestThePageListsEveryReason(t *testing.T) {
	source, err := os.ReadFile("outcome.go")
	qt.Assert(t, err, qt.IsNil)
	page, err := os.ReadFile("../../docs/OUTCOMES.md")
	qt.Assert(t, err, qt.IsNil)
	reasons := regexp.MustCompile(`Reason = "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	qt.Assert(t, len(reasons) > 0, qt.IsTrue)
	for _, reason := range reasons {
		qt.Check(t, strings.Contains(string(page), "`"+reason[1]+"`"), qt.IsTrue, qt.Commentf(reason[1]))
	}
}
