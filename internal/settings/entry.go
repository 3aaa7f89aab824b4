package settings

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Entry is what a proxy on the users' platform is told at its start. Its file
// has the platform's format; package process reads it.
type Entry struct {
	// VM names the machine.
	VM tables.VMID
	// DataCentre is where it runs.
	DataCentre tables.DataCentreID
	// Address is the machine's IP.
	Address string
	// CallerAddress is the IP:port for callers.
	CallerAddress string
	// PeerAddress is the IP:port for messages between proxies.
	PeerAddress string
	// ReadyAddress is the IP:port of the readiness probe.
	ReadyAddress string
	// MetadataAddress is the IP:port of the platform's metadata store.
	MetadataAddress string
	// CloudAPIAddress is the IP:port of the platform's interface for duties.
	CloudAPIAddress string
	// Heartbeat is the interval at which servers renew their entries.
	Heartbeat time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// DrainLimit is how long after its notice a leaving server may get new work.
	DrainLimit time.Duration
	// Descriptors is how many file descriptors the process may open.
	Descriptors int
}

// Check returns an error that names the first field without a usable value.
func (e *Entry) Check() error {
	fields := []struct {
		name string
		ok   bool
	}{
		{"nodeId", e.VM != ""},
		{"zone", e.DataCentre != ""},
		{"listenAddrs.front", e.CallerAddress != ""},
		{"listenAddrs.ready", e.ReadyAddress != ""},
		{"internalPorts", e.PeerAddress != ""},
		{"platform.address", e.MetadataAddress != ""},
		{"heartbeatMs", e.Heartbeat > 0},
		{"bounds.graceS", e.Grace > 0},
		{"bounds.drainMs", e.DrainLimit > 0},
	}
	for _, f := range fields {
		if !f.ok {
			return errors.Errorf("settings: %s is missing or has no usable value", f.name)
		}
	}
	return nil
}
