package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
)

// planFileMode keeps plan files readable by their owner only.
const planFileMode = 0o600

// readFile reads a file, or standard input for "-".
func (a *app) readFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(a.in)
		return data, errors.Wrap(err, "standard input")
	}
	data, err := os.ReadFile(name)
	return data, badInput(err)
}

func (a *app) planCommand() *cobra.Command {
	var file, save string
	var base uint64
	cmd := newCommand("plan -f INTENT", "Show what an intent would change; nothing changes", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		data, err := a.readFile(file)
		if err != nil {
			return err
		}
		if _, err := intent.Parse(data); err != nil {
			return err
		}
		var expect *uint64
		if base > 0 {
			expect = &base
		}
		p, err := a.client().Plan(ctx, data, expect)
		if err != nil {
			return err
		}
		return a.showPlan(p, save)
	})
	cmd.Flags().StringVarP(&file, "file", "f", "", "intent file, - for standard input")
	cmd.Flags().StringVar(&save, "save", "", "keep the plan in this file for 'goldcrestctl confirm FILE'")
	cmd.Flags().Uint64Var(&base, "base", 0, "refuse to plan unless this is the newest revision")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// showPlan prints the plan and keeps it in a file if asked to.
func (a *app) showPlan(p *operator.PlanResponse, save string) error {
	if save != "" {
		var data bytes.Buffer
		enc := json.NewEncoder(&data)
		enc.SetIndent("", "  ")
		if err := enc.Encode(p); err != nil {
			return err
		}
		if err := os.WriteFile(save, data.Bytes(), planFileMode); err != nil {
			return badInput(err)
		}
	}
	if a.format == formatJSON {
		return a.printJSON(p)
	}
	for _, line := range p.Plan.Lines() {
		a.printLine("%s", line)
	}
	switch {
	case p.Plan.Empty():
		a.printLine("Nothing to confirm.")
	case save != "":
		a.printLine("Nothing is changed yet. To apply exactly this: goldcrestctl confirm %s", save)
	default:
		a.printLine("Nothing is changed. Give --save FILE to keep the plan for 'goldcrestctl confirm FILE'.")
	}
	return nil
}

func (a *app) confirmCommand() *cobra.Command {
	var wait time.Duration
	var rebase bool
	cmd := newCommand("confirm PLANFILE", "Apply exactly the plan in the file, or nothing", cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		data, err := a.readFile(args[0])
		if err != nil {
			return err
		}
		var p struct {
			Plan *struct {
				BaseRevision uint64 `json:"base_revision"`
				Digest       string `json:"digest"`
			} `json:"plan"`
			Intent json.RawMessage `json:"intent"`
		}
		if err := json.Unmarshal(data, &p); err != nil || p.Plan == nil || p.Intent == nil {
			return badInput(errors.Newf("%s is not a plan file; 'goldcrestctl plan --save FILE' writes one", args[0]))
		}
		request := operator.ConfirmRequest{Intent: p.Intent, BaseRevision: p.Plan.BaseRevision, Digest: p.Plan.Digest}
		if !rebase {
			return a.confirm(ctx, request, wait)
		}
		return a.confirmRebased(ctx, request, func(request operator.ConfirmRequest) error { return a.confirm(ctx, request, wait) })
	})
	addWait(cmd, &wait)
	cmd.Flags().BoolVar(&rebase, "rebase", false, "if other changes came between, put this plan's changes on top of them unless both touch the same team, service or operator")
	return cmd
}

func addWait(cmd *cobra.Command, wait *time.Duration) {
	cmd.Flags().DurationVar(wait, "wait", 0, "wait so long at most until it is in force everywhere")
}

// confirm sends the plan and, if wait is positive, waits until it is in force.
func (a *app) confirm(ctx context.Context, request operator.ConfirmRequest, wait time.Duration) error {
	done, err := a.client().Confirm(ctx, request)
	if err != nil {
		return errors.Wrapf(err, "plan %d-%s", request.BaseRevision, request.Digest)
	}
	if err := a.showConfirmed(done); err != nil || wait <= 0 {
		return err
	}
	return a.awaitRollout(ctx, done.Revision, wait)
}

func (a *app) showConfirmed(done *operator.ConfirmResponse) error {
	if a.format == formatJSON {
		return a.printJSON(done)
	}
	if done.Already {
		a.printLine("Already accepted as revision %d (by %s at %s).", done.Revision, orNone(done.By), done.At.Format(timeFormat))
	} else {
		a.printLine("Accepted as revision %d: %s", done.Revision, orNone(done.Summary))
	}
	if done.Newest > done.Revision {
		a.printLine("Revision %d has followed it since.", done.Newest)
	}
	return nil
}

func (a *app) rollbackCommand() *cobra.Command {
	var save string
	var to uint64
	cmd := newCommand("rollback --to REVISION", "Plan a new revision with the content of an older one", cobra.NoArgs, func(ctx context.Context, _ []string) error {
		p, err := a.client().RollbackPlan(ctx, to)
		if err != nil {
			return err
		}
		return a.showPlan(p, save)
	})
	cmd.Flags().Uint64Var(&to, "to", 0, "revision whose content is wanted again")
	cmd.Flags().StringVar(&save, "save", "", "keep the plan in this file for 'goldcrestctl confirm FILE'")
	_ = cmd.MarkFlagRequired("to")
	return cmd
}

func (a *app) validateCommand() *cobra.Command {
	return newCommand("validate INTENT", "Check an intent file without asking a router", cobra.ExactArgs(1), func(_ context.Context, args []string) error {
		data, err := a.readFile(args[0])
		if err != nil {
			return err
		}
		in, err := intent.Parse(data)
		if err != nil {
			return err
		}
		a.printLine("%s: valid, %d teams, %d services", args[0], len(in.Teams), len(in.Services))
		return nil
	})
}

func (a *app) schemaCommand() *cobra.Command {
	return newCommand("schema", "Print the JSON schema of an intent", cobra.NoArgs, func(context.Context, []string) error {
		_, err := a.out.Write(intent.Schema())
		return err
	})
}
