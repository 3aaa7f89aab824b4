// Package config defines the configuration document that is in force on every
// proxy: the operators' declarations, merged into one versioned value. It is
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
	// HeadKey is the key of the row that identifies the document in force; its
	// value is a Head.
	HeadKey = "config/head"
	// HistoryPrefix followed by a version in 12 digits is the key of a row with the
	// Head of that version.
	HistoryPrefix = "config/history/"
	// ObjectPrefix followed by the content hash of a document or plan is its key.
	ObjectPrefix = "config/"
)

// Duration is a time.Duration that is encoded as text in JSON, such as "3s".
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
	// DataCentre is the data centre of the server.
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// Address is its IP:port.
	Address string `json:"address"`
	// Slots is how many statements it runs concurrently, from all proxies together.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts, from all proxies together.
	Connections int `json:"connections"`
	// Leaving means that the server must receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Group is one declared database group.
type Group struct {
	// ID names the group.
	ID tables.GroupID `json:"id"`
	// FirstPrimary is the server that is the primary at term 1.
	FirstPrimary tables.UpstreamID `json:"firstPrimary"`
	// Upstreams are its servers.
	Upstreams []Upstream `json:"upstreams"`
}

// KeepsMajority reports whether the upstreams that are not leaving are a majority
// of g.
func (g Group) KeepsMajority() bool {
	staying := 0
	for _, u := range g.Upstreams {
		if !u.Leaving {
			staying++
		}
	}
	return staying >= tables.Majority(len(g.Upstreams))
}

// Intent is a named set of request properties that callers select with the tag
// "intent".
type Intent struct {
	// Name is the name that callers use.
	Name string `json:"name"`
	// MaxAge, if not nil, declares a read that accepts data up to this age; 0 means
	// the newest data.
	MaxAge *Duration `json:"maxAge,omitempty"`
	// Idempotent means that running the request twice has the effect of running it
	// once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deadline is the longest time that the caller waits; 0 means the deadline of
	// the service.
	Deadline Duration `json:"deadline,omitempty"`
	// Priority orders requests that wait for a slot; higher priorities go first.
	Priority int `json:"priority,omitempty"`
}

// Objective is a service-level objective.
type Objective struct {
	// Promise is the measured property: "availability", "latency", "age" or
	// "replica-share".
	Promise string `json:"promise"`
	// Target is the required fraction of good requests, between 0 and 1.
	Target float64 `json:"target"`
	// Threshold is the greatest latency of a good request; used by "latency".
	Threshold Duration `json:"threshold,omitempty"`
}

// Service is a database service that callers connect to by Name. Each of its
// databases is one group; callers name it "service/database" in startup messages.
type Service struct {
	// Name is the name of the service.
	Name tables.ServiceID `json:"name"`
	// Databases maps a database name to its group.
	Databases map[string]tables.GroupID `json:"databases"`
	// Deadline is the longest time that a request may take if the caller sets no
	// deadline.
	Deadline Duration `json:"deadline"`
	// QueueLimit bounds the requests that wait for a slot of one group on one proxy.
	QueueLimit int `json:"queueLimit"`
	// Weight is the service's relative share when services compete for slots; at
	// least 1.
	Weight int `json:"weight"`
	// Intents are the service's routing intents.
	Intents []Intent `json:"intents,omitempty"`
	// Objectives are its service-level objectives.
	Objectives []Objective `json:"objectives,omitempty"`
}

// User holds a caller's SCRAM-SHA-256 verifier.
type User struct {
	// Name is the user name.
	Name string `json:"name"`
	// Salt is the base64 salt.
	Salt string `json:"salt"`
	// Iterations is the SCRAM iteration count.
	Iterations int `json:"iterations"`
	// StoredKey is the base64 SCRAM StoredKey.
	StoredKey string `json:"storedKey"`
	// ServerKey is the base64 SCRAM ServerKey.
	ServerKey string `json:"serverKey"`
	// Services are the services that the user may connect to; empty means all.
	Services []tables.ServiceID `json:"services,omitempty"`
}

// Operator is a person who may confirm plans.
type Operator struct {
	// Name is recorded with each confirmation.
	Name string `json:"name"`
	// PublicKey is the base64 Ed25519 key that verifies the signatures of the
	// operator's confirmations.
	PublicKey string `json:"publicKey"`
}

// Document is the complete configuration that operators declare.
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

// Head is the row that identifies the document in force.
type Head struct {
	// Version starts at 1 and grows by one with each confirmed plan.
	Version uint64 `json:"version"`
	// Hash is the document's content hash.
	Hash string `json:"hash"`
	// BaseHash is the content hash of the previous document; empty at version 1.
	BaseHash string `json:"baseHash,omitempty"`
	// PlanID is the id of the confirmed plan.
	PlanID string `json:"planId"`
	// Operator is the name of the operator who confirmed the plan.
	Operator string `json:"operator"`
	// ConfirmedAt is the wall-clock time on the confirming machine, for information
	// only.
	ConfirmedAt time.Time `json:"confirmedAt"`
	// Signature is the operator's base64 Ed25519 signature of the confirmation.
	Signature string `json:"signature,omitempty"`
}

// Encode returns the canonical JSON of d and the hex SHA-256 hash of it.
func (d Document) Encode() (body []byte, hash string, err error) {
	body, err = json.Marshal(d)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode configuration")
	}
	sum := sha256.Sum256(body)
	return body, hex.EncodeToString(sum[:]), nil
}

// Decode decodes a document encoded by Encode.
func Decode(body []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	return d, nil
}
