package experiment

import (
	"strconv"
	"strings"
	"syscall"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Process is a running process of the set-up.
type Process int

// signal sends sig to the process.
func (p Process) signal(sig syscall.Signal) error {
	return errors.Wrapf(syscall.Kill(int(p), sig), "signal %s to process %d", sig, int(p))
}

// Server is an emulated database server.
type Server struct {
	// Group is the database group that it belongs to.
	Group tables.GroupID
	// ID names it.
	ID tables.UpstreamID
	// Address is where it serves statements, as IP:port.
	Address string
	// Control is where it takes faults, as IP:port.
	Control string
	// Process runs it.
	Process Process
}

// Proxy is a proxy of the set-up.
type Proxy struct {
	// Callers is where it serves callers, as IP:port.
	Callers string
	// Admin is where it reports its status, as IP:port.
	Admin string
	// Process runs it.
	Process Process
}

// SetUp is what an experiment runs on.
type SetUp struct {
	// Servers are all database servers.
	Servers []Server
	// Proxies are all proxies.
	Proxies []Proxy
	// LateAdmin is the admin address of a proxy that is started during the
	// load; empty for none.
	LateAdmin string
	// Platform is the platform's IP:port.
	Platform string
	// ControlSettings is the path of the operators' settings file.
	ControlSettings string
}

// ParseServer reads "GROUP/ID=ADDRESS,CONTROL,PID".
func ParseServer(text string) (Server, error) {
	name, rest, _ := strings.Cut(text, "=")
	group, id, ok := strings.Cut(name, "/")
	fields, process, err := parseProcess(rest)
	if !ok || err != nil || len(fields) != 2 {
		return Server{}, errors.Errorf("not GROUP/ID=ADDRESS,CONTROL,PID: %q", text)
	}
	return Server{
		Group: tables.GroupID(group), ID: tables.UpstreamID(id),
		Address: fields[0], Control: fields[1], Process: process,
	}, nil
}

// ParseProxy reads "CALLERS,ADMIN,PID".
func ParseProxy(text string) (Proxy, error) {
	fields, process, err := parseProcess(text)
	if err != nil || len(fields) != 2 {
		return Proxy{}, errors.Errorf("not CALLERS,ADMIN,PID: %q", text)
	}
	return Proxy{Callers: fields[0], Admin: fields[1], Process: process}, nil
}

// parseProcess reads fields that end with a process id.
func parseProcess(text string) (fields []string, p Process, err error) {
	fields = strings.Split(text, ",")
	last := len(fields) - 1
	pid, err := strconv.Atoi(fields[last])
	if err == nil && pid <= 1 {
		err = errors.Errorf("process id %d", pid)
	}
	return fields[:last], Process(pid), err
}

// members returns the servers of a group.
func (s *SetUp) members(group tables.GroupID) []Server {
	var out []Server
	for _, server := range s.Servers {
		if server.Group == group {
			out = append(out, server)
		}
	}
	return out
}

// victims returns the first group of each service, which experiments harm.
// Groups are named after their service's databases, which are numbered from 1.
func (s *SetUp) victims() []tables.GroupID {
	var out []tables.GroupID
	seen := make(map[tables.GroupID]bool)
	for _, server := range s.Servers {
		if strings.HasSuffix(string(server.Group), "1") && !seen[server.Group] {
			seen[server.Group] = true
			out = append(out, server.Group)
		}
	}
	return out
}

// lastProxy returns the proxy that experiments harm.
func (s *SetUp) lastProxy() Proxy { return s.Proxies[len(s.Proxies)-1] }
