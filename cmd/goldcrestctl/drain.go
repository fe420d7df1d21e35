package main

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"goldcrestport/protocol/operator"
)

// drainAttempts bounds how often a drain is planned again because another
// operator's change came between. The wish names one backend server only, so it
// holds against any base.
const drainAttempts = 8

func (a *app) drainCommand() *cobra.Command {
	return a.drainLike("drain BACKEND", "Give a backend server no new work", true)
}

func (a *app) undrainCommand() *cobra.Command {
	return a.drainLike("undrain BACKEND", "Let a backend server take work again", false)
}

func (a *app) drainLike(use, text string, drained bool) *cobra.Command {
	var yes bool
	var save string
	var wait time.Duration
	cmd := command(use, text, cobra.ExactArgs(1), func(ctx context.Context, args []string) error {
		if !yes {
			p, err := a.planDrain(ctx, args[0], drained)
			if err != nil {
				return err
			}
			return a.showPlan(p, save)
		}
		return a.drainNow(ctx, args[0], drained, wait)
	})
	cmd.Flags().BoolVarP(&yes, "yes", "y", false, "confirm the plan at once")
	addWait(cmd, &wait)
	cmd.Flags().StringVar(&save, "save", "", "keep the plan in this file for 'goldcrestctl confirm FILE'")
	return cmd
}

// planDrain plans the newest configuration with one backend server drained or
// not. The base is given, so that the plan can't undo a change in between.
func (a *app) planDrain(ctx context.Context, backend string, drained bool) (*operator.PlanResponse, error) {
	c, err := a.client().Config(ctx)
	if err != nil {
		return nil, err
	}
	in := c.Intent
	in.Drain = slices.DeleteFunc(in.Drain, func(id string) bool { return id == backend })
	if drained {
		in.Drain = append(in.Drain, backend)
	}
	data, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	return a.client().Plan(ctx, data, &c.Revision)
}

func (a *app) drainNow(ctx context.Context, backend string, drained bool, wait time.Duration) error {
	for attempt := 1; ; attempt++ {
		err := a.tryDrain(ctx, backend, drained, wait)
		if !isStale(err) || attempt == drainAttempts {
			return err
		}
	}
}

func (a *app) tryDrain(ctx context.Context, backend string, drained bool, wait time.Duration) error {
	p, err := a.planDrain(ctx, backend, drained)
	if err != nil {
		return err
	}
	if p.Plan.Empty() {
		a.say("Nothing to change for %s.", backend)
		return nil
	}
	if a.format == formatTable {
		for _, line := range p.Plan.Lines() {
			a.say("%s", line)
		}
	}
	data, err := json.Marshal(p.Intent)
	if err != nil {
		return err
	}
	ask := operator.ConfirmRequest{Intent: data, BaseRevision: p.Plan.BaseRevision, Digest: p.Plan.Digest}
	return a.confirm(ctx, ask, wait)
}
