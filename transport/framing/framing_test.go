package framing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Statuses below 100 and above 599 are none of a response.
func TestStatuses(t *testing.T) {
	for status, want := range map[int]bool{0: false, 99: false, 100: true, 200: true, 599: true, 600: false, 999: false} {
		qt.Check(t, IsStatus(status), qt.Equals, want, qt.Commentf("%d", status))
	}
}
