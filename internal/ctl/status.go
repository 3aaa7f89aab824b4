package ctl

import (
	"context"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/pkg/errors"
)

// answer is what one proxy said, or why it said nothing.
type answer struct {
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
	answers := c.ask(ctx, s)
	if err := c.printStatus(answers); err != nil {
		return err
	}
	if len(statuses(answers)) == 0 {
		return errors.New("no proxy answered")
	}
	return nil
}

// ask asks all proxies at once, each within the settings' timeout.
func (c *command) ask(ctx context.Context, s settings.Control) []answer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.StatusTimeout))
	defer cancel()
	answers := make([]answer, len(s.Proxies))
	done := make(chan struct{})
	for i, address := range s.Proxies {
		go func() {
			answers[i] = c.askOne(ctx, address)
			done <- struct{}{}
		}()
	}
	for range s.Proxies {
		<-done
	}
	return answers
}

func (c *command) askOne(ctx context.Context, address string) answer {
	st, err := c.Status(ctx, address)
	if err != nil {
		return answer{Address: address, Error: err.Error()}
	}
	return answer{Address: address, Status: &st}
}

// observe sums up what the proxies say; those that don't answer are left out.
func (c *command) observe(ctx context.Context, s settings.Control) plan.State {
	return plan.Observe(statuses(c.ask(ctx, s)))
}

func statuses(answers []answer) []statusapi.Status {
	var out []statusapi.Status
	for _, a := range answers {
		if a.Status != nil {
			out = append(out, *a.Status)
		}
	}
	return out
}
