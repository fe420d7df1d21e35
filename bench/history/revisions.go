package history

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"
)

// platformTarget names the platform in a Fault.
const platformTarget = "platform"

// checkNeverReverts looks for processes whose revision went back, and for
// processes in which an accepted change was not in force in time although no
// failure kept them from it.
func checkNeverReverts(h *History, b Bounds) Result {
	res := Result{Promise: NeverReverts}
	by := map[string][]InForce{}
	for _, f := range h.InForce {
		by[f.Process] = append(by[f.Process], f)
	}
	for _, process := range slices.Sorted(maps.Keys(by)) {
		seen := by[process]
		slices.SortStableFunc(seen, func(a, b InForce) int {
			return cmp.Or(cmp.Compare(a.Start, b.Start), a.At.Compare(b.At))
		})
		for i := 1; i < len(seen); i++ {
			if seen[i].Revision < seen[i-1].Revision {
				res.breach("%s went from revision %d back to %d", process, seen[i-1].Revision, seen[i].Revision)
			}
		}
		for _, c := range h.Changes {
			res.checkInForce(h, b, process, seen, c)
		}
	}
	return res
}

func (res *Result) checkInForce(h *History, b Bounds, process string, seen []InForce, c Change) {
	due := c.Ended.Add(b.InForce)
	if c.Result != ChangeAccepted || disturbed(h, process, c.Sent, due, b.Settle) {
		return
	}
	res.Checked++
	for _, f := range seen {
		if f.Revision >= c.Revision && !f.At.After(due) {
			return
		}
	}
	res.breach("revision %d was accepted at %s and not in force in %s within %s",
		c.Revision, c.Ended.Format("15:04:05.000"), process, b.InForce)
}

// disturbed tells whether the process or the platform was failing.
func disturbed(h *History, process string, from, until time.Time, settle time.Duration) bool {
	return slices.ContainsFunc(h.Faults, func(f Fault) bool {
		return (f.Target == process || f.Target == platformTarget) && f.within(from, until, settle)
	})
}

// linearBound bounds the search for a linear history.
const linearBound = 20 * time.Second

// checkLinearChanges asks whether the changes, as operators saw them, could
// have happened one after the other.
func checkLinearChanges(h *History) Result {
	res := Result{Promise: LinearChanges, Checked: len(h.Changes)}
	var ops []porcupine.Operation
	var end time.Time
	for _, c := range h.Changes {
		end = latest(end, c.Ended)
	}
	for i, c := range h.Changes {
		ret := c.Ended
		if c.Result == ChangeUnknown {
			ret = end // it may take effect at any later time
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: c.Base, Output: c, Call: c.Sent.UnixNano(), Return: ret.UnixNano(),
		})
	}
	model := changeModel()
	switch porcupine.CheckOperationsTimeout(model.ToModel(), ops, linearBound) {
	case porcupine.Illegal:
		res.breach("the %d changes have no linear order", len(ops))
	case porcupine.Unknown:
		res.breach("no linear order was found within %s", linearBound)
	}
	return res
}

// changeModel is a register that holds the revision. A change from its value
// raises it by one, any other is refused; one whose end is unknown may or may
// not have happened.
func changeModel() porcupine.NondeterministicModel {
	return porcupine.NondeterministicModel{
		Init: func() []any { return []any{firstRevision} },
		Step: func(state, input, output any) []any {
			return nextRevisions(state.(uint64), output.(Change))
		},
		DescribeOperation: func(_, output any) string {
			c := output.(Change)
			return strconv.FormatUint(c.Base, 10) + " " + string(c.Result)
		},
	}
}

// firstRevision is in force when a run begins.
const firstRevision = uint64(1)

func nextRevisions(now uint64, c Change) []any {
	fits := c.Base == now
	switch c.Result {
	case ChangeAccepted:
		if fits && c.Revision == now+1 {
			return []any{now + 1}
		}
		return nil
	case ChangeStale:
		if fits {
			return nil
		}
		return []any{now}
	case ChangeRefused:
		return []any{now}
	}
	if fits {
		return []any{now, now + 1}
	}
	return []any{now}
}
