package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/pkg/errors"
)

// commitAttempts is the maximum number of attempts for a commit whose outcome is unknown.
const commitAttempts = 3

// Result is the outcome of a confirm.
type Result struct {
	// Head is the head row that was written when the plan came into force.
	Head config.Head `json:"head"`
	// Already reports whether an earlier confirm had put the plan in force.
	Already bool `json:"already"`
	// Replaced reports whether a later version is in force by now.
	Replaced bool `json:"replaced"`
}

// Confirm puts the plan of the approval in force and writes the history row.
// It is idempotent by plan id: a repeated call returns the result of the first
// one. The error is a codes.Error; if its Ran field is NotRun, then this call
// has certainly changed nothing.
func Confirm(ctx context.Context, s Store, a Approval, now time.Time) (Result, error) {
	record, err := s.record(ctx, a.PlanID)
	if err != nil {
		return Result{}, err
	}
	if err := s.authorize(ctx, record, a); err != nil {
		return Result{}, err
	}
	cur, err := s.head(ctx)
	if err != nil {
		return Result{}, err
	}
	if cur.Head.Version != record.BaseVersion {
		return s.earlierResult(ctx, record, a)
	}
	return s.commit(ctx, cur, newHead(cur.Head, record, a, now))
}

func newHead(base config.Head, r Record, a Approval, now time.Time) config.Head {
	return config.Head{
		Version:     r.BaseVersion + 1,
		Hash:        r.DocumentHash,
		BaseHash:    base.Hash,
		PlanID:      a.PlanID,
		Operator:    a.Operator,
		ConfirmedAt: now.UTC(),
		Signature:   a.encodedSignature(),
	}
}

// earlierResult handles a confirm whose base version is no longer in force: it
// returns the result of the earlier confirm of the same plan, or StaleBase if
// another plan was confirmed.
func (s Store) earlierResult(ctx context.Context, r Record, a Approval) (Result, error) {
	h, ok, err := s.headAt(ctx, r.BaseVersion+1)
	if err != nil {
		return Result{}, err
	}
	if !ok || h.PlanID != a.PlanID {
		return Result{}, staleBase(r.BaseVersion)
	}
	cur, err := s.head(ctx)
	if err != nil {
		return Result{}, err
	}
	return Result{Head: h, Already: true, Replaced: cur.Head.Version > h.Version}, nil
}

// commit writes head and its history row on the condition that cur is still in force.
func (s Store) commit(ctx context.Context, cur InForce, head config.Head) (Result, error) {
	txn, err := confirmTxn(cur, head)
	if err != nil {
		return Result{}, err
	}
	unknown := false
	for range commitAttempts {
		err = s.Tables.Commit(ctx, txn)
		if errors.Is(err, platform.ErrUnavailable) {
			break
		}
		// Only the history row shows which plan won, including an earlier attempt of
		// this call whose response was lost.
		h, ok, readErr := s.headAt(ctx, head.Version)
		switch {
		case readErr == nil && ok:
			return resultFromHistory(h, head)
		case err == nil:
			return Result{Head: head}, nil
		case errors.Is(err, platform.ErrConflict):
			return Result{}, conflictError(readErr, unknown, head)
		}
		unknown = true
	}
	if unknown {
		return Result{}, outcomeUnknown(head)
	}
	return Result{}, platformDown(err)
}

// conflictError returns the error for a conflict after which the history row was
// not found or could not be read. If unknown is set, an earlier attempt of the
// same call may have taken effect.
func conflictError(readErr error, unknown bool, head config.Head) error {
	if unknown {
		return outcomeUnknown(head)
	}
	if readErr != nil {
		return readErr
	}
	return staleBase(head.Version - 1)
}

func confirmTxn(cur InForce, head config.Head) (platform.Txn, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return platform.Txn{}, errors.Wrap(err, "encode head")
	}
	history := historyKey(head.Version)
	txn := platform.Txn{
		ID: "confirm-" + head.PlanID,
		Conditions: []platform.Condition{
			{Key: config.HeadKey, Version: cur.rowVersion},
			{Key: history, Version: 0},
		},
		Writes: []platform.Write{
			{Key: config.HeadKey, Value: value},
			{Key: history, Value: value},
		},
	}
	return txn, nil
}

// resultFromHistory compares the head stored for a version with the one that this
// call tried to write.
func resultFromHistory(stored, wanted config.Head) (Result, error) {
	if stored.PlanID != wanted.PlanID {
		return Result{}, staleBase(wanted.Version - 1)
	}
	byThisCall := stored.Operator == wanted.Operator && stored.ConfirmedAt.Equal(wanted.ConfirmedAt)
	return Result{Head: stored, Already: !byThisCall}, nil
}

func outcomeUnknown(head config.Head) error {
	return codes.New(codes.OutcomeUnknown, codes.Unknown, retryAfter, "plan "+head.PlanID)
}

func staleBase(base uint64) error {
	detail := fmt.Sprintf("version %d is not in force; make a new plan", base)
	return codes.New(codes.StaleBase, codes.NotRun, 0, detail)
}
