package main

import (
	"context"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/protocol/operator"
)

func (a *app) configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "See and check the configuration"}
	var intentOnly bool
	get := newCommand("get", "Print the newest configuration", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		c, err := a.client().Config(ctx)
		if err != nil {
			return err
		}
		if intentOnly {
			return a.printJSON(c.Intent)
		}
		if a.format == formatJSON {
			return a.printJSON(c)
		}
		return a.configTable(c)
	})
	get.Flags().BoolVar(&intentOnly, "intent", false, "print only the intent, ready to be edited and planned")
	cmd.AddCommand(get, a.checkCommand())
	return cmd
}

func (a *app) configTable(c *operator.ConfigResponse) error {
	a.printLine("Revision %d by %s at %s, in force at this router: %d", c.Revision, orNone(c.By), c.At.Format(timeFormat), c.InForce)
	if !c.FromPlatform {
		a.printLine("The platform could not be asked: a newer revision may exist.")
	}
	w := a.table("TEAM", "SHARE", "TOKENS", "SERVICES")
	for _, name := range sortedKeys(c.Intent.Teams) {
		t := c.Intent.Teams[name]
		writeRow(w, name, strconv.FormatFloat(t.Share, 'g', -1, 64), strconv.Itoa(len(t.Tokens)), strings.Join(t.Services, " "))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	w = a.table("SERVICE", "KIND", "AT MOST ONCE", "MODELS")
	for _, name := range sortedKeys(c.Intent.Services) {
		s := c.Intent.Services[name]
		models := make([]string, len(s.Models))
		for i, m := range s.Models {
			models[i] = m.Name + "@" + m.Version
		}
		writeRow(w, name, string(s.Kind), orNone(strings.Join(s.NonIdempotent, " ")), orNone(strings.Join(models, " ")))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	a.printLine("Drained: %s", orNone(strings.Join(c.Intent.Drain, " ")))
	a.printLine("Evacuated: %s", orNone(strings.Join(c.Intent.Evacuate, " ")))
	a.printLine("Operators: %s", strings.Join(sortedKeys(c.Intent.Operators), " "))
	return nil
}

func (a *app) historyCommand() *cobra.Command {
	var n int
	cmd := newCommand("history", "List the last accepted revisions, the newest first", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		h, err := a.client().History(ctx, n)
		if err != nil {
			return err
		}
		if a.format == formatJSON {
			return a.printJSON(h)
		}
		w := a.table("REVISION", "AT", "BY", "DIGEST", "CHANGES")
		for _, e := range h.Entries {
			writeRow(w, strconv.FormatUint(e.Revision, 10), e.At.Format(timeFormat), orNone(e.By), shortenDigest(e.Digest), orNone(e.Summary))
		}
		return w.Flush()
	})
	cmd.Flags().IntVarP(&n, "number", "n", 20, "how many revisions")
	return cmd
}

// shortDigestLength is the length of a digest in tables.
const shortDigestLength = 12

func shortenDigest(digest string) string { return orNone(digest[:min(len(digest), shortDigestLength)]) }

func (a *app) settleCommand() *cobra.Command {
	return newCommand("settle BASE-DIGEST", "Ask what became of a plan whose confirmation got no answer", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		text, digest, ok := strings.Cut(args[0], "-")
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil || !ok || digest == "" {
			return badInput(errors.Newf("%q is not BASE-DIGEST, as an unsettled confirmation prints it", args[0]))
		}
		s, err := a.client().Settle(ctx, base, digest)
		if err != nil {
			return err
		}
		if a.format == formatJSON {
			return a.printJSON(s)
		}
		a.printLine("%s", settleText(s))
		return nil
	})
}

func settleText(s *operator.SettleResponse) string {
	switch s.State {
	case operator.SettleAccepted:
		return "Accepted: " + entryLine(*s.Entry)
	case operator.SettleNotAccepted:
		return "Not accepted, and it never will be: another revision followed its base."
	case operator.SettleOpen:
		return "Not accepted so far; nothing followed its base. Confirm it again, or confirm another plan to rule it out."
	default:
		return "The history doesn't reach back to this plan."
	}
}

// table starts a table with its header row.
func (a *app) table(header ...string) *tabwriter.Writer {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	writeRow(w, header...)
	return w
}
