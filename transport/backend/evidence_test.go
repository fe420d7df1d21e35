package backend

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// evidence opens a connection, takes it for that of an answer, and returns what is known of its process.
func (f *vouchFixture) evidence() (*conn, *Evidence) {
	f.Helper()
	c, err := f.pool.dial(context.Background(), f.to)
	f.Assert(err, qt.IsNil)
	ev := (&Answer{pool: f.pool, conn: c}).Evidence()
	return c, &ev
}

// confirm confirms the entries again and again for the time, and reviews the evidence each time, until
// the finding is not Open.
func (f *vouchFixture) confirm(ev *Evidence, lag time.Duration) Finding {
	f.Helper()
	for end := time.Now().Add(lag); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.pool.Confirmed(time.Now())
		if found := f.pool.Review([]*Evidence{ev})[0]; found != Open {
			return found
		}
	}
	return Open
}

// Guards against a doubt that is settled for another process, or never for the same one: each way in
// which an answer's connection may end, and what follows at the address.
func TestReview(t *testing.T) {
	const lag = 100 * time.Millisecond
	for name, tc := range map[string]struct {
		then func(f *vouchFixture, c *conn)
		want Finding
	}{
		"the connection is still open":     {func(*vouchFixture, *conn) {}, Settled},
		"it is closed, a witness is open":  {func(f *vouchFixture, c *conn) { f.keep(); _ = c.Close() }, Settled},
		"it is closed, and nothing is":     {func(f *vouchFixture, c *conn) { _ = c.Close() }, Lost},
		"a witness is opened afterwards":   {func(f *vouchFixture, c *conn) { _ = c.Close(); f.keep() }, Lost},
		"the process ends":                 {func(f *vouchFixture, _ *conn) { f.keep(); f.restart(); f.keep() }, Lost},
		"the entry names another version":  {func(f *vouchFixture, _ *conn) { f.keep(); f.pool.Entered("i-1") }, Lost},
		"the entry has gone":               {func(f *vouchFixture, _ *conn) { f.keep(); f.pool.Left("i-1") }, Lost},
		"several witnesses, one after one": {func(f *vouchFixture, c *conn) { f.keep(); _ = c.Close(); time.Sleep(lag / 4); f.keep() }, Settled},
	} {
		f := startVouching(t, lag)
		time.Sleep(2 * lag)
		c, ev := f.evidence()
		f.Check(f.pool.Review([]*Evidence{ev})[0], qt.Equals, Open, qt.Commentf(name))
		tc.then(f, c)
		f.Check(f.confirm(ev, 4*lag), qt.Equals, tc.want, qt.Commentf(name))
	}
}

// keep keeps a witness for the present process.
func (f *vouchFixture) keep() {
	f.Helper()
	f.Assert(f.pool.KeepKnown(context.Background(), f.to), qt.IsNil)
}

// Guards against a witness that is opened for a doubt and ends it: the entry is not taken as if it were
// new, as when a release begins.
func TestAWitnessForADoubtDoesNotEndIt(t *testing.T) {
	f := startVouching(t, time.Minute)
	f.Check(f.open(), qt.IsTrue)
	f.restart()
	f.Check(f.open(), qt.IsFalse)
	f.keep()
	f.Check(f.open(), qt.IsFalse)
}
