package direct

import (
	"slices"
	"strings"
	"time"

	"goldcrestport/coordination/admission"
	"goldcrestport/coordination/continuation"
	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/resumption"
	"goldcrestport/coordination/roster"
	"goldcrestport/state/eventstream"
	"goldcrestport/state/routing"
	"goldcrestport/transport/backend"
)

// stream is what is known of the stream that a request starts or resumes.
type stream struct {
	// bound is the origin at whose servers it may go on, if isBound.
	bound   origin.Origin
	isBound bool
	// isCertain means that the process that began it is known to be of the version or, where there
	// is one version, that there was no sign that it is not.
	isCertain bool
	// isStrict means that servers of other versions are known to others.
	isStrict bool
	// isRecorded means that this router keeps its origin for others.
	isRecorded bool
	// knownBy is the router that knew the origin first, as far as is known, and knownFor how long it
	// has been known to the router that said so; knownBy is empty if nobody knew it.
	knownBy  string
	knownFor time.Duration
	// asked is how long other routers were asked; askedRouters is their number, and answered that of those
	// that answered.
	asked                  time.Duration
	askedRouters, answered int
	// isOutOfStep means that the routers do not agree yet on who they are.
	isOutOfStep bool
	// found is the origin that was found, also if the stream may not go on there. It is of no use if
	// isUncertain, which is because routers know different ones if isConflicting.
	found                      origin.Origin
	isUncertain, isConflicting bool
	// cameAt is when the request was counted, and hasRelayed means that an event of it was relayed.
	cameAt     time.Time
	hasRelayed bool
	// door is why the stream does not go on, if that is known; isDoorLogged means that it is logged.
	door         resumption.Door
	isDoorLogged bool
	// doubtLeft is how long it takes until its origin is known, which is doubted.
	doubtLeft time.Duration
}

// streamID returns the id of the caller's attempt that brought the first event of the stream:
// this one's, unless the caller names an earlier one.
func (c *call) streamID() string {
	if c.meta.Resumes != "" {
		return c.meta.Resumes
	}
	return c.meta.ID
}

// resumesEarlier reports whether the caller resumes a stream of an earlier attempt.
func (c *call) resumesEarlier() bool {
	return c.route.Kind == routing.Streaming && (c.meta.LastEvent != "" || c.meta.Resumes != "")
}

// bindAnswer binds a stream whose answer starts to the version of its server: what follows must come
// from the same version.
func (c *call) bindAnswer() {
	if c.stream.isBound || c.route.Kind != routing.Streaming {
		return
	}
	c.stream.bound = origin.Origin{Service: c.service, Version: c.server.Version}
	c.stream.isBound, c.stream.knownBy = true, c.r.set.ID
}

// recordStream records the origin of a stream of which an event was relayed. It is doubted until the
// process that sends it is known to be of its version; where there is one version, unless there is a
// sign that the process is another one.
func (c *call) recordStream(answer *backend.Answer) {
	if !c.stream.isBound || c.stream.isRecorded && c.stream.isCertain {
		return
	}
	now := time.Now()
	c.r.mu.Lock()
	isMixed := c.r.versions.IsMixed(now, c.service)
	c.r.mu.Unlock()
	isCertain := c.stream.isCertain || c.stream.bound.Version == "" && !isMixed || answer.IsVouched() || !isMixed && answer.IsUnsuspected()
	id := origin.IDOf(c.streamID())
	switch {
	case !c.stream.isRecorded:
		c.r.origins.began(origin.Record{ID: id, Origin: c.stream.bound, Doubted: !isCertain}, len(c.route.Targets) > 1, isMixed)
		if !isCertain {
			c.r.doubts.add(c.streamID(), c.server, answer)
		}
		c.logBegan(now, isMixed, isCertain)
	case isCertain:
		c.r.origins.settled(id)
	}
	c.stream.isRecorded, c.stream.isCertain = true, isCertain
}

// logBegan logs the first event of a stream of a service with several versions, or of a doubted origin.
func (c *call) logBegan(now time.Time, isMixed, isCertain bool) {
	if c.resumesEarlier() || !isMixed && isCertain {
		return
	}
	if allowed, dropped := c.r.streamLines.Allow("stream_began", now); allowed {
		c.r.event("stream_began", "request", c.meta.ID, "service", c.service, "server", c.server.ID, "software", c.server.Version, "certain", isCertain, "left_out", dropped)
	}
}

// endStream records that this router relays the stream no more.
func (c *call) endStream() {
	if c.stream.isRecorded {
		c.r.origins.ended(origin.IDOf(c.streamID()))
	}
}

// requiredTrust returns what has to be known of the process that gets the request.
func (c *call) requiredTrust() backend.Trust {
	if !c.stream.isBound {
		return backend.AnyProcess
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	return c.requiredTrustLocked(time.Now())
}

// requiredTrustLocked is requiredTrust for callers that hold mu.
func (c *call) requiredTrustLocked(now time.Time) backend.Trust {
	isMixed := c.stream.isStrict || c.r.versions.IsMixed(now, c.service)
	switch {
	case !c.stream.isBound, c.stream.bound.Version == "" && !isMixed:
		// Servers that have no version are not distinguished.
		return backend.AnyProcess
	case isMixed:
		return backend.VouchedFor
	default:
		return backend.NoSuspect
	}
}

// bound returns the limit of the servers at which the stream may go on, or begin while its service gets a
// further version; nil if there is none. The caller holds mu.
func (c *call) bound(now time.Time) *admission.Bound {
	if !c.stream.isBound {
		return c.boundNew()
	}
	need := c.requiredTrustLocked(now)
	return &admission.Bound{
		Version:   c.stream.bound.Version,
		Resumes:   c.resumesEarlier() && c.stream.knownBy != "",
		Trusts:    func(identity string) bool { return c.r.pool.Offers(identity, need) },
		TrustedIn: func(identity string) time.Duration { return c.r.pool.TrustedIn(identity, need) },
	}
}

// boundNew returns the limit of the servers at which a new stream may begin. The caller holds mu.
func (c *call) boundNew() *admission.Bound {
	if c.route.Kind != routing.Streaming {
		return nil
	}
	only, isIntroducing := c.r.versions.Introducing(c.service)
	if !isIntroducing {
		return nil
	}
	return &admission.Bound{Version: only, Trusts: func(string) bool { return true }}
}

// Ways in which streams that are to go on end, besides the reasons of continuation.
const (
	// wentOn: it was sent to a server.
	wentOn = "sent"
	// noServer: no server of its version may get it now.
	noServer = "no-server-now"
)

// resumesAt records that the request is sent to a server that is to go on with a stream.
func (c *call) resumesAt(server roster.Server, events *eventstream.Follower) {
	if events.Count() == 0 && !c.resumesEarlier() {
		return
	}
	c.r.metrics.resumed.Add(wentOn, 1)
	c.logResumed(server, events.Count() > 0, events.LastEvent(), wentOn, resumption.Sent)
}

// goesOnNowhere records that a stream does not go on.
func (c *call) goesOnNowhere(how string, door resumption.Door) {
	c.stream.door = door
	if c.route.Kind != routing.Streaming || !c.answerBegun && !c.resumesEarlier() {
		return
	}
	c.r.metrics.resumed.Add(how, 1)
	c.stream.isDoorLogged = true
	c.logResumed(roster.Server{}, c.answerBegun, c.meta.LastEvent, how, door)
}

// resumedKey returns the key for the limit of lines about resumed streams: those that go on nowhere have
// a limit of their own, so that lines about others cannot starve them.
func resumedKey(door resumption.Door) string {
	if door == resumption.Sent {
		return "stream_resumed"
	}
	return "stream_resumed nowhere"
}

// logResumed logs what was decided about a stream that goes on after an event. The server is the
// zero value if it goes on nowhere.
func (c *call) logResumed(server roster.Server, within bool, after, how string, door resumption.Door) {
	now := time.Now()
	allowed, dropped := c.r.streamLines.Allow(resumedKey(door), now)
	if !allowed {
		return
	}
	c.r.mu.Lock()
	serving, recent := c.r.versions.Serving(c.service), c.r.versions.Recent(now, c.service)
	servers := c.survey(now)
	c.r.mu.Unlock()
	rates := c.r.rates.near(now, c.route.Name)
	c.r.event("stream_resumed", "request", c.meta.ID, "stream", c.streamID(), "service", c.service, "after", after, "within", within,
		"route", c.route.Name, "door", string(door), "began", c.origin().Version, "known_by", c.stream.knownBy, "known_ms", c.stream.knownFor.Milliseconds(), "uncertain", c.stream.isUncertain, "conflicting", c.stream.isConflicting,
		"asked_us", c.stream.asked.Microseconds(), "asked", c.stream.askedRouters, "answered", c.stream.answered, "out_of_step", c.stream.isOutOfStep,
		"servers", servers.Known, "servers_usable", servers.Usable()+servers.Untrusted, "servers_trusted", servers.Usable(),
		"new_came", rates.Came, "new_began", rates.Began, "resumed_came", rates.Resumed, "resumed_went_on", rates.WentOn,
		"versions", joinVersions(serving), "recent", joinVersions(recent), "config_age_ms", c.r.configAge().Milliseconds(),
		"server", server.ID, "software", server.Version, "how", how, "left_out", dropped)
}

// joinVersions writes versions as one value of a log line.
func joinVersions(all []roster.Version) string {
	texts := make([]string, len(all))
	for i, v := range all {
		texts[i] = string(v)
	}
	return strings.Join(slices.Compact(texts), "+")
}

// lackOfVersion returns why no server of the stream's version may get requests, if that has begun and
// none may.
func (c *call) lackOfVersion() continuation.Reason {
	if !c.stream.isBound {
		return continuation.ReasonNone
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	service := c.stream.bound.Service
	return continuation.LackOf(c.stream.bound.Version, c.r.versions.Serving(service), c.r.roster.Returning(time.Now(), service))
}

// eventTokens is the number of tokens in one event of the service's streams.
func (c *call) eventTokens() int {
	if s := c.table.Service(c.service); s != nil {
		return s.Engine.EventTokens
	}
	return 0
}
