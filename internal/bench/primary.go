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

// Server is a process that serves one member of a database group.
type Server struct {
	// Address is its IP:port.
	Address string
	// PID is its process id.
	PID int
}

// ParseServer reads "IP:port=PID".
func ParseServer(text string) (Server, error) {
	address, pid, ok := strings.Cut(text, "=")
	n, err := strconv.Atoi(pid)
	if !ok || err != nil || n <= 1 {
		return Server{}, errors.Errorf("not IP:port=PID: %q", text)
	}
	return Server{Address: address, PID: n}, nil
}

// FindPrimary returns the address that leads at the highest term.
func FindPrimary(ctx context.Context, addresses []string) (string, error) {
	found, term := "", tables.Term(0)
	for _, address := range addresses {
		st, err := ServerStatus(ctx, address)
		if err == nil && st.Role == tables.RolePrimary && st.Fenced > term {
			found, term = address, st.Fenced
		}
	}
	if found == "" {
		return "", errors.Errorf("none of %s leads", strings.Join(addresses, ", "))
	}
	return found, nil
}

// ServerStatus asks a server for its account of itself.
func ServerStatus(ctx context.Context, address string) (tables.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	c := group.NewClient(address, controlUser, "", "bench")
	defer c.Close()
	return c.Status(ctx)
}

// primaryOf returns the server of a group that leads.
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
