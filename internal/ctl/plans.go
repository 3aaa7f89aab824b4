package ctl

import (
	"context"
	"fmt"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/declare"
	"github.com/cranberrystage/cranberrystage/internal/operatorkey"
	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/pkg/errors"
)

func (c *command) validate(context.Context) error {
	doc, err := declare.Load(c.dirs...)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Stdout, "valid: %d services, %d groups, %d users, %d operators\n",
		len(doc.Services), len(doc.Groups), len(doc.Users), len(doc.Operators))
	return err
}

func (c *command) plan(ctx context.Context) error {
	doc, err := declare.Load(c.dirs...)
	if err != nil {
		return err
	}
	s, store, err := c.connect()
	if err != nil {
		return err
	}
	cur, err := store.Current(ctx)
	if err != nil {
		return err
	}
	_, err = c.propose(ctx, s, store, cur, doc)
	return err
}

// propose makes, stores and prints the plan that changes the configuration from
// cur to doc.
func (c *command) propose(ctx context.Context, s settings.Control, store plan.Store, cur plan.InForce, doc config.Document) (plan.Plan, error) {
	p, err := plan.Make(cur.Head.Version, cur.Document, doc, c.observe(ctx, s))
	if err != nil {
		return plan.Plan{}, err
	}
	if err := store.Put(ctx, p, doc); err != nil {
		return plan.Plan{}, err
	}
	return p, c.printPlan(p)
}

func (c *command) diff(ctx context.Context) error {
	doc, err := declare.Load(c.dirs...)
	if err != nil {
		return err
	}
	_, store, err := c.connect()
	if err != nil {
		return err
	}
	cur, err := store.Current(ctx)
	if err != nil {
		return err
	}
	changes := plan.Diff(cur.Document, doc, plan.State{})
	if err := c.printDiff(cur.Head.Version, changes); err != nil {
		return err
	}
	if len(changes) > 0 {
		return errDrift
	}
	return nil
}

func (c *command) confirm(ctx context.Context) error {
	s, store, err := c.connect()
	if err != nil {
		return err
	}
	return c.confirmPlan(ctx, s, store, c.planID)
}

func (c *command) confirmPlan(ctx context.Context, s settings.Control, store plan.Store, id string) error {
	if s.KeyFile == "" {
		return usageError{errors.New("the settings name no keyFile, which a confirm needs")}
	}
	key, err := operatorkey.ReadFile(s.KeyFile)
	if err != nil {
		return usageError{err}
	}
	res, err := plan.Confirm(ctx, store, plan.Approve(id, s.Operator, key), c.Now())
	if err != nil {
		return err
	}
	return c.printResult(res)
}

func (c *command) history(ctx context.Context) error {
	_, store, err := c.connect()
	if err != nil {
		return err
	}
	heads, err := store.History(ctx)
	if err != nil {
		return err
	}
	return c.printHistory(heads)
}
