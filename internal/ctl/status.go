package ctl

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/pkg/errors"
)

// statusReply is the status of one proxy, or the error of reading it.
type statusReply struct {
	Address string            `json:"address"`
	Error   string            `json:"error,omitempty"`
	Status  *statusapi.Status `json:"status,omitempty"`
}

func (c *command) status(ctx context.Context) error {
	s, err := settings.LoadControl(c.settingsPath)
	if err != nil {
		return usageError{err}
	}
	if len(s.Proxies) == 0 {
		return usageError{errors.New("the settings name no proxies to ask")}
	}
	replies := c.fetchStatuses(ctx, s)
	if err := c.printStatus(replies); err != nil {
		return err
	}
	if len(statuses(replies)) == 0 {
		return errors.New("no proxy answered")
	}
	return nil
}

// fetchStatuses reads the status of all proxies concurrently, within the timeout
// from the settings.
func (c *command) fetchStatuses(ctx context.Context, s settings.Control) []statusReply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.StatusTimeout))
	defer cancel()
	replies := make([]statusReply, len(s.Proxies))
	done := make(chan struct{})
	for i, address := range s.Proxies {
		go func() {
			replies[i] = c.fetchOne(ctx, address)
			done <- struct{}{}
		}()
	}
	for range s.Proxies {
		<-done
	}
	return replies
}

func (c *command) fetchOne(ctx context.Context, address string) statusReply {
	st, err := c.Status(ctx, address)
	if err != nil {
		return statusReply{Address: address, Error: err.Error()}
	}
	return statusReply{Address: address, Status: &st}
}

// observe merges the statuses of the proxies that answer; the others are left out.
func (c *command) observe(ctx context.Context, s settings.Control) plan.State {
	return plan.Observe(statuses(c.fetchStatuses(ctx, s)))
}

func statuses(replies []statusReply) []statusapi.Status {
	var out []statusapi.Status
	for _, r := range replies {
		if r.Status != nil {
			out = append(out, *r.Status)
		}
	}
	return out
}
