package experiment

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/ctl"
	"github.com/cranberrystage/cranberrystage/internal/operatorkey"
	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/pkg/errors"
)

const (
	// confirmTimeout bounds the retries of one confirm.
	confirmTimeout       = 20 * time.Second
	confirmRetryInterval = 200 * time.Millisecond
)

// operator stores and confirms plans, as an operator's command line does.
type operator struct {
	settings settings.Control
	store    plan.Store
}

func newOperator(path string) (*operator, error) {
	s, err := settings.LoadControl(path)
	if err != nil {
		return nil, err
	}
	store, err := ctl.ConnectPlatform(s)
	return &operator{settings: s, store: store}, err
}

// propose stores a plan that applies change to the configuration in force.
func (o *operator) propose(ctx context.Context, change func(doc *config.Document) error) (plan.Plan, error) {
	cur, err := o.store.Current(ctx)
	if err != nil {
		return plan.Plan{}, err
	}
	body, _, err := cur.Document.Encode()
	if err != nil {
		return plan.Plan{}, err
	}
	doc, err := config.Decode(body)
	if err != nil {
		return plan.Plan{}, err
	}
	if err := change(&doc); err != nil {
		return plan.Plan{}, err
	}
	p, err := plan.Make(cur.Head.Version, cur.Document, doc, plan.State{})
	if err != nil {
		return plan.Plan{}, err
	}
	return p, o.store.Put(ctx, p, doc)
}

// confirm puts a plan in force, without retries.
func (o *operator) confirm(ctx context.Context, id string) (plan.Result, error) {
	key, err := operatorkey.ReadFile(o.settings.KeyFile)
	if err != nil {
		return plan.Result{}, err
	}
	return plan.Confirm(ctx, o.store, plan.Approve(id, o.settings.Operator, key), time.Now())
}

// confirmUntilKnown retries the confirm until its outcome is known or
// confirmTimeout has passed.
func (o *operator) confirmUntilKnown(ctx context.Context, id string) (plan.Result, error) {
	var res plan.Result
	var err error
	poll(ctx, confirmTimeout, func() bool {
		res, err = o.confirm(ctx, id)
		e, coded := codes.From(err)
		repeat := coded && (e.Code == codes.OutcomeUnknown || e.Code == codes.PlatformDown)
		return !repeat || sleep.For(ctx, confirmRetryInterval) != nil
	})
	return res, err
}

// raiseQueueLimit is a change without effect on the load: it raises a queue limit
// by 1.
func raiseQueueLimit(doc *config.Document) error {
	if len(doc.Services) == 0 {
		return errors.New("no service is in force")
	}
	doc.Services[0].QueueLimit++
	return nil
}

// hasCode reports whether err carries the result code c.
func hasCode(err error, c codes.Code) bool {
	e, ok := codes.From(err)
	return ok && e.Code == c
}

// awaitVersion waits until every proxy uses at least the version, up to limit.
// It returns the time waited and whether all proxies reached the version.
func (r *run) awaitVersion(ctx context.Context, version uint64, limit time.Duration) (time.Duration, bool) {
	start := r.elapsed()
	ok := poll(ctx, limit, func() bool {
		for _, p := range r.setUp.Proxies {
			st, err := p.status(ctx)
			if err != nil || st.ConfigVersion < version {
				return false
			}
		}
		return true
	})
	return r.elapsed() - start, ok
}
