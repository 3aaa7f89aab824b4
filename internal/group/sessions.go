package group

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Session is one connection to a server, as listed by the server.
type Session struct {
	// PID is the server's process id of the connection.
	PID uint32 `json:"pid"`
	// Application is the application name; a proxy sends "vm@data-centre".
	Application string `json:"application"`
}

// TerminateVM terminates every connection of vm to the server, which frees the
// slots that they occupy. It returns the number of connections terminated. It must
// be called only for a VM that has failed or was replaced: a running VM loses its
// statements in progress.
func (c *Client) TerminateVM(ctx context.Context, vm tables.VMID) (int, error) {
	sessions, err := c.sessions(ctx)
	if err != nil {
		return 0, err
	}
	terminated := 0
	for _, s := range sessions {
		name, _, _ := strings.Cut(s.Application, "@")
		if name != string(vm) {
			continue
		}
		result, err := c.queryText(ctx, fmt.Sprintf("SELECT pg_terminate_backend(%d)", s.PID))
		if err != nil {
			return terminated, err
		}
		if result == "t" {
			terminated++
		}
	}
	return terminated, nil
}

func (c *Client) sessions(ctx context.Context) ([]Session, error) {
	text, err := c.queryText(ctx, "SELECT cs_sessions()")
	if err != nil {
		return nil, err
	}
	var list []Session
	err = json.Unmarshal([]byte(text), &list)
	return list, errors.Wrap(err, "decode the list of sessions")
}
