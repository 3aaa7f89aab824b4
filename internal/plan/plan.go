// Package plan compares declarations with the configuration in force, lists the
// changes with their estimated cost, and puts a plan in force once an operator
// has confirmed it.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/pkg/errors"
)

// Record is the stored part of a plan. It holds everything that Confirm needs,
// and equal plans have equal records.
type Record struct {
	// BaseVersion is the configuration version that the plan is based on; 0 means none.
	BaseVersion uint64 `json:"baseVersion"`
	// DocumentHash is the content hash of the new document.
	DocumentHash string `json:"documentHash"`
}

// encode returns the stored form of r and the plan id, its hex SHA-256.
func (r Record) encode() (body []byte, id string, err error) {
	body, err = json.Marshal(r)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode plan")
	}
	sum := sha256.Sum256(body)
	return body, hex.EncodeToString(sum[:]), nil
}

// Plan lists what would change, and the expected cost.
type Plan struct {
	Record
	// ID identifies the plan. It depends only on the record.
	ID string `json:"id"`
	// Changes are in the order of services, groups, users, operators and VMs.
	Changes []Change `json:"changes"`
	// Cost is estimated from the state observed when the plan was made.
	Cost Cost `json:"cost"`
}

// Make returns the plan that changes the configuration from old, which is in
// force at version base, to new. It rejects a new document that equals the old
// one, changes two servers of one group at once, or marks so many servers of a
// group as leaving that no majority remains.
func Make(base uint64, old, new config.Document, observed State) (Plan, error) {
	_, oldHash, err := old.Encode()
	if err != nil {
		return Plan{}, err
	}
	_, newHash, err := new.Encode()
	if err != nil {
		return Plan{}, err
	}
	if base > 0 && oldHash == newHash {
		return Plan{}, codes.New(codes.NothingToChange, codes.NotRun, 0, fmt.Sprintf("version %d", base))
	}
	if err := checkMembership(old, new); err != nil {
		return Plan{}, err
	}
	if err := checkMajorities(new); err != nil {
		return Plan{}, err
	}
	p := Plan{Record: Record{BaseVersion: base, DocumentHash: newHash}}
	if _, p.ID, err = p.encode(); err != nil {
		return Plan{}, err
	}
	p.Changes = Diff(old, new, observed)
	p.Cost = estimate(old, new, observed, p.Changes)
	return p, nil
}

// checkMembership rejects plans that change two servers of one group: a majority
// of the old members and one of the new members need not share a server then.
func checkMembership(old, new config.Document) error {
	for _, change := range groupChanges(old, new) {
		if len(change.changedMembers()) > 1 {
			detail := fmt.Sprintf("group %s: change one server at a time, not %v", change.new.ID, change.changedMembers())
			return codes.New(codes.DeclarationBad, codes.NotRun, 0, detail)
		}
	}
	return nil
}

func checkMajorities(doc config.Document) error {
	for _, g := range doc.Groups {
		if !g.KeepsMajority() {
			detail := fmt.Sprintf("group %s: a majority of its upstreams must not be leaving", g.ID)
			return codes.New(codes.DeclarationBad, codes.NotRun, 0, detail)
		}
	}
	return nil
}
