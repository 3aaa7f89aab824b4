// Package statusapi defines the JSON status that a proxy serves at GET /status of
// its admin address, the handler that serves it and a client for operator tools.
package statusapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Path is the path of the status at the admin address.
const Path = "/status"

// maxBodyBytes is the maximum size of a status response that Fetch reads.
const maxBodyBytes = 16 << 20

// Status is the status of one proxy.
type Status struct {
	// VM is the id of the VM on which the proxy runs.
	VM tables.VMID `json:"vm"`
	// DataCentre is the data centre of the proxy.
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// ConfigVersion is the configuration version in force.
	ConfigVersion uint64 `json:"configVersion"`
	// Ready reports whether the proxy accepts callers.
	Ready bool `json:"ready"`
	// Groups are the database groups in ascending order of id.
	Groups []Group `json:"groups"`
	// Peers are the other proxies in ascending order of VM.
	Peers []Peer `json:"peers"`
	// Callers counts the open caller connections of each service, in ascending order
	// of name.
	Callers []ServiceCallers `json:"callers"`
}

// ServiceCallers counts the open caller connections of one service.
type ServiceCallers struct {
	// Service is the name of the service.
	Service tables.ServiceID `json:"service"`
	// Open is the number of connections.
	Open int `json:"open"`
}

// Group is the proxy's view of a database group.
type Group struct {
	// Group is the id of the group.
	Group tables.GroupID `json:"group"`
	// Term is the highest term that is known to have a primary.
	Term tables.Term `json:"term"`
	// Primary is the primary of Term; it is empty while unknown.
	Primary tables.UpstreamID `json:"primary"`
	// Upstreams are the members in ascending order of id.
	Upstreams []Upstream `json:"upstreams"`
	// Refused counts the requests refused since the process started by code, in
	// ascending order of code.
	Refused []Refused `json:"refused"`
}

// Upstream is one server of a group.
type Upstream struct {
	// Upstream is the id of the server.
	Upstream tables.UpstreamID `json:"upstream"`
	// Position is the last log position that the server reported.
	Position tables.Position `json:"position"`
	// LagMillis is the upper bound of the age of its data in milliseconds; -1 means
	// unknown.
	LagMillis int64 `json:"lagMillis"`
	// Cause is the result of the last probe: "answered", "refused", "silent" and so on.
	Cause string `json:"cause"`
	// Connections is the number of this proxy's open pooled connections to it.
	Connections int `json:"connections"`
	// Leaving reports whether the server receives no new work.
	Leaving bool `json:"leaving"`
}

// Refused is the number of requests refused with one code.
type Refused struct {
	// Code is the result code.
	Code codes.Code `json:"code"`
	// Count is the number of requests.
	Count uint64 `json:"count"`
}

// Peer is the proxy's view of another proxy.
type Peer struct {
	// VM is the id of the VM on which the peer runs.
	VM tables.VMID `json:"vm"`
	// DataCentre is the data centre of the peer.
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// ConfigVersion is the configuration version that the peer last reported.
	ConfigVersion uint64 `json:"configVersion"`
	// LastSeenMillis is the time since the peer was last seen, in milliseconds; -1
	// means never.
	LastSeenMillis int64 `json:"heardMillis"`
	// Leaving reports whether the peer is shutting down.
	Leaving bool `json:"leaving"`
}

// Fetch reads the status of the proxy with the given admin address.
func Fetch(ctx context.Context, client *http.Client, address string) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return Status{}, errors.Wrap(err, "status request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return Status{}, errors.Wrap(err, "status request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Status{}, errors.Errorf("status of %s: HTTP %d", address, resp.StatusCode)
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&s); err != nil {
		return Status{}, errors.Wrapf(err, "status of %s", address)
	}
	return s, nil
}

// Handler returns a handler that serves the current result of get.
func Handler(get func() Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			http.Error(w, "use GET", http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(get())
	})
}
