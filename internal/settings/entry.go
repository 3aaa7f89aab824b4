package settings

import (
	"reflect"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Entry holds the settings of a proxy on the users' platform. The platform defines
// the format of the settings file; package platform/process reads it.
type Entry struct {
	// VM is the name of the VM.
	VM tables.VMID
	// DataCentre is the data centre of the VM.
	DataCentre tables.DataCentreID
	// Regions maps data centres to regions. It is empty if the platform names no
	// regions.
	Regions map[tables.DataCentreID]string
	// Address is the IP address of the VM.
	Address string
	// CallerAddress is the IP:port that callers connect to.
	CallerAddress string
	// PeerAddress is the IP:port for messages between proxies.
	PeerAddress string
	// ReadyAddress is the IP:port of the readiness probe.
	ReadyAddress string
	// MetadataAddress is the IP:port of the platform's metadata store.
	MetadataAddress string
	// CloudAPIAddress is the IP:port of the platform's cloud API, through which the
	// coordinator orders promotions.
	CloudAPIAddress string
	// Heartbeat is the interval at which servers renew their entries in the metadata
	// store.
	Heartbeat time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// DrainLimit is how long a server may receive new work after it announced that it
	// is leaving.
	DrainLimit time.Duration
	// QuotaWindow is the length of the sliding window in which the teams' limits hold;
	// 0 means the default.
	QuotaWindow time.Duration
	// QuotaOvershoot is the fraction, and QuotaSlack a further number of operations, by
	// which a window may exceed a team's limit.
	QuotaOvershoot, QuotaSlack float64
	// Descriptors is the number of file descriptors that the process may open.
	Descriptors int
}

// Equal reports whether two settings are the same.
func (e Entry) Equal(o Entry) bool { return reflect.DeepEqual(e, o) }

// Check returns an error that names the first field that is missing or invalid.
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
		{"bounds.quotaWindowS", e.QuotaWindow >= 0},
		{"bounds.quotaOvershoot", e.QuotaOvershoot >= 0},
		{"bounds.quotaSlack", e.QuotaSlack >= 0},
	}
	for _, f := range fields {
		if !f.ok {
			return errors.Errorf("settings: %s is missing or has no usable value", f.name)
		}
	}
	return nil
}
