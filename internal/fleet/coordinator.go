package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// coordinatorLease is this proxy's claim to the coordinator lease, the right of
// one proxy at a time to order promotions.
type coordinatorLease struct {
	// fencingToken grows from one holder to the next.
	fencingToken uint64
	claimID      string
	// version is that of the lease's row. A claim is void in another era.
	version tables.Version
	// validUntil is when the right to order promotions ends, by this proxy's
	// clock.
	validUntil tables.Time
	// storeClock is the store's clock as of storeClockAt or later.
	storeClock   time.Duration
	storeClockAt tables.Time
	// lastOrderAt is when the last promotion under this claim was ordered; 0 if
	// none was.
	lastOrderAt tables.Time
	// attempts is the number of replacements that use the lease.
	attempts int
}

// errNotCoordinator means that another proxy holds the coordinator lease, or
// that the lease's row changed.
var errNotCoordinator = errors.New("fleet: another proxy holds the coordinator lease")

// announce claims or renews the coordinator lease and announces the replacement
// in the store. Once freshness.Lease has passed since then, no proxy uses
// replies of the old primary any more.
func (a *attempt) announce(ctx context.Context) error {
	f := a.f
	for try := 0; try < writeTries; try++ {
		at := f.Now()
		rows, err := f.Store.ReadTable(ctx, RecordTable)
		if err != nil {
			return errors.Wrap(err, "read the records")
		}
		at = at.Add(-rows.Age)
		f.applyRecords(rows, true, at)
		if rows.Era != a.era {
			return errors.Wrap(errEraEnded, "announce")
		}
		lease, err := a.planAnnouncement(rows, at)
		if err != nil {
			return err
		}
		err = a.writeAnnouncement(ctx, rows, lease, at)
		switch {
		case err == nil:
			f.log.Info("Announced the replacement of a primary.", "group", a.id, "primary", a.record.Primary,
				"record", a.recordVersion, "token", f.coordinatorToken())
			return nil
		case errors.Is(err, platform.ErrConflict):
			return errors.Wrap(errNotCoordinator, "announce")
		case errors.Is(err, platform.ErrUnknown):
			// The next read shows by the claim's id whether the write was applied.
			continue
		}
		return errors.Wrap(err, "announce")
	}
	return errors.New("announce: no definite reply from the store")
}

// leaseState is the coordinator lease as read from the store.
type leaseState struct {
	record  tables.CoordinatorLease
	version tables.Version
	// own says that the current claim belongs to this proxy and can be extended.
	own bool
}

// planAnnouncement checks the rows as read, and loads the group's record and
// the coordinator lease that the announcement replaces.
func (a *attempt) planAnnouncement(rows platform.Rows, at tables.Time) (leaseState, error) {
	f := a.f
	var lease leaseState
	a.storeClock = rows.Clock
	a.record, a.recordVersion = tables.PrimaryRecord{}, tables.Version{}
	for _, r := range rows.Rows {
		version := tables.Version{Era: rows.Era, Counter: r.Version}
		switch r.Key {
		case a.leaseKey():
			if err := json.Unmarshal(r.Value, &lease.record); err != nil {
				f.log.Error("The coordinator lease can't be decoded; overwriting it.", "rowVersion", r.Version, "error", err)
			}
			lease.version = version
		case a.recordKey():
			if err := json.Unmarshal(r.Value, &a.record); err != nil {
				f.log.Error("A group's record can't be decoded; overwriting it.", "rowVersion", r.Version, "error", err)
			}
			a.recordVersion = version
		}
	}
	if rows.Era > 0 && a.recordVersion.IsZero() {
		return lease, errors.Errorf("the group is not confirmed in era %d", rows.Era)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if lease.record.Claim == a.claimID && f.coordinator.claimID != a.claimID {
		// An earlier try was applied, but its reply was lost.
		f.coordinator.fencingToken, f.coordinator.claimID = lease.version.FencingToken(), a.claimID
		f.coordinator.validUntil = at.Add(lease.record.Until - rows.Clock - replace.MinOrderGap - replace.CoordinatorClockMargin)
	}
	lease.own = lease.record.Claim != "" && lease.record.Claim == f.coordinator.claimID
	if !lease.own && rows.Clock < lease.record.Until {
		return lease, errors.Wrapf(errNotCoordinator, "held by %s", lease.record.Holder)
	}
	if a.recordVersion.IsZero() {
		a.record.Primary = f.group(a.id).Primary
	}
	if a.failedLeader.Upstream != nil && a.recordVersion != a.failedLeader.record {
		return lease, errors.Errorf("the record changed to version %s since the primary of version %s failed", a.recordVersion, a.failedLeader.record)
	}
	if a.keepsPrimary || a.demotes {
		return lease, nil
	}
	return lease, f.checkMembers(f.group(a.id))
}

// writeAnnouncement writes the announcement; at is when the rows were read.
func (a *attempt) writeAnnouncement(ctx context.Context, rows platform.Rows, lease leaseState, at tables.Time) error {
	f := a.f
	next := tables.CoordinatorLease{Holder: f.VM, Claim: lease.record.Claim, Until: rows.Clock + replace.CoordinatorLeaseTime + replace.MinOrderGap}
	if !lease.own {
		next.Claim = a.claimID
	}
	a.record.Replacing = true
	row, err := json.Marshal(a.record)
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	leaseRow, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the coordinator lease")
	}
	done, err := f.applyIn(ctx, a.era, platform.Change{
		Table: RecordTable,
		Expect: []platform.Expectation{
			{Key: a.recordKey(), Version: a.recordVersion.Counter},
			{Key: a.leaseKey(), Version: lease.version.Counter},
		},
		Writes: []platform.Write{{Key: a.recordKey(), Value: row}, {Key: a.leaseKey(), Value: leaseRow}},
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !lease.own {
		// The store's version grows with every write, so a later claim has a higher
		// token.
		f.coordinator.fencingToken = done.FencingToken()
	}
	f.coordinator.claimID, f.coordinator.version = next.Claim, done
	f.coordinator.attempts++
	f.coordinator.validUntil = at.Add(replace.CoordinatorLeaseTime - replace.CoordinatorClockMargin)
	f.coordinator.storeClock, f.coordinator.storeClockAt = rows.Clock, at
	a.recordVersion, a.announcedAt = done, f.Now()
	return nil
}

func (f *Fleet) coordinatorToken() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coordinator.fencingToken
}

// releaseCoordinator releases the coordinator lease once no replacement of this
// proxy needs it, so that another proxy need not wait until the claim expires.
// After an order the lease still lasts for replace.MinOrderGap.
func (a *attempt) releaseCoordinator(ctx context.Context) {
	f := a.f
	f.mu.Lock()
	f.coordinator.attempts--
	lease := f.coordinator
	f.mu.Unlock()
	if lease.attempts > 0 {
		return
	}
	next := tables.CoordinatorLease{Holder: f.VM, Claim: lease.claimID}
	if lease.lastOrderAt != 0 {
		// The store's clock at the order was at most this, plus the duration of the
		// read.
		next.Until = lease.storeClock + lease.lastOrderAt.Sub(lease.storeClockAt) + replace.MinOrderGap
	}
	row, err := json.Marshal(next)
	if err != nil {
		f.log.Error("Could not encode the coordinator lease.", "error", err)
		return
	}
	done, err := f.applyIn(context.WithoutCancel(ctx), a.era, platform.Change{
		Table:  RecordTable,
		Expect: []platform.Expectation{{Key: a.leaseKey(), Version: lease.version.Counter}},
		Writes: []platform.Write{{Key: a.leaseKey(), Value: row}},
	})
	if err != nil {
		f.log.Info("Could not release the coordinator lease; it will expire.", "until", lease.validUntil, "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.coordinator.version == lease.version {
		// The claim can be renewed if this proxy needs it again, but grants nothing
		// until then.
		f.coordinator.version, f.coordinator.validUntil = done, 0
	}
}

// updateRecord writes the group's row if it is unchanged since this attempt
// last wrote it. An announcement by another coordinator changes the row and
// thereby ends this attempt.
func (a *attempt) updateRecord(ctx context.Context, next tables.PrimaryRecord) error {
	row, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	for try := 0; ; try++ {
		done, err := a.f.applyIn(ctx, a.era, platform.Change{
			Table:  RecordTable,
			Expect: []platform.Expectation{{Key: a.recordKey(), Version: a.recordVersion.Counter}},
			Writes: []platform.Write{{Key: a.recordKey(), Value: row}},
		})
		if err == nil {
			a.recordVersion, a.record = done, next
			return nil
		}
		if try >= writeTries || errors.Is(err, errEraEnded) || errors.Is(err, platform.ErrConflict) && try == 0 {
			return errors.Wrap(err, "write a record")
		}
		if applied, readErr := a.writeApplied(ctx, row); readErr == nil && applied {
			a.record = next
			return nil
		}
		if sleepErr := sleep.For(ctx, storeRetryDelay); sleepErr != nil {
			return errors.Wrap(err, "write a record")
		}
	}
}

// writeApplied reads back whether a write without a reply took effect.
func (a *attempt) writeApplied(ctx context.Context, row []byte) (bool, error) {
	rows, err := a.f.Store.ReadTable(ctx, RecordTable)
	if err != nil || rows.Era != a.era {
		return false, err
	}
	for _, r := range rows.Rows {
		if r.Key == a.recordKey() && string(r.Value) == string(row) {
			a.recordVersion = tables.Version{Era: rows.Era, Counter: r.Version}
			return true, nil
		}
	}
	return false, nil
}
