package virtualtime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestEventsRunInTimeOrder(t *testing.T) {
	c := qt.New(t)
	var q Queue
	var got []string
	record := func(name string) func() { return func() { got = append(got, name) } }
	start := q.Now
	q.After(2*time.Second, record("second"))
	q.After(time.Second, func() {
		record("first")()
		q.After(time.Second, record("third, scheduled later"))
	})
	q.After(4*time.Second, record("after the end"))
	q.RunUntil(start.Add(3 * time.Second))
	c.Check(got, qt.DeepEquals, []string{"first", "second", "third, scheduled later"})
	c.Check(q.Now, qt.Equals, start.Add(3*time.Second))
}
