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

// commitAttempts bounds how often an unanswered commit is repeated.
const commitAttempts = 3

// Result is the outcome of a confirm.
type Result struct {
	// Head is the head row that the plan led to.
	Head config.Head `json:"head"`
	// Already says that an earlier confirm put the plan in force.
	Already bool `json:"already"`
	// Replaced says that a later version is in force by now.
	Replaced bool `json:"replaced"`
}

// Confirm puts the plan of the approval in force and writes the history row.
// It is idempotent by plan id: a repeat reports what the first one did. The
// error is a codes.Error; one that says NotRun means that this call surely
// changed nothing.
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
		return s.settled(ctx, record, a)
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

// settled answers a confirm whose base version is not in force any more.
func (s Store) settled(ctx context.Context, r Record, a Approval) (Result, error) {
	h, ok, err := s.historic(ctx, r.BaseVersion+1)
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
		// The history row decides: it also shows whether an earlier attempt took effect.
		h, ok, readErr := s.historic(ctx, head.Version)
		switch {
		case readErr == nil && ok:
			return decided(h, head)
		case err == nil:
			return Result{Head: head}, nil
		case errors.Is(err, platform.ErrConflict):
			return Result{}, refused(readErr, unknown, head)
		}
		unknown = true
	}
	if unknown {
		return Result{}, outcomeUnknown(head)
	}
	return Result{}, platformDown(err)
}

// refused gives the code for a conflict that no history row explains.
func refused(readErr error, unknown bool, head config.Head) error {
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

// decided compares the head that stands at a version with the one that was to be written.
func decided(stands, wanted config.Head) (Result, error) {
	if stands.PlanID != wanted.PlanID {
		return Result{}, staleBase(wanted.Version - 1)
	}
	mine := stands.Operator == wanted.Operator && stands.ConfirmedAt.Equal(wanted.ConfirmedAt)
	return Result{Head: stands, Already: !mine}, nil
}

func outcomeUnknown(head config.Head) error {
	return codes.New(codes.OutcomeUnknown, codes.Unknown, retryAfter, "plan "+head.PlanID)
}

func staleBase(base uint64) error {
	detail := fmt.Sprintf("version %d is not in force; make a new plan", base)
	return codes.New(codes.StaleBase, codes.NotRun, 0, detail)
}
