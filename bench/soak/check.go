package soak

import (
	"fmt"
	"slices"
	"time"

	"goldcrestport/standin/backend"
)

// Violation is one breach of a promise.
type Violation struct {
	Promise string
	What    string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Promise + ": " + v.What }

// check is one promise.
type check struct {
	promise string
	find    func(*Record) []string
	// live means that what it finds stays broken, so that it may be asked while the run goes on.
	live bool
}

// checks lists the promises of the users' pages that can be seen from outside.
var checks = []check{
	{"a request that may run once runs once", twice, true},
	{"a refusal is true", refusedButRan, true},
	{"answers are whole and the caller's own", mixed, true},
	{"a stream holds events of one software version", joinedVersions, true},
	{"a stream goes on at its software version", lostStreams, false},
	{"a stream goes on at its software version, in any ten seconds", lostInAnyWindow, true},
	{"a request runs for its own team", otherTeam, true},
	{"a key that was taken away works no more", revokedKeyRan, true},
	{"what the configuration allows is not denied", denied, false},
	{"a configuration is in force in time and never goes back", oldConfiguration, false},
	{"a leaving server gets no new work", ranAfterDeparture, false},
	{"a server that said that it leaves gets nothing", sentToLeaving, false},
	{"a server that wants no requests gets none", sentInBackoff, false},
	{"a planned stop cuts nothing", cutByStop, false},
	{"a final answer comes in time", lateAnswer, false},
	{"a caller that left ends its run", ranOn, false},
	{"nothing is sent after its deadline", sentLate, false},
	{"nothing runs after it ended for its caller", ranAfterEnd, false},
	{"nothing of what was on its way reaches a server that left", arrivedAfterDeparture, false},
	{"repeats are bounded", tooManyRepeats, true},
	{"a request that crashes servers reaches few more", crashedOn, false},
	{"a part of prompts that crashes servers reaches few more", partWentOn, true},
	{"what crashes no server is not refused for it", blamed, false},
	{"an evacuated data centre gets nothing", ranWhereEvacuated, false},
	{"cold servers get no more than they bear", tooManyForCold, true},
	{"the fleet recovers", notRecovered, false},
	{"a router's memory is bounded", tooMuchMemory, false},
	{"processes end only when told", func(r *Record) []string { return r.Exits }, false},
}

// Check returns what the record breaks. It must not be added to any more.
func Check(r *Record) []Violation {
	var out []Violation
	for _, c := range checks {
		for _, what := range c.find(r) {
			out = append(out, Violation{c.promise, what})
		}
	}
	return out
}

// calm reports whether no failure touched the router in the span or within the
// time before it in which machines count as out of touch.
func (r *Record) calm(router int, from, until time.Time) bool {
	return !slices.ContainsFunc(r.Failures, func(f Failure) bool {
		return !f.Planned && f.touches(router) && f.within(from.Add(-contact), until)
	})
}

// undisturbed reports the same of planned work, too.
func (r *Record) undisturbed(router int, from, until time.Time) bool {
	return r.calm(router, from, until) && !slices.ContainsFunc(r.Failures, func(f Failure) bool {
		return f.Planned && f.Router == router && f.within(from.Add(-contact), until)
	})
}

// faultyServer reports whether a server that ran the call failed meanwhile.
func (r *Record) faultyServer(c Call) bool {
	return r.serverFailed(c, func(Failure) bool { return true })
}

// unreachedServer reports whether the way to a server that ran the call was
// disturbed meanwhile.
func (r *Record) unreachedServer(c Call) bool {
	return r.serverFailed(c, func(f Failure) bool { return f.Kind == serverLink || f.Kind == serverCrash })
}

func (r *Record) serverFailed(c Call, counts func(Failure) bool) bool {
	return slices.ContainsFunc(r.Failures, func(f Failure) bool {
		return !f.Planned && counts(f) && f.within(c.Sent.Add(-contact), c.Ended) &&
			slices.ContainsFunc(r.Runs[c.ID], func(run backend.Run) bool { return run.Server == f.Server })
	})
}

func (f Failure) touches(router int) bool { return f.Router == router || f.Router == everyRouter }

// within reports whether the failure overlaps the span. One that has not ended
// goes on for ever.
func (f Failure) within(from, until time.Time) bool {
	return f.From.Before(until) && (f.Until.IsZero() || f.Until.After(from))
}

func twice(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		if runs := r.Runs[c.ID]; !c.Kind.repeatable() && len(runs) > 1 {
			out = append(out, fmt.Sprintf("%s (%s) ran %d times: %+v", c.ID, c.Kind, len(runs), runs))
		}
	}
	return out
}

// promises lists the statuses that say that a request was not run.
var promises = []int{408, 421, 429, 503}

func refusedButRan(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		if runs := r.Runs[c.ID]; slices.Contains(promises, c.Status) && len(runs) > 0 {
			out = append(out, fmt.Sprintf("%s (%s) got %d and ran: %+v", c.ID, c.Kind, c.Status, runs))
		}
	}
	return out
}

func mixed(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		if c.Problem != "" {
			out = append(out, fmt.Sprintf("%s (%s) at router %d: %s", c.ID, c.Kind, c.Router, c.Problem))
		}
	}
	return out
}

func otherTeam(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		for _, run := range r.Runs[c.ID] {
			if run.Team != c.Team {
				out = append(out, fmt.Sprintf("%s of %s ran for %q", c.ID, c.Team, run.Team))
			}
		}
	}
	return out
}

func revokedKeyRan(r *Record) []string {
	ended := map[string]time.Time{}
	for _, c := range r.Changes {
		if c.Revoked != "" {
			ended[c.Revoked] = c.Acked.Add(revoke)
		}
	}
	var out []string
	for _, c := range r.Calls {
		end, revoked := ended[c.Key]
		if revoked && c.Sent.After(end) && len(r.Runs[c.ID]) > 0 {
			out = append(out, fmt.Sprintf("%s was sent %v after the bound and ran", c.ID, c.Sent.Sub(end)))
		}
	}
	return out
}

// denials are the statuses that say that the configuration does not allow a
// request.
var denials = []int{401, 403, 404}

// denied finds requests that were allowed long before and after.
func denied(r *Record) []string {
	changed := map[string]bool{}
	for _, c := range r.Changes {
		changed[c.Revoked] = true
	}
	var out []string
	for _, c := range r.Calls {
		if slices.Contains(denials, c.Status) && !changed[c.Key] && r.undisturbed(c.Router, c.Sent.Add(-configApply), c.Ended) && r.keyInForce(c) {
			out = append(out, fmt.Sprintf("%s (%s) at router %d got %d", c.ID, c.Kind, c.Router, c.Status))
		}
	}
	return out
}

// keyInForce reports whether no change came shortly before the call.
func (r *Record) keyInForce(c Call) bool {
	return !slices.ContainsFunc(r.Changes, func(one Change) bool {
		return one.Sent.Before(c.Ended) && one.Acked.Add(configApply).After(c.Sent)
	})
}

func ranAfterDeparture(r *Record) []string {
	left := map[string]time.Time{}
	for _, d := range r.Departures {
		left[d.Server] = d.Acked
	}
	var out []string
	for _, c := range r.Calls {
		for _, run := range r.Runs[c.ID] {
			acked, leaving := left[run.Server]
			if leaving && run.Began.After(acked.Add(drain)) && r.undisturbed(c.Router, acked, run.Began) {
				out = append(out, fmt.Sprintf("%s ran at %s %v after its word", c.ID, run.Server, run.Began.Sub(acked)))
			}
		}
	}
	return out
}

// cutByStop finds requests that a router cut in a planned stop with nothing
// else going on.
func cutByStop(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		if c.Status != 0 && c.Whole || !c.Left.IsZero() || !r.stopping(c) || !r.calm(c.Router, c.Sent, c.Ended) || r.faultyServer(c) {
			continue
		}
		if len(r.Runs[c.ID]) > 0 || c.Ended.Sub(c.Sent) > lossSlack {
			out = append(out, fmt.Sprintf("%s (%s) at router %d after %v: %s", c.ID, c.Kind, c.Router, c.Ended.Sub(c.Sent), c.Err))
		}
	}
	return out
}

// stopping reports whether the call's router was stopping while it ran.
func (r *Record) stopping(c Call) bool {
	return slices.ContainsFunc(r.Failures, func(f Failure) bool {
		return f.Planned && f.Router == c.Router && f.within(c.Sent, c.Ended)
	})
}

func lateAnswer(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		took := c.Ended.Sub(c.Sent)
		if c.Left.IsZero() && took > c.Kind.timeout()+lateSlack && r.calm(c.Router, c.Sent, c.Ended) {
			out = append(out, fmt.Sprintf("%s (%s) at router %d took %v: %d %s", c.ID, c.Kind, c.Router, took, c.Status, c.Err))
		}
	}
	return out
}

// ranOn finds runs that went on after their caller had left.
func ranOn(r *Record) []string {
	var out []string
	for _, c := range r.Calls {
		if c.Left.IsZero() || r.unreachedServer(c) || !r.calm(c.Router, c.Sent, c.Left.Add(lateSlack)) {
			continue
		}
		for _, run := range r.Runs[c.ID] {
			if c.Kind.repeatable() || c.Kind.isStream() {
				out = append(out, ranOnAt(c, run)...)
			}
		}
	}
	return out
}

func ranOnAt(c Call, run backend.Run) []string {
	end := c.Left.Add(lateSlack)
	if run.Began.After(end) || run.Ended.IsZero() || run.Ended.After(end) {
		return []string{fmt.Sprintf("%s (%s) at router %d, left at %v, ran from %v to %v", c.ID, c.Kind, c.Router, c.Left, run.Began, run.Ended)}
	}
	return nil
}

// served is the part of requests that must be served after recovery.
const served = 0.9

func notRecovered(r *Record) []string {
	revoked := map[string]bool{}
	for _, c := range r.Changes {
		revoked[c.Revoked] = true
	}
	all, good := 0, 0
	for _, c := range r.Calls {
		if c.Sent.Before(r.Settled.Add(recovery)) || !c.Left.IsZero() || revoked[c.Key] || c.Crashes {
			continue
		}
		all++
		if c.Status == 200 && c.Whole {
			good++
		}
	}
	if all == 0 || float64(good) < served*float64(all) {
		return []string{fmt.Sprintf("%d of %d requests were served after the last failure", good, all)}
	}
	return nil
}
