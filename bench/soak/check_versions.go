package soak

import (
	"fmt"
	"slices"
	"time"
)

// joinedVersions finds streams with events of several software versions, in one answer or over
// the attempts of their callers, at whatever routers.
func joinedVersions(r *Record) []string {
	type part struct {
		call    Call
		version string
	}
	first := map[string]part{}
	var out []string
	for _, c := range r.Calls {
		for _, version := range c.Versions {
			stream := c.stream()
			began, known := first[stream]
			switch {
			case !known:
				first[stream] = part{c, version}
			case began.version != version:
				out = append(out, fmt.Sprintf("%s (%s) at router %d goes on after event %d with %s; %s at router %d was %s",
					c.ID, c.Kind, c.Router, c.After, version, began.call.ID, began.call.Router, began.version))
			}
		}
	}
	return out
}

// stream returns the attempt that brought the stream's first event.
func (c Call) stream() string {
	if c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// Bounds of the promise that streams go on: the users' for the share and the number of streams
// from which it counts, and how long two servers must have served.
const (
	leastResumed = 12
	leastShare   = .5
	servedFor    = time.Second
)

// judged is an attempt at a stream that counts for the promise that streams go on.
type judged struct {
	Call
	resumed bool
}

// judgedStreams returns the attempts that count, in the order of their ends: at routers that are calm,
// and of the resumed ones those for whose version two servers serve.
func judgedStreams(r *Record) []judged {
	firsts := map[string]Call{}
	for _, c := range r.Calls {
		if c.Resumes == "" && len(c.Versions) > 0 {
			firsts[c.ID] = c
		}
	}
	var out []judged
	for _, c := range r.Calls {
		if c.Kind != Resumable || !c.Left.IsZero() && c.Status == 0 || !r.undisturbed(c.Router, c.Sent, c.Ended) || r.keyRefused(c) {
			continue
		}
		first, began := firsts[c.Resumes]
		switch {
		case c.Resumes == "":
			out = append(out, judged{Call: c})
		case began && r.servedBy(first.Versions[0], c.Sent) >= 2:
			out = append(out, judged{c, true})
		}
	}
	return out
}

// sharesOf counts the streams that go on, and the new ones that begin.
func sharesOf(streams []judged) (resumed, fresh tally) {
	for _, c := range streams {
		if c.resumed {
			resumed.add(c.Status == 200)
		} else {
			fresh.add(c.Status == 200)
		}
	}
	return resumed, fresh
}

// lostOf compares the share of resumed streams that go on with that of new ones that begin, and
// reports what is lost if it is too small.
func lostOf(streams []judged) (string, bool) {
	resumed, fresh := sharesOf(streams)
	if resumed.all < leastResumed || resumed.share() >= leastShare*fresh.share() {
		return "", false
	}
	var lost []string
	for _, c := range streams {
		if c.resumed && c.Status != 200 && len(lost) < shownLost {
			lost = append(lost, fmt.Sprintf("%s at router %d: %d %s%s", c.ID, c.Router, c.Status, c.Err, c.Why))
		}
	}
	return fmt.Sprintf("%d of %d resumed streams went on, and %d of %d new ones began; lost: %v", resumed.good, resumed.all, fresh.good, fresh.all, lost), true
}

// lostStreams finds that too few of all resumed streams went on.
func lostStreams(r *Record) []string {
	if what, broken := lostOf(judgedStreams(r)); broken {
		return []string{what}
	}
	return nil
}

// shownLost is the number of lost streams that are named.
const shownLost = 12

// tally counts requests, and the good ones among them.
type tally struct{ all, good int }

func (t *tally) add(good bool) {
	t.all++
	if good {
		t.good++
	}
}

func (t tally) share() float64 { return float64(t.good) / float64(max(t.all, 1)) }

// keyRefused reports whether the call bore a key that was taken away.
func (r *Record) keyRefused(c Call) bool {
	return slices.ContainsFunc(r.Changes, func(one Change) bool { return one.Revoked == c.Key })
}

// servedBy returns how many engines of the version have served for a while at the time, and go on
// to serve.
func (r *Record) servedBy(version string, at time.Time) int {
	n := 0
	for _, s := range r.Served {
		if s.Version == version && s.From.Before(at.Add(-servedFor)) && (s.Until.IsZero() || s.Until.After(at.Add(servedFor))) {
			n++
		}
	}
	return n
}

// toldWithin is the time after which what a router knows of its streams is known beyond the routers.
const toldWithin = 2 * time.Second
