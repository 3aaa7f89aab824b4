package bench

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

const (
	controlUser   = "control"
	statusTimeout = time.Second
)

// Server is the process of one server of a database group.
type Server struct {
	// Address is the IP:port on which it serves statements.
	Address string
	// PID is the process id.
	PID int
}

// ParseServer parses "IP:port=PID".
func ParseServer(text string) (Server, error) {
	address, pid, ok := strings.Cut(text, "=")
	n, err := strconv.Atoi(pid)
	if !ok || err != nil || n <= 1 {
		return Server{}, errors.Errorf("not IP:port=PID: %q", text)
	}
	return Server{Address: address, PID: n}, nil
}

// FindPrimary returns the address of the server that reports to be primary at
// the highest term.
func FindPrimary(ctx context.Context, addresses []string) (string, error) {
	found, term := "", tables.Term(0)
	for _, address := range addresses {
		st, err := ServerStatus(ctx, address)
		if err == nil && st.Role == tables.RolePrimary && st.Fenced > term {
			found, term = address, st.Fenced
		}
	}
	if found == "" {
		return "", errors.Errorf("none of %s is a primary", strings.Join(addresses, ", "))
	}
	return found, nil
}

// ServerStatus queries the status of a server.
func ServerStatus(ctx context.Context, address string) (tables.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	c := group.NewClient(address, controlUser, "", "bench")
	defer c.Close()
	return c.Status(ctx)
}

// primaryOf returns the primary among the servers of a group.
func primaryOf(ctx context.Context, servers []Server) (Server, error) {
	addresses := make([]string, len(servers))
	for i, s := range servers {
		addresses[i] = s.Address
	}
	address, err := FindPrimary(ctx, addresses)
	for _, s := range servers {
		if s.Address == address {
			return s, err
		}
	}
	return Server{}, err
}
