package ctl

import (
	"context"
	"fmt"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Kinds of subjects that can be drained.
const (
	kindUpstream = "upstream"
	kindVM       = "vm"
)

func (c *command) drain(ctx context.Context) error   { return c.setLeaving(ctx, true) }
func (c *command) undrain(ctx context.Context) error { return c.setLeaving(ctx, false) }

// setLeaving makes a plan from the configuration in force. It doesn't change the
// declaration files, so they differ from the configuration until they are edited.
func (c *command) setLeaving(ctx context.Context, leaving bool) error {
	s, store, err := c.connect()
	if err != nil {
		return err
	}
	cur, err := store.Current(ctx)
	if err != nil {
		return err
	}
	doc, err := withLeaving(cur.Document, c.kind, c.id, leaving)
	if err != nil {
		return err
	}
	if c.kind == kindVM && leaving {
		c.warnOfUnknownVM(ctx, s)
	}
	p, err := c.propose(ctx, s, store, cur, doc)
	if err != nil || !c.confirmNow {
		return err
	}
	if err := c.confirmPlan(ctx, s, store, p.ID); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Stderr, "the declaration files don't know of this; change them too, or the next plan takes it back")
	return err
}

// warnOfUnknownVM prints a warning if no proxy reports the VM, since its name may
// be misspelt. It doesn't fail: the VM may just be unreachable from the proxies.
func (c *command) warnOfUnknownVM(ctx context.Context, s settings.Control) {
	for _, st := range statuses(c.fetchStatuses(ctx, s)) {
		isPeer := slices.ContainsFunc(st.Peers, func(p statusapi.Peer) bool { return string(p.VM) == c.id })
		if string(st.VM) == c.id || isPeer {
			return
		}
	}
	fmt.Fprintf(c.Stderr, "no proxy that answered reports VM %q; check the name\n", c.id)
}

// withLeaving returns a copy of doc in which one upstream or VM is marked as
// leaving, or no longer marked.
func withLeaving(doc config.Document, kind, id string, leaving bool) (config.Document, error) {
	if kind == kindVM {
		doc.LeavingVMs = withVM(doc.LeavingVMs, tables.VMID(id), leaving)
		return doc, nil
	}
	doc.Groups = slices.Clone(doc.Groups)
	for g := range doc.Groups {
		ups := slices.Clone(doc.Groups[g].Upstreams)
		i := slices.IndexFunc(ups, func(u config.Upstream) bool { return string(u.ID) == id })
		if i < 0 {
			continue
		}
		ups[i].Leaving = leaving
		doc.Groups[g].Upstreams = ups
		return doc, nil
	}
	return config.Document{}, errors.Errorf("no upstream %q is in force", id)
}

func withVM(vms []tables.VMID, id tables.VMID, leaving bool) []tables.VMID {
	rest := slices.DeleteFunc(slices.Clone(vms), func(v tables.VMID) bool { return v == id })
	if leaving {
		rest = append(rest, id)
	}
	slices.Sort(rest)
	return rest
}
