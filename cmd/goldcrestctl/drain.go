package main

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"goldcrestport/protocol/intent"
	"goldcrestport/protocol/operator"
)

// drainAttempts bounds how often a drain is planned against a newer revision after a
// concurrent change by another operator. The edit concerns only one backend server or
// data centre, so it can be applied to any revision.
const drainAttempts = 8

func (a *app) drainCommand() *cobra.Command {
	return a.editCommand("drain BACKEND", "Give a backend server no new work", func(in *intent.Intent, id string) {
		in.Drain = setListed(in.Drain, id, true)
	})
}

func (a *app) undrainCommand() *cobra.Command {
	return a.editCommand("undrain BACKEND", "Let a backend server take work again", func(in *intent.Intent, id string) {
		in.Drain = setListed(in.Drain, id, false)
	})
}

func (a *app) evacuateCommand() *cobra.Command {
	var undo bool
	cmd := a.editCommand("evacuate DATACENTRE", "Give the backend servers of a data centre no new work", func(in *intent.Intent, name string) {
		in.Evacuate = setListed(in.Evacuate, name, !undo)
	})
	cmd.Flags().BoolVar(&undo, "undo", false, "let them take work again")
	return cmd
}

// setListed returns the list with the name added, or removed if with is false.
func setListed(list []string, name string, with bool) []string {
	list = slices.DeleteFunc(list, func(one string) bool { return one == name })
	if with {
		list = append(list, name)
	}
	return list
}

// intentEdit changes the intent for the named backend server or data centre.
type intentEdit func(in *intent.Intent, name string)

func (a *app) editCommand(use, text string, change intentEdit) *cobra.Command {
	var yes bool
	var save string
	var wait time.Duration
	cmd := newCommand(use, text, cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		if !yes {
			p, err := a.planEdit(ctx, args[0], change)
			if err != nil {
				return err
			}
			return a.showPlan(p, save)
		}
		return a.confirmEdit(ctx, args[0], change, wait)
	})
	cmd.Flags().BoolVarP(&yes, "yes", "y", false, "confirm the plan at once")
	addWait(cmd, &wait)
	cmd.Flags().StringVar(&save, "save", "", "keep the plan in this file for 'goldcrestctl confirm FILE'")
	return cmd
}

// planEdit plans the edit of the newest configuration. It sends the base revision, so
// that the plan can't undo a concurrent change.
func (a *app) planEdit(ctx context.Context, name string, change intentEdit) (*operator.PlanResponse, error) {
	c, err := a.client().Config(ctx)
	if err != nil {
		return nil, err
	}
	in := c.Intent
	change(in, name)
	data, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	return a.client().Plan(ctx, data, &c.Revision)
}

func (a *app) confirmEdit(ctx context.Context, name string, change intentEdit, wait time.Duration) error {
	for attempt := 1; ; attempt++ {
		err := a.confirmEditOnce(ctx, name, change, wait)
		if !isStale(err) || attempt == drainAttempts {
			return err
		}
	}
}

func (a *app) confirmEditOnce(ctx context.Context, name string, change intentEdit, wait time.Duration) error {
	p, err := a.planEdit(ctx, name, change)
	if err != nil {
		return err
	}
	if p.Plan.Empty() {
		a.printLine("Nothing to change for %s.", name)
		return nil
	}
	if a.format == formatTable {
		for _, line := range p.Plan.Lines() {
			a.printLine("%s", line)
		}
	}
	data, err := json.Marshal(p.Intent)
	if err != nil {
		return err
	}
	request := operator.ConfirmRequest{Intent: data, BaseRevision: p.Plan.BaseRevision, Digest: p.Plan.Digest}
	return a.confirm(ctx, request, wait)
}
