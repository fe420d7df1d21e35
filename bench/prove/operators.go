package prove

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"goldcrestport/bench/history"
	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
)

// Times of an operator's work.
const (
	minBetweenChanges  = 200 * time.Millisecond
	moreBetweenChanges = 1200 * time.Millisecond
	operatorBound      = 8 * time.Second
	settleEvery        = 500 * time.Millisecond
	settleTries        = 20
	moreReading        = 400 * time.Millisecond
)

// operatorNames are the operators of the first configuration.
var operatorNames = []string{"operator-a", "operator-b", "operator-c", "operator-d", drainer}

// drainer is the operator who drains backend servers.
const drainer = "drainer"

// human is one operator, who plans at one router and confirms at another.
type human struct {
	w      *World
	name   string
	random *rand.Rand
	client *http.Client
}

func newHuman(w *World, name string, seed uint64) *human {
	return &human{
		w: w, name: name, random: rand.New(rand.NewPCG(seed, 2)),
		client: &http.Client{Timeout: operatorBound},
	}
}

// work makes changes to the configuration until ctx ends.
func (o *human) work(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, between(o.random, minBetweenChanges, moreBetweenChanges))
		share := 1 + o.random.Float64()
		o.change(func(in *intent.Intent) {
			t := in.Teams["medium"]
			t.Share = share
			in.Teams["medium"] = t
		})
	}
}

// change reads the configuration, plans an edit of it and confirms the plan.
// A confirmation that was sent is recorded, and settled if its end is unknown.
func (o *human) change(edit func(*intent.Intent)) history.ChangeResult {
	ask, ok := o.plan(edit)
	if !ok {
		return history.ChangeRefused
	}
	// A person reads the plan; meanwhile others may change the configuration.
	time.Sleep(between(o.random, minPause, moreReading))
	c := history.Change{Operator: o.name, Base: ask.BaseRevision, Sent: time.Now()}
	var done operator.ConfirmResponse
	p, err := o.exchange(http.MethodPost, operator.PathConfirm, ask, &done)
	c.Ended, c.Result, c.Revision = time.Now(), changeResult(p, err), done.Revision
	if c.Result == history.ChangeUnknown {
		o.settle(ask, &c)
	}
	o.w.History.Add(c)
	return c.Result
}

// plan makes a plan at one router and returns what confirms it.
func (o *human) plan(edit func(*intent.Intent)) (operator.ConfirmRequest, bool) {
	var now operator.ConfigResponse
	if p, err := o.exchange(http.MethodGet, operator.PathConfig, nil, &now); p != nil || err != nil || now.Intent == nil {
		return operator.ConfirmRequest{}, false
	}
	edit(now.Intent)
	text, err := json.Marshal(now.Intent)
	if err != nil {
		return operator.ConfirmRequest{}, false
	}
	var planned operator.PlanResponse
	ask := operator.PlanRequest{Intent: text, BaseRevision: &now.Revision}
	if p, err := o.exchange(http.MethodPost, operator.PathPlan, ask, &planned); p != nil || err != nil || planned.Plan == nil {
		return operator.ConfirmRequest{}, false
	}
	return operator.ConfirmRequest{Intent: text, BaseRevision: planned.Plan.BaseRevision, Digest: planned.Plan.Digest}, true
}

// settle asks what became of a confirmation until it is told.
func (o *human) settle(ask operator.ConfirmRequest, c *history.Change) {
	path := operator.PathSettle + "?" + settleQuery(ask)
	for range settleTries {
		time.Sleep(settleEvery)
		var fate operator.SettleResponse
		if p, err := o.exchange(http.MethodGet, path, nil, &fate); p != nil || err != nil {
			continue
		}
		switch {
		case fate.State == operator.SettleAccepted && fate.Entry != nil:
			c.Ended, c.Result, c.Revision = time.Now(), history.ChangeAccepted, fate.Entry.Revision
			return
		case fate.State == operator.SettleNotAccepted:
			c.Ended, c.Result = time.Now(), history.ChangeStale
			return
		}
	}
}

// drain puts a backend server on the list of those to drain, or off it. It
// reports whether the change was accepted.
func (o *human) drain(name string, on bool) bool {
	const tries = 20
	for range tries {
		result := o.change(func(in *intent.Intent) {
			in.Drain = slices.DeleteFunc(in.Drain, func(id string) bool { return id == name })
			if on {
				in.Drain = append(in.Drain, name)
			}
		})
		if result == history.ChangeAccepted {
			return true
		}
		time.Sleep(minPause)
	}
	return false
}
