// Package config is the configuration document that is in force on every
// proxy: what operators declared, merged into one value with a version. It is
// stored as JSON in the platform's object store under its content hash.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Keys of the platform's table rows and objects that hold configuration.
const (
	// HeadKey is the row that names the document in force; its value is a Head.
	HeadKey = "config/head"
	// HistoryPrefix is followed by the version in 12 digits; the value is a Head.
	HistoryPrefix = "config/history/"
	// ObjectPrefix is followed by the content hash of a document or plan.
	ObjectPrefix = "config/"
)

// Duration is a time.Duration written as text such as "3s" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Errorf("not a duration: %q", b)
	}
	*d = Duration(v)
	return nil
}

// Upstream is one declared database server.
type Upstream struct {
	// ID names the server.
	ID tables.UpstreamID `json:"id"`
	// DataCentre is where it runs.
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// Address is its IP:port.
	Address string `json:"address"`
	// Slots is how many statements it runs at once, over all proxies.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts, over all proxies.
	Connections int `json:"connections"`
	// Leaving says that it must receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Group is one declared database group.
type Group struct {
	// ID names the group.
	ID tables.GroupID `json:"id"`
	// FirstPrimary is the server that stands as primary at term 1.
	FirstPrimary tables.UpstreamID `json:"firstPrimary"`
	// Upstreams are its servers.
	Upstreams []Upstream `json:"upstreams"`
}

// KeepsMajority reports whether a majority of g's upstreams is not leaving.
func (g Group) KeepsMajority() bool {
	staying := 0
	for _, u := range g.Upstreams {
		if !u.Leaving {
			staying++
		}
	}
	return staying >= tables.Majority(len(g.Upstreams))
}

// Intent is a named declaration that callers refer to by the tag "intent".
type Intent struct {
	// Name is what callers write.
	Name string `json:"name"`
	// MaxAge, if not nil, declares a read that accepts data of this age; 0 asks for the newest.
	MaxAge *Duration `json:"maxAge,omitempty"`
	// Idempotent says that running the request twice does no harm.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline is the longest time the caller waits; 0 means the service's.
	Deadline Duration `json:"deadline,omitempty"`
	// Priority orders requests when slots are scarce; higher goes first.
	Priority int `json:"priority,omitempty"`
}

// Objective is a service-level objective.
type Objective struct {
	// Promise is what is counted: "availability", "latency", "age" or "replica-share".
	Promise string `json:"promise"`
	// Target is the share of good requests, between 0 and 1.
	Target float64 `json:"target"`
	// Threshold bounds a good request's latency; used by "latency".
	Threshold Duration `json:"threshold,omitempty"`
}

// Service is a database service that callers connect to by Name; each of its
// databases is one group, named "service/database" in callers' startup messages.
type Service struct {
	// Name names the service.
	Name tables.ServiceID `json:"name"`
	// Databases maps a database name to its group.
	Databases map[string]tables.GroupID `json:"databases"`
	// Deadline is the longest time a request may take where the caller states none.
	Deadline Duration `json:"deadline"`
	// QueueLimit bounds the requests that wait for a slot of one group on one proxy.
	QueueLimit int `json:"queueLimit"`
	// Weight is the service's share where services compete for a slot; at least 1.
	Weight int `json:"weight"`
	// Intents are the service's routing intents.
	Intents []Intent `json:"intents,omitempty"`
	// Objectives are its service-level objectives.
	Objectives []Objective `json:"objectives,omitempty"`
}

// User is a caller's credentials for SCRAM-SHA-256.
type User struct {
	// Name is the user name.
	Name string `json:"name"`
	// Salt is the base64 salt.
	Salt string `json:"salt"`
	// Iterations is the SCRAM iteration count.
	Iterations int `json:"iterations"`
	// StoredKey is base64.
	StoredKey string `json:"storedKey"`
	// ServerKey is base64.
	ServerKey string `json:"serverKey"`
	// Services are the services the user may connect to; empty means all.
	Services []tables.ServiceID `json:"services,omitempty"`
}

// Operator is someone who may confirm plans.
type Operator struct {
	// Name is recorded with each confirm.
	Name string `json:"name"`
	// PublicKey is a base64 Ed25519 key that signs confirms.
	PublicKey string `json:"publicKey"`
}

// Document is everything operators declare.
type Document struct {
	// Services are the database services.
	Services []Service `json:"services"`
	// Groups are the database groups.
	Groups []Group `json:"groups"`
	// Users are the callers' users.
	Users []User `json:"users"`
	// Operators are the people who may confirm plans.
	Operators []Operator `json:"operators"`
	// LeavingVMs are entry VMs that must be drained.
	LeavingVMs []tables.VMID `json:"leavingVMs,omitempty"`
}

// Head is the row that says which document is in force.
type Head struct {
	// Version grows by one with each confirmed plan, from 1.
	Version uint64 `json:"version"`
	// Hash is the document's content hash.
	Hash string `json:"hash"`
	// BaseHash is the content hash of the document in force before; empty at version 1.
	BaseHash string `json:"baseHash,omitempty"`
	// PlanID is the plan that was confirmed.
	PlanID string `json:"planId"`
	// Operator confirmed it.
	Operator string `json:"operator"`
	// ConfirmedAt is the confirming machine's wall time, for people only.
	ConfirmedAt time.Time `json:"confirmedAt"`
	// Signature is the operator's base64 Ed25519 signature of the confirm.
	Signature string `json:"signature,omitempty"`
}

// Encode returns the canonical JSON of d and its hex SHA-256.
func (d Document) Encode() (body []byte, hash string, err error) {
	body, err = json.Marshal(d)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode configuration")
	}
	sum := sha256.Sum256(body)
	return body, hex.EncodeToString(sum[:]), nil
}

// Decode reads a document written by Encode.
func Decode(body []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	return d, nil
}
