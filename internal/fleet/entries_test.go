package fleet

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/ramp"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// fleetUnderTest is a fleet without store and servers, on a clock of its own.
type fleetUnderTest struct {
	*Fleet
	registry *prometheus.Registry
	now      tables.Time
}

// unconfirmedGroups returns the metric of unconfirmed groups.
func (f *fleetUnderTest) unconfirmedGroups(t *testing.T) float64 {
	t.Helper()
	families, err := f.registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() == metrics.UnconfirmedGroups {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatal("the metric is missing")
	return 0
}

func newFleetUnderTest() *fleetUnderTest {
	f := &fleetUnderTest{registry: prometheus.NewRegistry(), now: tables.Time(time.Hour)}
	f.Fleet = New(Options{
		VM: "vm0", DataCentre: "dc0",
		Codec: Codec{EntryTable: "servers", Entry: func(_ string, value []byte) (tables.Entry, error) {
			var e tables.Entry
			err := json.Unmarshal(value, &e)
			return e, err
		}},
		Proxies: func() int { return 1 },
		Now:     func() tables.Time { return f.now },
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: metrics.New(f.registry),
	})
	return f
}

// readEntries applies a read of the whole table of entries.
func (f *fleetUnderTest) readEntries(t *testing.T, era uint64, list ...tables.Entry) {
	t.Helper()
	rows := platform.Rows{Era: era}
	for _, e := range list {
		value, err := json.Marshal(e)
		assert.NilError(t, err)
		rows.Rows = append(rows.Rows, platform.TableRow{Key: string(e.ID), Value: value})
	}
	f.applyEntries(rows, true, f.now)
}

func entryOf(id string, startedAt int64, sequence uint64, leaving bool) tables.Entry {
	return tables.Entry{ID: tables.UpstreamID(id), Group: "g", Address: "10.0.0.1:1", DataCentre: "dc0", Slots: 3,
		StartedAt: startedAt, Sequence: sequence, Leaving: leaving}
}

func TestLeavingServerStaysLeavingAfterDrill(t *testing.T) {
	f := newFleetUnderTest()
	f.readEntries(t, 0, entryOf("s", 1, 7, true))
	f.now = f.now.Add(time.Second)
	f.readEntries(t, 1, entryOf("s", 1, 4, false))
	assert.Assert(t, f.upstreams["s"].leaving, "the copy says that the server stays")
	assert.Equal(t, f.upstreams["s"].missingSince, tables.Time(0))
	f.readEntries(t, 1, entryOf("s", 1, 8, false))
	assert.Assert(t, !f.upstreams["s"].leaving, "the server itself says that it stays")
}

// A proxy that restarts counted a server's drain from its own start and sent it work beyond
// the limit.
func TestServerFoundLeavingGetsWorkForShortTime(t *testing.T) {
	f := newFleetUnderTest()
	f.DrainLimit = 7 * time.Second
	f.readEntries(t, 0, entryOf("early", 1, 7, true), entryOf("late", 1, 7, false))
	f.readEntries(t, 0, entryOf("early", 1, 7, true), entryOf("late", 1, 8, true))
	began := f.now
	for _, c := range []struct {
		after       time.Duration
		early, late bool
	}{{0, false, false}, {unknownDrainTime, false, false}, {unknownDrainTime + 1, true, false}, {f.DrainLimit - drainWorkMargin, true, false}, {f.DrainLimit - drainWorkMargin + 1, true, true}} {
		f.now = began.Add(c.after)
		assert.Equal(t, f.drainExpired(f.upstreams["early"]), c.early, "%s", c.after)
		assert.Equal(t, f.drainExpired(f.upstreams["late"]), c.late, "%s", c.after)
	}
}

func TestEndedServerDoesNotReturnWithDrill(t *testing.T) {
	f := newFleetUnderTest()
	f.readEntries(t, 0, entryOf("s", 1, 7, true), entryOf("r", 1, 2, false))
	f.readEntries(t, 0, entryOf("r", 1, 2, false))
	f.now = f.now.Add(terminatedRetention)
	f.removeTerminatedServers()
	assert.Assert(t, f.upstreams["s"] == nil)
	f.readEntries(t, 1, entryOf("s", 1, 7, true), entryOf("r", 1, 2, false))
	assert.Assert(t, f.upstreams["s"] == nil, "the copy still has the server")
	assert.Assert(t, f.upstreams["r"] != nil)
	f.readEntries(t, 1, entryOf("s", 2, 1, false), entryOf("r", 1, 2, false))
	assert.Assert(t, f.upstreams["s"] != nil, "the server started again")
}

func TestMissingServerStaysMissingAfterDrill(t *testing.T) {
	f := newFleetUnderTest()
	f.readEntries(t, 0, entryOf("s", 1, 7, false))
	f.readEntries(t, 0)
	f.readEntries(t, 1, entryOf("s", 1, 6, false))
	assert.Assert(t, f.upstreams["s"].missingSince != 0)
	f.now = f.now.Add(replace.MissingTimeout)
	assert.Assert(t, f.hasTerminated(f.upstreams["s"]))
}

func TestEntryOfEarlierRunIsIgnoredAfterDrill(t *testing.T) {
	f := newFleetUnderTest()
	f.readEntries(t, 0, entryOf("s", 5, 1, false))
	f.readEntries(t, 1, entryOf("s", 4, 30, false))
	assert.Equal(t, f.upstreams["s"].entry.StartedAt, int64(5))
	// A server whose clock was set back may start with an earlier time.
	f.now = f.now.Add(entriesRewriteTime)
	f.readEntries(t, 1, entryOf("s", 4, 31, false))
	assert.Equal(t, f.upstreams["s"].entry.StartedAt, int64(4))
}

// Rows of an earlier era arrive late, through a peer that has not seen the new one.
func TestRowsOfEarlierEraAreIgnored(t *testing.T) {
	f := newFleetUnderTest()
	f.readEntries(t, 2, entryOf("s", 1, 7, false))
	f.readEntries(t, 1)
	assert.Equal(t, f.upstreams["s"].missingSince, tables.Time(0))
}

func TestRestoredRecordIsNoEvidence(t *testing.T) {
	f := newFleetUnderTest()
	f.readEntries(t, 0, entryOf("s", 1, 1, false))
	record, err := json.Marshal(tables.PrimaryRecord{Primary: "s", Term: 1})
	assert.NilError(t, err)
	row := platform.TableRow{Key: rowKey{kind: recordRow, group: "g"}.String(), Value: record, Version: 5}
	f.applyRecords(platform.Rows{Version: 9, Rows: []platform.TableRow{row}}, true, f.now)
	g := f.groups["g"]
	assert.Assert(t, g.LedAt(f.now))
	f.now = f.now.Add(10 * time.Second)
	f.applyRecords(platform.Rows{Era: 1, Version: 9, Rows: []platform.TableRow{row}}, true, f.now)
	assert.Assert(t, !g.LedAt(f.now), "the row is that of an older copy")
	assert.Equal(t, g.Primary, tables.UpstreamID("s"), "the primary is still known")
	assert.Equal(t, f.unconfirmedGroups(t), 1.0)
	confirmed := platform.TableRow{Key: rowKey{era: 1, kind: recordRow, group: "g"}.String(), Value: record, Version: 4}
	f.applyRecords(platform.Rows{Era: 1, Version: 9, Rows: []platform.TableRow{row, confirmed}}, true, f.now)
	assert.Assert(t, g.LedAt(f.now))
	assert.Equal(t, g.version, tables.Version{Era: 1, Counter: 4})
	assert.Equal(t, f.unconfirmedGroups(t), 0.0)
}

func TestRowKeys(t *testing.T) {
	for _, k := range []rowKey{{kind: recordRow, group: "a/b"}, {era: 3, kind: recordRow, group: "a"}, {era: 12, kind: membersRow, group: "era1/x"}} {
		got, ok := parseRowKey(k.String())
		assert.Assert(t, ok)
		assert.Equal(t, got, k)
	}
	assert.Equal(t, rowKey{kind: recordRow, group: "g"}.String(), "group/g")
	for _, text := range []string{"", "duty", "era2/duty", "erax/group/g", "group/", "other/g"} {
		_, ok := parseRowKey(text)
		assert.Assert(t, !ok, text)
	}
}

// While a link between regions is full, every proxy of a region finds that a replica of
// the other does not answer: 39 proxies made 130 attempts per second.
func TestAttemptsSlowDownWhileReplicaIsSilent(t *testing.T) {
	f := &Fleet{Options: Options{SeveralRegions: true}}
	g := &group{}
	silent := silentReplica{id: "a", err: errors.New("i/o timeout")}
	assert.Equal(t, f.retryDelay(g, replace.CauseGone, silent), replaceRetryDelay)
	assert.Equal(t, f.retryDelay(g, replace.CauseGone, silent), 2*replaceRetryDelay)
	for range 5 {
		f.retryDelay(g, replace.CauseGone, silent)
	}
	assert.Equal(t, f.retryDelay(g, replace.CauseGone, silent), 8*replaceRetryDelay)
	assert.Equal(t, f.retryDelay(g, replace.CauseGone, errNotCoordinator), replaceRetryDelay)
	assert.Equal(t, f.retryDelay(g, replace.CauseGone, silent), replaceRetryDelay)
	f.SeveralRegions = false
	f.retryDelay(g, replace.CauseGone, silent)
	assert.Equal(t, f.retryDelay(g, replace.CauseGone, silent), replaceRetryDelay)
	f.retryDelay(g, replace.CauseUnfinished, silent)
	assert.Equal(t, f.retryDelay(g, replace.CauseUnfinished, silent), 2*replaceRetryDelay)
}

// A proxy that starts, or loses news, must not ramp up servers that ran before; a server
// that restarted, also behind the same address, must be ramped up.
func TestWhichServersRampUp(t *testing.T) {
	f := newFleetUnderTest()
	f.Proxies = func() int { return 37 }
	ramping := func(id tables.UpstreamID) bool { return f.upstreams[id].ramp.Active() }
	warming := entryOf("s", 1, 1, false)
	warming.WarmupLeft = 2 * time.Second
	f.readEntries(t, 0, warming, entryOf("r", 1, 1, false))
	assert.Assert(t, !ramping("s") && !ramping("r"), "their entries are older than the proxy")
	f.readEntries(t, 0, entryOf("r", 1, 2, false))
	f.readEntries(t, 0, entryOf("s", 1, 9, false), entryOf("r", 1, 2, false))
	assert.Assert(t, !ramping("s"), "its entry was missing for a moment")
	f.readEntries(t, 0, entryOf("s", 2, 1, false), entryOf("r", 1, 2, false))
	assert.Assert(t, ramping("s"), "it restarted")
	f.readEntries(t, 0, entryOf("s", 2, 1, false), entryOf("r", 1, 2, false), entryOf("n", 1, 1, false))
	assert.Assert(t, ramping("n") && !ramping("r"), "another server took the address")
	f.now = f.now.Add(5 * time.Second)
	f.advanceRamps()
	assert.Assert(t, !ramping("s") && !ramping("n"))
	f.readEntries(t, 0, entryOf("s", 3, 1, false), entryOf("r", 1, 2, false), entryOf("n", 1, 1, false))
	assert.Equal(t, f.upstreams["s"].ramp.Failures(), 1, "it restarted twice within a minute")
}

// A promoted server is ramped up, and the primary that a proxy finds at its start is not.
func TestPromotedPrimaryRampsUp(t *testing.T) {
	f := newFleetUnderTest()
	f.Proxies = func() int { return 37 }
	f.readEntries(t, 0, entryOf("s", 1, 1, false), entryOf("r", 1, 1, false))
	record := func(version uint64, r tables.PrimaryRecord) {
		value, err := json.Marshal(r)
		assert.NilError(t, err)
		row := platform.TableRow{Key: rowKey{kind: recordRow, group: "g"}.String(), Value: value, Version: version}
		f.applyRecords(platform.Rows{Version: version, Rows: []platform.TableRow{row}}, true, f.now)
	}
	record(1, tables.PrimaryRecord{Primary: "s", Term: 1})
	assert.Assert(t, !f.upstreams["s"].ramp.Active())
	record(2, tables.PrimaryRecord{Primary: "s", Term: 1, Replacing: true})
	record(3, tables.PrimaryRecord{Primary: "r", Term: 2})
	assert.Equal(t, f.upstreams["r"].ramp.Reason(), ramp.Promoted)
	assert.Assert(t, f.upstreams["r"].ramp.Active() && !f.upstreams["s"].ramp.Active())
}

// A server that was down ramps up; a broken connection is no reason to.
func TestRecoveredServerRampsUp(t *testing.T) {
	for _, c := range []struct {
		outage time.Duration
		dials  bool
		want   bool
	}{{time.Second, true, true}, {50 * time.Millisecond, true, false}, {time.Second, false, false}} {
		f := newFleetUnderTest()
		f.Proxies = func() int { return 37 }
		f.readEntries(t, 0, entryOf("s", 1, 1, false))
		u := f.upstreams["s"]
		u.recordFailure(u.startStatement(false), io.EOF)
		u.dialFailed = c.dials
		f.now = f.now.Add(c.outage)
		u.recordReply(u.startStatement(false), false)
		assert.Equal(t, u.ramp.Active(), c.want, "%+v", c)
	}
}

// A primary whose connections were all in use was replaced on a calm day: one opening
// had no answer for 400 ms, and the refusals of later ones did not count as answers.
func TestServerThatRefusesForLackOfRoomResponds(t *testing.T) {
	f := newFleetUnderTest()
	silent := true
	f.Open = func(ctx context.Context, _ tables.Entry, _ tables.TeamID) (links.Link, statement.Reply, error) {
		if silent {
			return nil, statement.Reply{}, os.ErrDeadlineExceeded
		}
		return nil, statement.Reply{Code: statement.TooMany}, nil
	}
	u := f.newUpstream(entryOf("s", 1, 1, false))
	_, err := u.Connect(t.Context(), "")
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	f.now = f.now.Add(100 * time.Millisecond)
	oldest, _, _ := u.unansweredSince()
	assert.Assert(t, oldest != 0 && u.Unreachable())
	silent = false
	_, err = u.Connect(t.Context(), "")
	assert.ErrorIs(t, err, links.ErrFull)
	oldest, _, refused := u.unansweredSince()
	assert.Assert(t, oldest == 0 && refused == 0 && !u.Unreachable())
	// Within the pause after a refusal the server is not asked, so nothing is learnt.
	f.now = f.now.Add(time.Millisecond)
	token := u.startStatement(false)
	_, err = u.Connect(t.Context(), "")
	assert.ErrorIs(t, err, links.ErrFull)
	oldest, _, _ = u.unansweredSince()
	assert.Equal(t, oldest, f.now)
	u.cancelStatement(token)
}

// A server without an entry counted as ended although it answered: it was not held, and was
// removed from the members while it went on confirming commits (review case 11).
func TestServerWithoutEntryCountsWhileItAnswers(t *testing.T) {
	f := newFleetUnderTest()
	f.readEntries(t, 0, entryOf("s", 1, 1, false))
	f.readEntries(t, 0)
	u := f.upstreams["s"]
	f.now = f.now.Add(replace.MissingTimeout)
	assert.Assert(t, f.isGone(u) && f.hasTerminated(u))
	u.recordIdentified()
	assert.Assert(t, f.isGone(u), "it gets no work")
	assert.Assert(t, !f.hasTerminated(u))
	f.now = f.now.Add(terminatedRetention - 1)
	f.removeTerminatedServers()
	assert.Equal(t, f.upstreams["s"], u)
	assert.Assert(t, f.hasTerminated(u))
	f.now = f.now.Add(1)
	f.removeTerminatedServers()
	assert.Assert(t, f.upstreams["s"] == nil)
}

// A server without an entry may confirm commits unless it left as it had announced. A proxy
// that has lost the store, and so does not see it removed, must take that into account too.
func TestCommitsNeedProofWhileServerHasNoEntry(t *testing.T) {
	for _, c := range []struct {
		leaving, refuses, storeLost, want bool
	}{
		{want: true},
		{storeLost: true, want: true},
		{refuses: true, want: true},
		{leaving: true, want: true},
		{leaving: true, refuses: true, want: false},
	} {
		f := newFleetUnderTest()
		f.readEntries(t, 0, entryOf("s", 1, 1, c.leaving))
		l := Leader{Upstream: &Upstream{}, group: f.group("g")}
		assert.Assert(t, !f.mayConfirmUnlisted(l))
		f.readEntries(t, 0)
		if c.storeLost {
			f.storeFailed("servers", errors.New("lost"))
		}
		f.upstreams["s"].ended = c.refuses
		assert.Assert(t, !f.mayConfirmUnlisted(l), "entries lapse and come back")
		f.now = f.now.Add(replace.MissingTimeout / 2)
		assert.Equal(t, f.mayConfirmUnlisted(l), c.want, "%+v", c)
		if c.storeLost {
			continue
		}
		f.now = f.now.Add(terminatedRetention)
		f.removeTerminatedServers()
		assert.Equal(t, f.mayConfirmUnlisted(l), c.want, "%+v, removed", c)
		f.now = f.now.Add(unlistedRetention)
		assert.Assert(t, !f.mayConfirmUnlisted(l))
	}
}
