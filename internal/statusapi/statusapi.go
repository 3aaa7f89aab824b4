// Package statusapi is the JSON that a proxy's admin address answers to
// GET /status, and the reader that operator tools use.
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

// Path is where the admin address serves a Status.
const Path = "/status"

// maxBody bounds the bytes read of one answer.
const maxBody = 16 << 20

// Status is one proxy's account of itself.
type Status struct {
	// VM names the entry VM.
	VM tables.VMID `json:"vm"`
	// DataCentre is where it runs.
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// ConfigVersion is the configuration version in force.
	ConfigVersion uint64 `json:"configVersion"`
	// Ready says that the proxy accepts callers.
	Ready bool `json:"ready"`
	// Groups are the database groups in ascending order.
	Groups []Group `json:"groups"`
	// Peers are the other proxies in ascending order.
	Peers []Peer `json:"peers"`
	// Callers count the open caller connections of each service, in ascending order.
	Callers []ServiceCallers `json:"callers"`
}

// ServiceCallers counts the open caller connections of one service.
type ServiceCallers struct {
	// Service names the service.
	Service tables.ServiceID `json:"service"`
	// Open is the number of connections.
	Open int `json:"open"`
}

// Group is a database group as the proxy knows it.
type Group struct {
	// Group names the group.
	Group tables.GroupID `json:"group"`
	// Term is the highest term under which a primary is known to stand.
	Term tables.Term `json:"term"`
	// Primary stands at Term; empty while unknown.
	Primary tables.UpstreamID `json:"primary"`
	// Upstreams are the members in ascending order.
	Upstreams []Upstream `json:"upstreams"`
	// Refused counts refused requests by code since the process started, in ascending order of code.
	Refused []Refused `json:"refused"`
}

// Upstream is one server of a group.
type Upstream struct {
	// Upstream names the server.
	Upstream tables.UpstreamID `json:"upstream"`
	// Position is the last position it reported.
	Position tables.Position `json:"position"`
	// LagMillis is the age bound of its data, in milliseconds; -1 means unknown.
	LagMillis int64 `json:"lagMillis"`
	// Cause is how the last probe ended: "answered", "refused", "silent" and so on.
	Cause string `json:"cause"`
	// Connections is the number of this proxy's open pooled connections to it.
	Connections int `json:"connections"`
	// Leaving says that it receives no new work.
	Leaving bool `json:"leaving"`
}

// Refused counts the requests refused with one code.
type Refused struct {
	// Code is the result code.
	Code codes.Code `json:"code"`
	// Count is the number of requests.
	Count uint64 `json:"count"`
}

// Peer is another proxy.
type Peer struct {
	// VM names the peer's entry VM.
	VM tables.VMID `json:"vm"`
	// DataCentre is where it runs.
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// ConfigVersion is the version that it last reported.
	ConfigVersion uint64 `json:"configVersion"`
	// LastSeenMillis is how long ago it was heard, in milliseconds; -1 means never.
	LastSeenMillis int64 `json:"heardMillis"`
	// Leaving says that it is shutting down.
	Leaving bool `json:"leaving"`
}

// Fetch reads the status of the proxy whose admin address is address.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&s); err != nil {
		return Status{}, errors.Wrapf(err, "status of %s", address)
	}
	return s, nil
}

// Handler serves the value that get returns.
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
