package experiment

import (
	"strconv"
	"strings"
	"syscall"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Process is the process id of a running process.
type Process int

// signal sends sig to the process.
func (p Process) signal(sig syscall.Signal) error {
	return errors.Wrapf(syscall.Kill(int(p), sig), "signal %s to process %d", sig, int(p))
}

// Server is an emulated database server.
type Server struct {
	// Group is its database group.
	Group tables.GroupID
	ID    tables.UpstreamID
	// Address is the IP:port on which it serves statements.
	Address string
	// Control is the IP:port of its control API, which sets faults and returns counters.
	Control string
	Process Process
}

// Proxy is a running proxy.
type Proxy struct {
	// Callers is the IP:port on which it serves callers.
	Callers string
	// Admin is the IP:port on which it reports its status.
	Admin   string
	Process Process
}

// SetUp describes the running processes that an experiment uses.
type SetUp struct {
	Servers []Server
	Proxies []Proxy
	// LateAdmin is the admin address of a proxy that is started during the
	// load, after the platform has failed; empty for none.
	LateAdmin string
	// Platform is the platform's IP:port.
	Platform string
	// ControlSettings is the path of the operators' settings file.
	ControlSettings string
}

// ParseServer parses "GROUP/ID=ADDRESS,CONTROL,PID".
func ParseServer(text string) (Server, error) {
	name, rest, _ := strings.Cut(text, "=")
	group, id, ok := strings.Cut(name, "/")
	fields, process, err := parseProcessFields(rest)
	if !ok || err != nil || len(fields) != 2 {
		return Server{}, errors.Errorf("not GROUP/ID=ADDRESS,CONTROL,PID: %q", text)
	}
	return Server{
		Group: tables.GroupID(group), ID: tables.UpstreamID(id),
		Address: fields[0], Control: fields[1], Process: process,
	}, nil
}

// ParseProxy parses "CALLERS,ADMIN,PID".
func ParseProxy(text string) (Proxy, error) {
	fields, process, err := parseProcessFields(text)
	if err != nil || len(fields) != 2 {
		return Proxy{}, errors.Errorf("not CALLERS,ADMIN,PID: %q", text)
	}
	return Proxy{Callers: fields[0], Admin: fields[1], Process: process}, nil
}

// parseProcessFields parses comma-separated fields, the last of which is a
// process id. It rejects ids of 1 and below, because signals to them reach init
// or several processes.
func parseProcessFields(text string) (fields []string, p Process, err error) {
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

// targetGroups returns the groups on which experiments inject faults: the first
// group of each service. A group has the name of its database, and the
// databases of a service are numbered from 1.
func (s *SetUp) targetGroups() []tables.GroupID {
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

// targetProxy returns the proxy on which experiments inject faults.
func (s *SetUp) targetProxy() Proxy { return s.Proxies[len(s.Proxies)-1] }
