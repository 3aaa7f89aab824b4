package group

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Session is one connection as its server sees it.
type Session struct {
	// PID is the server's process id of the connection.
	PID uint32 `json:"pid"`
	// Application is the application name: "vm@data-centre" for a proxy.
	Application string `json:"application"`
}

// TerminateVM ends every connection that vm holds at the server, and with them
// the slots that they hold. It returns how many there were. The caller must
// know that the VM is dead or was replaced: a live one loses what it runs.
func (c *Client) TerminateVM(ctx context.Context, vm tables.VMID) (int, error) {
	sessions, err := c.sessions(ctx)
	if err != nil {
		return 0, err
	}
	ended := 0
	for _, s := range sessions {
		name, _, _ := strings.Cut(s.Application, "@")
		if name != string(vm) {
			continue
		}
		answer, err := c.value(ctx, fmt.Sprintf("SELECT pg_terminate_backend(%d)", s.PID))
		if err != nil {
			return ended, err
		}
		if answer == "t" {
			ended++
		}
	}
	return ended, nil
}

func (c *Client) sessions(ctx context.Context) ([]Session, error) {
	text, err := c.value(ctx, "SELECT cs_sessions()")
	if err != nil {
		return nil, err
	}
	var list []Session
	err = json.Unmarshal([]byte(text), &list)
	return list, errors.Wrap(err, "decode the list of sessions")
}
