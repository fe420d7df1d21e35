package operators

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestport/coordination/confirm"
	"goldcrestport/protocol/operator"
	"goldcrestport/state/config"
)

// maxHistoryReads bounds the history entries that one call reads, so that one
// operator can't use up the platform's read quota.
const maxHistoryReads = 1000

// entryOf returns the public record of a revision.
func entryOf(d *config.Document) operator.Entry {
	e := operator.Entry{Revision: d.Revision, Digest: d.PlanDigest}
	if d.Accepted != nil {
		e.By, e.At, e.Summary = d.Accepted.By, d.Accepted.At, d.Accepted.Summary
	}
	return e
}

// Walk calls visit with the history entry of each revision below the head,
// from newest to oldest. Only the oldest entries can be missing, because a
// revision is overwritten only after its entry is written.
func (l *Ledger) Walk(ctx context.Context, head *config.Document, oldest uint64, visit func(*config.Document)) error {
	if head.Revision > oldest && head.Revision-oldest > maxHistoryReads {
		return errors.Wrapf(ErrForgotten, "revision %d is more than %d revisions back", oldest, maxHistoryReads)
	}
	for revision := head.Revision; revision > max(oldest, 1); {
		revision--
		entry, _, err := l.read(ctx, historyKey(revision))
		if err != nil {
			return err
		}
		if entry == nil || entry.Revision != revision {
			return errors.Wrapf(ErrForgotten, "revision %d", revision)
		}
		visit(entry)
	}
	return nil
}

// At returns the content of an older revision.
func (l *Ledger) At(ctx context.Context, head *config.Document, revision uint64) (*config.Document, error) {
	if revision == 0 || revision > head.Revision {
		return nil, errors.Wrapf(ErrForgotten, "there is no revision %d", revision)
	}
	content, reverse, complete := head.Content(), head.Back, true
	err := l.Walk(ctx, head, revision, func(entry *config.Document) {
		if reverse == nil {
			complete = false
			return
		}
		content, reverse = reverse.Apply(content), entry.Back
	})
	if err == nil && !complete {
		err = errors.Wrapf(ErrForgotten, "revision %d: a later one doesn't lead back", revision)
	}
	return content, err
}

// Since returns the revisions from the newest down to oldest, as far as the
// history reaches back.
func (l *Ledger) Since(ctx context.Context, head *config.Document, oldest uint64) ([]operator.Entry, error) {
	if head == nil {
		return nil, nil
	}
	out := []operator.Entry{entryOf(head)}
	err := l.Walk(ctx, head, oldest, func(d *config.Document) { out = append(out, entryOf(d)) })
	if errors.Is(err, ErrForgotten) {
		return out, nil
	}
	return out, err
}

// Settle looks up whether a plan was accepted, without changing anything.
func (l *Ledger) Settle(ctx context.Context, base uint64, digest string) confirm.Done {
	return l.Run(ctx, confirm.Proposal{Base: base, Digest: digest})
}
