package direct

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"goldcrestport/coordination/origin"
	"goldcrestport/coordination/roster"
	"goldcrestport/coordination/versions"
	"goldcrestport/protocol/originmsg"
)

// Limits of how long answers are awaited: a share of the time that the caller has left, as a router
// without processor time answers late.
const (
	askShare    = 8
	minAskLimit = 25 * time.Millisecond
	maxAskLimit = 150 * time.Millisecond
)

// askLimit returns how long answers are awaited for a caller that has so much time left. A stream that
// is not known to have a choice of versions or services goes on without an answer.
func askLimit(left time.Duration, isMixed bool) time.Duration {
	if !isMixed {
		return minAskLimit
	}
	return min(max(left/askShare, minAskLimit), maxAskLimit)
}

// asked is the result of asking other routers for the origin of a stream.
type asked struct {
	known   origin.Known
	isKnown bool
	// isMixed means that one of them knows of several versions of the service.
	isMixed bool
	// routers is the number of routers that were asked, and answered that of those that answered.
	routers, answered int
	// isAll means that no other router is registered than those that were asked.
	isAll bool
	// own is what this router says of a stream that no router knows, and said what those say that answered.
	own  versions.Statement
	said []versions.Statement
}

// conclude returns the version at which the stream began that no router knows, if all routers together say so.
func (a asked) conclude() (roster.Version, versions.Conclusion) {
	if !a.isAll || a.answered < a.routers || len(a.said) < a.routers {
		return "", versions.Unproven
	}
	return versions.Conclude(a.own, a.said)
}

// heard returns what the answer says of a stream that its router does not know.
func (o *origins) heard(m originmsg.Message) versions.Statement {
	s := m.Says
	s.Registered = o.seen(m.Router)
	return s
}

// seen returns the process that is registered for the router, as far as this one knows.
func (o *origins) seen(router string) versions.Life {
	o.r.mu.Lock()
	defer o.r.mu.Unlock()
	return o.r.peers[router].Life
}

// prove asks all other routers at which version streams of the service began that none of them knows.
func (o *origins) prove(ctx context.Context, service string) (roster.Version, versions.Conclusion) {
	fleet, _ := o.others(time.Now())
	if got := fleet.Holders(0); len(got) < fleet.Size()-1 {
		return "", versions.Unproven
	}
	got := o.ask(ctx, 0, service, true, minAskLimit)
	if got.isKnown {
		return "", versions.Unproven
	}
	return got.conclude()
}

// ask asks the routers that may know where the stream began; unless one of them does, and the service
// is known to have several versions, also all others of the data centre. Answers are awaited for the
// limit each time.
func (o *origins) ask(ctx context.Context, id origin.ID, service string, isMixed bool, limit time.Duration) asked {
	before := o.says(service)
	fleet, addresses := o.others(time.Now())
	own := o.says(service)
	holders := fleet.Holders(id)
	got := o.askRouters(ctx, id, service, holders, addresses, limit)
	got.own = own
	// The others that are asked must be those that the statement is about.
	got.isAll = len(holders) == fleet.Size()-1 && before.Members == own.Members
	if got.isKnown || !isMixed && !got.isMixed || got.answered < got.routers {
		return got
	}
	rest := slices.DeleteFunc(slices.Clone(fleet.Near), func(one string) bool { return slices.Contains(holders, one) })
	if len(rest) == 0 {
		return got
	}
	more := o.askRouters(ctx, id, service, rest, addresses, limit)
	more.routers, more.answered, more.isMixed = more.routers+got.routers, more.answered+got.answered, more.isMixed || got.isMixed
	return more
}

// askRouters asks the routers, and returns when one knows the origin, all have answered, or it takes
// too long.
func (o *origins) askRouters(ctx context.Context, id origin.ID, service string, routers []string, addresses map[string]netip.AddrPort, await time.Duration) asked {
	got := asked{routers: len(routers)}
	if len(routers) == 0 {
		return got
	}
	answers := make(chan originmsg.Message, 2*len(routers))
	o.mu.Lock()
	o.number++
	number := o.number
	o.asking[number] = answers
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.asking, number)
		o.mu.Unlock()
	}()
	open := make(map[string]bool, len(routers))
	for _, one := range routers {
		open[one] = true
	}
	sendAll := func() {
		for one := range open {
			o.send(addresses[one], originmsg.Message{Kind: originmsg.Asks, Number: number, ID: id, Service: service})
		}
	}
	sendAll()
	again, limit := time.NewTimer(askAgain), time.NewTimer(await)
	defer again.Stop()
	defer limit.Stop()
	for len(open) > 0 {
		select {
		case m := <-answers:
			if open[m.Router] {
				delete(open, m.Router)
				got.answered++
				got.said = append(got.said, o.heard(m))
			}
			got.isMixed = got.isMixed || m.Mixed
			if m.IsKnown {
				got.known, got.isKnown = m.Known, true
				return got
			}
		case <-again.C:
			sendAll()
			again.Reset(askInterval)
		case <-limit.C:
			return got
		case <-ctx.Done():
			return got
		}
	}
	return got
}
