package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// firstVersion is the software version of all servers at the start.
const firstVersion = "v1"

// resumesStreams reports whether callers resume streams.
func (w *World) resumesStreams() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versioned
}

// release is planned work: one engine after the other leaves and is replaced by one of the next
// version. Releases overlap with each other and with all else.
func (i *injector) release() failure {
	version := i.nextVersion()
	engines, gap := 1+i.random.IntN(3), i.length(100*time.Millisecond, time.Second)
	var chosen []*server
	for range engines {
		if s := i.takeEngine(); s != nil {
			chosen = append(chosen, s)
		}
	}
	return failure{kind: "release", router: noRouter, planned: true, do: func() {
		for _, s := range chosen {
			i.open.Go(func() { i.drainFor(s, false, version) })
			time.Sleep(gap)
		}
	}}
}

// nextVersion returns a version that no engine has yet.
func (i *injector) nextVersion() string {
	i.w.mu.Lock()
	defer i.w.mu.Unlock()
	i.w.releases++
	return fmt.Sprintf("v%d", i.w.releases+1)
}

// takeEngine takes a random engine that is to leave, unless only two are left.
func (i *injector) takeEngine() *server {
	return i.takeEngineOf(i.random, func(*server) bool { return true })
}

// takeEngineOf takes a random engine of those that fit, unless only two engines are left or none fits.
func (i *injector) takeEngineOf(random *rand.Rand, fits func(*server) bool) *server {
	i.w.mu.Lock()
	defer i.w.mu.Unlock()
	var fitting []*server
	staying := 0
	for n := 1; n <= i.w.nextID; n++ {
		s := i.w.servers[i.w.serverID(n)]
		if s != nil && !s.leaving && s.Service == engineService {
			staying++
			if fits(s) {
				fitting = append(fitting, s)
			}
		}
	}
	if staying < 3 || len(fitting) == 0 {
		return nil
	}
	s := fitting[random.IntN(len(fitting))]
	s.leaving = true
	i.w.Record.endsServing(s)
	return s
}

// Bounds of a restart of an engine as another version: how long its address refuses
// connections, and how long it then serves before its entry says its version.
const (
	leastRestart = 20 * time.Millisecond
	mostRestart  = time.Second
	mostUnseen   = 1500 * time.Millisecond
)

// restartAsOther ends an engine without notice; it starts again under its id and address as the
// next version, and serves for a time before its entry says so.
func (i *injector) restartAsOther() failure {
	s := i.takeEngine()
	if s == nil {
		return nothing()
	}
	version := i.nextVersion()
	inOrder, down, unseen := i.endsInOrder(), i.length(leastRestart, mostRestart), i.length(leastRestart, mostUnseen)
	return failure{kind: serverCrash, router: noRouter, server: s.ID, do: func() {
		address := s.link.Addr()
		s.crash(inOrder)
		time.Sleep(down)
		l := launch{id: s.ID, service: s.Service, version: version, address: address, unseen: unseen}
		err := i.w.launch(l)
		if err != nil {
			// The kernel gave the port to a connection meanwhile.
			l.address = "127.0.0.1:0"
			err = i.w.launch(l)
		}
		if err != nil {
			i.w.Record.add(func() { i.w.Record.Exits = append(i.w.Record.Exits, "a server did not start again: "+err.Error()) })
		}
	}}
}

// Figures of callers who resume streams.
const (
	// mostTries is the number of attempts at one stream.
	mostTries = 4
	// breakPart of the attempts are broken off by their callers to be resumed, out of 100.
	breakPart = 40
)

// errBroke is the end of a stream that its caller broke off.
var errBroke = errors.New("the caller broke the stream off to resume it")

// resumeUntilWhole asks for a stream, and takes it up at any router while it breaks off, naming
// the attempt that brought its first event.
func (c *caller) resumeUntilWhole(team, body string) {
	tokens := 5 + c.random.IntN(mostTokens)
	call := Call{Kind: Resumable, Team: team, Body: body}
	for range mostTries {
		call.Broke = c.random.IntN(100) < breakPart
		after, got := c.attemptOf(call, tokens)
		if got.Whole && got.Status == 200 || !got.Left.IsZero() && !got.Broke {
			return
		}
		if got.Last > call.After && call.Resumes == "" {
			call.Resumes = got.ID
		}
		call.After = max(call.After, got.Last)
		time.Sleep(after)
		c.move()
	}
}

// breakAfter returns the event before which the caller breaks the stream off.
func (c *Call) breakAfter(last int) int { return c.After + 2 + (last-c.After)/2 }

// sawEvent records an event.
func (c *Call) sawEvent(n int, version string) {
	c.Last = n
	if !slices.Contains(c.Versions, version) {
		c.Versions = append(c.Versions, version)
	}
}

// versionOf returns the software version that an event names.
func versionOf(event string) string {
	for line := range strings.Lines(event) {
		if version, is := strings.CutPrefix(line, "event: "); is {
			return strings.TrimSpace(version)
		}
	}
	return ""
}

// startsServing records that a process of an engine has been entered.
func (r *Record) startsServing(s *server) {
	r.add(func() {
		for _, one := range r.Served {
			if one.Server == s.ID && one.Born == s.born.UnixMilli() {
				return
			}
		}
		r.Served = append(r.Served, Serving{Server: s.ID, Version: s.Version, Born: s.born.UnixMilli(), From: time.Now()})
	})
}

// endsServing records that an engine leaves or ends.
func (r *Record) endsServing(s *server) {
	r.add(func() {
		for n, one := range r.Served {
			if one.Server == s.ID && one.Until.IsZero() {
				r.Served[n].Until = time.Now()
			}
		}
	})
}
