package virtualtime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestThingsHappenInTheOrderOfTheirTimes(t *testing.T) {
	c := qt.New(t)
	var q Queue
	var got []string
	say := func(what string) func() { return func() { got = append(got, what) } }
	start := q.Now
	q.After(2*time.Second, say("second"))
	q.After(time.Second, func() {
		say("first")()
		q.After(time.Second, say("third, asked for later"))
	})
	q.After(4*time.Second, say("after the end"))
	q.RunUntil(start.Add(3 * time.Second))
	c.Check(got, qt.DeepEquals, []string{"first", "second", "third, asked for later"})
	c.Check(q.Now, qt.Equals, start.Add(3*time.Second))
}
