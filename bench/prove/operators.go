package prove

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestport/bench/history"
	"goldcrestport/state/config"
	"goldcrestport/transport/platform"
)

// configKey is the platform key of the live configuration.
const configKey = "goldcrest/config"

// Times of an operator's work.
const (
	minBetweenChanges  = 500 * time.Millisecond
	moreBetweenChanges = 2 * time.Second
)

// operate makes changes to the configuration until ctx ends.
func (w *World) operate(ctx context.Context, name string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for ctx.Err() == nil {
		pause(ctx, minBetweenChanges+time.Duration(random.Int64N(int64(moreBetweenChanges))))
		share := 1 + random.Float64()
		w.change(name, func(doc *config.Document) {
			t := doc.Teams["medium"]
			t.Share = share
			doc.Teams["medium"] = t
		})
	}
}

// change tries once to change the configuration and records the attempt.
func (w *World) change(operator string, edit func(*config.Document)) history.ChangeResult {
	ctx := context.Background()
	e, err := w.store.Get(ctx, configKey)
	if err != nil {
		return history.ChangeRefused
	}
	var doc config.Document
	if json.Unmarshal(e.Value, &doc) != nil {
		return history.ChangeRefused
	}
	c := history.Change{Operator: operator, Base: doc.Revision, Sent: time.Now()}
	edit(&doc)
	doc.Revision++
	data, err := json.Marshal(doc)
	if err != nil {
		return history.ChangeRefused
	}
	_, err = w.store.Put(ctx, configKey, data, e.Version, "")
	c.Ended, c.Result = time.Now(), changeResult(err)
	if c.Result == history.ChangeAccepted {
		c.Revision = doc.Revision
	}
	w.History.Add(c)
	return c.Result
}

func changeResult(err error) history.ChangeResult {
	switch {
	case err == nil:
		return history.ChangeAccepted
	case errors.Is(err, platform.ErrConflict):
		return history.ChangeStale
	case errors.Is(err, platform.ErrBusy):
		return history.ChangeRefused
	default:
		return history.ChangeUnknown
	}
}

// drain puts a backend server on the list of those to drain, or off it. It
// reports whether the change was accepted.
func (w *World) drain(name string, on bool) bool {
	const tries = 20
	for range tries {
		result := w.change("drainer", func(doc *config.Document) {
			doc.Drain = slices.DeleteFunc(doc.Drain, func(id string) bool { return id == name })
			if on {
				doc.Drain = append(doc.Drain, name)
			}
		})
		if result == history.ChangeAccepted {
			return true
		}
		time.Sleep(minPause)
	}
	return false
}
