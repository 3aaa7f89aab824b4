package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// duty is this proxy's claim of the duty to replace primaries.
type duty struct {
	token   uint64
	claim   string
	version uint64
	// until is when the right to give orders ends, by this proxy's clock.
	until tables.Time
	// clock is the store's clock at clockAt or later.
	clock   time.Duration
	clockAt tables.Time
	// orderedAt is when the last order of the claim was given; 0 if none was.
	orderedAt tables.Time
	users     int
}

// errLostDuty means that another proxy has the duty or its row changed.
var errLostDuty = errors.New("fleet: another proxy has the duty")

// announce claims the duty and says in the store that the replacement begins.
// No proxy uses the old primary's answers a lease later.
func (a *attempt) announce(ctx context.Context) error {
	f := a.f
	for try := 0; try < writeTries; try++ {
		at := f.Now()
		rows, err := f.Store.ReadTable(ctx, RecordTable)
		if err != nil {
			return errors.Wrap(err, "read the records")
		}
		at = at.Add(-rows.Age)
		f.takeRecords(rows, true, at)
		d, err := a.plan(rows, at)
		if err != nil {
			return err
		}
		err = a.write(ctx, rows, d, at)
		switch {
		case err == nil:
			f.log.Info("Announced the replacement of a primary.", "group", a.id, "primary", a.record.Primary,
				"record", a.version, "token", f.token())
			return nil
		case errors.Is(err, platform.ErrConflict):
			return errors.Wrap(errLostDuty, "announce")
		case errors.Is(err, platform.ErrUnknown):
			// The next look shows whether it was done: the claim's name tells.
			continue
		}
		return errors.Wrap(err, "announce")
	}
	return errors.New("announce: no answer from the store")
}

// claimed is what an announcement writes beside the group's record.
type claimed struct {
	record  tables.CoordinatorLease
	version uint64
	// mine says that the present claim is this proxy's own and goes on.
	mine bool
}

// plan works out the announcement from the rows as read.
func (a *attempt) plan(rows platform.Rows, at tables.Time) (claimed, error) {
	f := a.f
	var d claimed
	a.clock = rows.Clock
	a.record, a.version = tables.PrimaryRecord{}, 0
	for _, r := range rows.Rows {
		switch {
		case r.Key == dutyKey:
			if err := json.Unmarshal(r.Value, &d.record); err != nil {
				f.log.Error("The duty's row can't be read and is written anew.", "rowVersion", r.Version, "error", err)
			}
			d.version = r.Version
		case r.Key == groupPrefix+string(a.id):
			if err := json.Unmarshal(r.Value, &a.record); err != nil {
				f.log.Error("A group's row can't be read and is written anew.", "rowVersion", r.Version, "error", err)
			}
			a.version = r.Version
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.record.Claim == a.claim && f.duty.claim != a.claim {
		// An earlier try was done and its answer lost.
		f.duty.token, f.duty.claim = d.version, a.claim
		f.duty.until = at.Add(d.record.Until - rows.Clock - turnTime - dutyMargin)
	}
	d.mine = d.record.Claim != "" && d.record.Claim == f.duty.claim
	if !d.mine && rows.Clock < d.record.Until {
		return d, errors.Wrapf(errLostDuty, "held by %s", d.record.Holder)
	}
	if a.version == 0 {
		a.record.Primary = f.group(a.id).Primary
	}
	if a.against.Upstream != nil && a.version != a.against.record {
		return d, errors.Errorf("the record changed to version %d since the primary of version %d failed", a.version, a.against.record)
	}
	if lost, ok := f.lostMember(f.group(a.id)); ok {
		return d, errLostMember(lost)
	}
	return d, nil
}

// write makes the announcement; at is when the rows were read.
func (a *attempt) write(ctx context.Context, rows platform.Rows, d claimed, at tables.Time) error {
	f := a.f
	next := tables.CoordinatorLease{Holder: f.VM, Claim: d.record.Claim, Until: rows.Clock + dutyTime + turnTime}
	if !d.mine {
		next.Claim = a.claim
	}
	a.record.Replacing = true
	row, err := json.Marshal(a.record)
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	dutyRow, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the duty")
	}
	done, err := f.Store.Apply(ctx, platform.Change{
		Table:  RecordTable,
		Expect: []platform.Expectation{{Key: groupPrefix + string(a.id), Version: a.version}, {Key: dutyKey, Version: d.version}},
		Writes: []platform.Write{{Key: groupPrefix + string(a.id), Value: row}, {Key: dutyKey, Value: dutyRow}},
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !d.mine {
		// The store's counter grows with every write, so a later claim has a higher token.
		f.duty.token = done.Version
	}
	f.duty.claim, f.duty.version = next.Claim, done.Version
	f.duty.users++
	f.duty.until = at.Add(dutyTime - dutyMargin)
	f.duty.clock, f.duty.clockAt = rows.Clock, at
	a.version, a.announced = done.Version, f.Now()
	return nil
}

func (f *Fleet) token() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duty.token
}

// finishDuty gives the duty back once no replacement of this proxy needs it,
// so that another proxy need not wait the whole claim out. After an order it
// still waits turnTime.
func (a *attempt) finishDuty(ctx context.Context) {
	f := a.f
	f.mu.Lock()
	f.duty.users--
	d := f.duty
	f.mu.Unlock()
	if d.users > 0 {
		return
	}
	next := tables.CoordinatorLease{Holder: f.VM, Claim: d.claim}
	if d.orderedAt != 0 {
		// The store's clock at the order was at most this, plus what the read took.
		next.Until = d.clock + d.orderedAt.Sub(d.clockAt) + turnTime
	}
	row, err := json.Marshal(next)
	if err != nil {
		f.log.Error("The duty can't be encoded.", "error", err)
		return
	}
	done, err := f.Store.Apply(context.WithoutCancel(ctx), platform.Change{
		Table:  RecordTable,
		Expect: []platform.Expectation{{Key: dutyKey, Version: d.version}},
		Writes: []platform.Write{{Key: dutyKey, Value: row}},
	})
	if err != nil {
		f.log.Info("The duty was not given back and runs out.", "until", d.until, "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.duty.version == d.version {
		// The claim goes on if this proxy needs it again, but gives no right by itself.
		f.duty.version, f.duty.until = done.Version, 0
	}
}

// update writes the group's row under the condition that it is as this attempt
// left it. Another holder's announcement changes it, and ends this attempt so.
func (a *attempt) update(ctx context.Context, next tables.PrimaryRecord) error {
	row, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	for try := 0; ; try++ {
		done, err := a.f.Store.Apply(ctx, platform.Change{
			Table:  RecordTable,
			Expect: []platform.Expectation{{Key: groupPrefix + string(a.id), Version: a.version}},
			Writes: []platform.Write{{Key: groupPrefix + string(a.id), Value: row}},
		})
		if err == nil {
			a.version, a.record = done.Version, next
			return nil
		}
		if try >= writeTries || errors.Is(err, platform.ErrConflict) && try == 0 {
			return errors.Wrap(err, "write a record")
		}
		if applied, rerr := a.applied(ctx, row); rerr == nil && applied {
			a.record = next
			return nil
		}
		if serr := sleep.For(ctx, watchPause); serr != nil {
			return errors.Wrap(err, "write a record")
		}
	}
}

// applied reads back whether a write without an answer took effect.
func (a *attempt) applied(ctx context.Context, row []byte) (bool, error) {
	rows, err := a.f.Store.ReadTable(ctx, RecordTable)
	if err != nil {
		return false, err
	}
	for _, r := range rows.Rows {
		if r.Key == groupPrefix+string(a.id) && string(r.Value) == string(row) {
			a.version = r.Version
			return true, nil
		}
	}
	return false, nil
}
