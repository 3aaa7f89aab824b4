// Package metrics defines the proxy's Prometheus metrics: their names, labels and
// collectors, and typed methods to record them.
package metrics

import (
	"strconv"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/prometheus/client_golang/prometheus"
)

// Names of the metrics.
const (
	// RequestsTotal counts requests by service, database, kind, served_by and code.
	RequestsTotal = "cranberrystage_requests_total"
	// RequestSeconds is the time from a request to its response, by service and kind.
	RequestSeconds = "cranberrystage_request_seconds"
	// ReadAgeSeconds is an upper bound of the age of a read's data, by service and
	// within.
	ReadAgeSeconds = "cranberrystage_read_age_seconds"
	// WriteGapSeconds is how long writes of a group could not succeed during a
	// replacement of its primary, by group.
	WriteGapSeconds = "cranberrystage_write_gap_seconds"
	// StoreEra counts how often the platform's store has come back from an older
	// copy.
	StoreEra = "cranberrystage_store_era"
	// UnconfirmedGroups is the number of groups whose primary is not confirmed in the
	// store's present era.
	UnconfirmedGroups = "cranberrystage_unconfirmed_groups"
	// LeaderlessSeconds is how long the group that has been without a primary for longest
	// has been without one; 0 if all have one.
	LeaderlessSeconds = "cranberrystage_leaderless_seconds"
	// ConfigVersion is the configuration version in force.
	ConfigVersion = "cranberrystage_config_version"
	// ConfigVersionKnown is the newest configuration version that this proxy knows of,
	// its own or that of a peer.
	ConfigVersionKnown = "cranberrystage_config_version_known"
	// CallerConnections is the number of open caller connections.
	CallerConnections = "cranberrystage_caller_connections"
	// CallerErrorsTotal counts caller connections that were refused or ended, by code.
	CallerErrorsTotal = "cranberrystage_caller_errors_total"
	// StoreCallsTotal counts calls to the metadata store by call, table and result.
	StoreCallsTotal = "cranberrystage_store_calls_total"
	// StoreCallSeconds is the duration of calls to the metadata store, by call; that
	// of a watch includes its wait for a change.
	StoreCallSeconds = "cranberrystage_store_call_seconds"
	// RampsTotal counts the ramps of servers that began, by group and reason.
	RampsTotal = "cranberrystage_ramps_total"
	// StateRefusalsTotal counts the statements that change a connection's session state and
	// that a server refused, by group and statement.
	StateRefusalsTotal = "cranberrystage_state_refusals_total"
	// ReceiptChecksTotal counts the commits for which known replicas were queried before they
	// were acknowledged, by group and result.
	ReceiptChecksTotal = "cranberrystage_receipt_checks_total"
	// RampSeconds is how long ramps took, by group and result.
	RampSeconds = "cranberrystage_ramp_seconds"
)

// Names of the labels.
const (
	LabelService   = "service"
	LabelDatabase  = "database"
	LabelKind      = "kind"
	LabelServedBy  = "served_by"
	LabelCode      = "code"
	LabelWithin    = "within"
	LabelGroup     = "group"
	LabelCall      = "call"
	LabelTable     = "table"
	LabelResult    = "result"
	LabelReason    = "reason"
	LabelStatement = "statement"
)

// Kind is the kind of a request: read or write.
type Kind string

// Values of Kind.
const (
	KindRead  Kind = "read"
	KindWrite Kind = "write"
)

// ServedBy is the role of the server that served a request.
type ServedBy string

// Values of ServedBy.
const (
	ServedByPrimary ServedBy = "primary"
	ServedByReplica ServedBy = "replica"
	ServedByNone    ServedBy = "none"
)

// Request is a finished request.
type Request struct {
	// Service is the database service.
	Service tables.ServiceID
	// Database is the name of the database within the service.
	Database string
	// Kind is the kind of the request.
	Kind Kind
	// ServedBy is the role of the server that served it.
	ServedBy ServedBy
	// Code is the result code.
	Code codes.Code
	// Took is the time from the request to its response.
	Took time.Duration
}

// Histogram bucket bounds in seconds.
var (
	latencyBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}
	ageBuckets     = []float64{0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5, 10, 30, 60, 300}
	rampBuckets    = []float64{0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10}
	gapBuckets     = []float64{0.1, 0.2, 0.5, 1, 2, 3, 5, 10, 20, 30, 60, 300}
)

// Metrics holds the proxy's metrics. Its methods are safe for concurrent use.
type Metrics struct {
	requests      *prometheus.CounterVec
	seconds       *prometheus.HistogramVec
	readAge       *prometheus.HistogramVec
	writeGap      *prometheus.HistogramVec
	configVersion prometheus.Gauge
	configKnown   prometheus.Gauge
	storeEra      prometheus.Gauge
	unconfirmed   prometheus.Gauge
	leaderless    prometheus.Gauge
	callers       prometheus.Gauge
	callerErrors  *prometheus.CounterVec
	storeCalls    *prometheus.CounterVec
	storeSeconds  *prometheus.HistogramVec
	ramps         *prometheus.CounterVec
	rampSeconds   *prometheus.HistogramVec
	stateRefusals *prometheus.CounterVec
	receiptChecks *prometheus.CounterVec
	forward       forwardMetrics
	quota         *quotaMetrics

	knownMu sync.Mutex
	known   uint64
}

// New returns metrics whose collectors are registered with reg.
func New(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(
			prometheus.CounterOpts{Name: RequestsTotal, Help: "Requests by result code."},
			[]string{LabelService, LabelDatabase, LabelKind, LabelServedBy, LabelCode}),
		seconds: histogram(RequestSeconds, "Time from a request to its answer.", latencyBuckets, LabelService, LabelKind),
		readAge: histogram(ReadAgeSeconds, "Age bound of the data that a read returned.", ageBuckets, LabelService, LabelWithin),
		writeGap: histogram(WriteGapSeconds, "Time during which writes of a group could not succeed.",
			gapBuckets, LabelGroup),
		storeEra: prometheus.NewGauge(
			prometheus.GaugeOpts{Name: StoreEra, Help: "Times that the platform's store came back from an older copy."}),
		unconfirmed: prometheus.NewGauge(
			prometheus.GaugeOpts{Name: UnconfirmedGroups, Help: "Groups whose primary is not confirmed since the store came back from an older copy."}),
		leaderless: prometheus.NewGauge(
			prometheus.GaugeOpts{Name: LeaderlessSeconds, Help: "Longest time that a group has been without a primary."}),
		configVersion: prometheus.NewGauge(
			prometheus.GaugeOpts{Name: ConfigVersion, Help: "Configuration version in force."}),
		configKnown: prometheus.NewGauge(
			prometheus.GaugeOpts{Name: ConfigVersionKnown, Help: "Newest configuration version that this proxy or a peer has in force."}),
		callers: prometheus.NewGauge(
			prometheus.GaugeOpts{Name: CallerConnections, Help: "Open caller connections."}),
		callerErrors: prometheus.NewCounterVec(
			prometheus.CounterOpts{Name: CallerErrorsTotal, Help: "Caller connections that were refused or ended, by result code."},
			[]string{LabelCode}),
		storeCalls: prometheus.NewCounterVec(
			prometheus.CounterOpts{Name: StoreCallsTotal, Help: "Calls to the metadata store by result."},
			[]string{LabelCall, LabelTable, LabelResult}),
		storeSeconds: histogram(StoreCallSeconds, "Time that calls to the metadata store took.", latencyBuckets, LabelCall),
		ramps: prometheus.NewCounterVec(
			prometheus.CounterOpts{Name: RampsTotal, Help: "Ramps of servers that started, recovered or were promoted."},
			[]string{LabelGroup, LabelReason}),
		rampSeconds: histogram(RampSeconds, "Time from the begin of a server's ramp to its end.", rampBuckets, LabelGroup, LabelResult),
		stateRefusals: prometheus.NewCounterVec(
			prometheus.CounterOpts{Name: StateRefusalsTotal, Help: "Statements that change a connection's session state and that a server refused."},
			[]string{LabelGroup, LabelStatement}),
		receiptChecks: prometheus.NewCounterVec(
			prometheus.CounterOpts{Name: ReceiptChecksTotal, Help: "Commits for which known replicas were queried before they were acknowledged, by result."},
			[]string{LabelGroup, LabelResult}),
		forward: newForwardMetrics(reg),
	}
	reg.MustRegister(m.requests, m.seconds, m.readAge, m.writeGap, m.configVersion, m.configKnown, m.storeEra, m.unconfirmed, m.leaderless, m.callers, m.callerErrors,
		m.storeCalls, m.storeSeconds, m.ramps, m.rampSeconds, m.stateRefusals, m.receiptChecks)
	m.quota = newQuotaMetrics(reg)
	return m
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}
	return prometheus.NewHistogramVec(opts, labels)
}

// ObserveRequest records a finished request.
func (m *Metrics) ObserveRequest(r Request) {
	code := strconv.Itoa(int(r.Code))
	m.requests.WithLabelValues(string(r.Service), r.Database, string(r.Kind), string(r.ServedBy), code).Inc()
	m.seconds.WithLabelValues(string(r.Service), string(r.Kind)).Observe(r.Took.Seconds())
}

// StoreCall is a finished call to the metadata store.
type StoreCall struct {
	// Call is "read", "watch" or "write".
	Call string
	// Table is the table that was accessed.
	Table string
	// Result is "ok" or the kind of failure.
	Result string
	// Took is the duration of the call.
	Took time.Duration
}

// ObserveStoreCall records a finished call to the metadata store.
func (m *Metrics) ObserveStoreCall(c StoreCall) {
	m.storeCalls.WithLabelValues(c.Call, c.Table, c.Result).Inc()
	m.storeSeconds.WithLabelValues(c.Call).Observe(c.Took.Seconds())
}

// ObserveReadAge records an upper bound of the age of a read's data and whether it
// is within the declared maximum age.
func (m *Metrics) ObserveReadAge(service tables.ServiceID, age time.Duration, within bool) {
	m.readAge.WithLabelValues(string(service), strconv.FormatBool(within)).Observe(age.Seconds())
}

// ObserveWriteGap records how long writes of group could not succeed.
func (m *Metrics) ObserveWriteGap(group tables.GroupID, gap time.Duration) {
	m.writeGap.WithLabelValues(string(group)).Observe(gap.Seconds())
}

// CountRamp records the begin of a server's ramp.
func (m *Metrics) CountRamp(group tables.GroupID, reason string) {
	m.ramps.WithLabelValues(string(group), reason).Inc()
}

// CountStateRefusal records that a server refused a statement that changes a connection's
// session state.
func (m *Metrics) CountStateRefusal(group tables.GroupID, statement string) {
	m.stateRefusals.WithLabelValues(string(group), statement).Inc()
}

// CountReceiptCheck records that known replicas were queried for a commit, and whether one
// had received it.
func (m *Metrics) CountReceiptCheck(group tables.GroupID, received bool) {
	result := "missing"
	if received {
		result = "received"
	}
	m.receiptChecks.WithLabelValues(string(group), result).Inc()
}

// ObserveRamp records the end of a server's ramp.
func (m *Metrics) ObserveRamp(group tables.GroupID, result string, took time.Duration) {
	m.rampSeconds.WithLabelValues(string(group), result).Observe(took.Seconds())
}

// CountCallerError records that a caller's connection was refused or closed.
func (m *Metrics) CountCallerError(c codes.Code) {
	m.callerErrors.WithLabelValues(strconv.Itoa(int(c))).Inc()
}

// SetStoreEra records the era of the platform's store.
func (m *Metrics) SetStoreEra(era uint64) { m.storeEra.Set(float64(era)) }

// SetUnconfirmedGroups records the number of groups that are not confirmed in the
// store's present era.
func (m *Metrics) SetUnconfirmedGroups(n int) { m.unconfirmed.Set(float64(n)) }

// SetLeaderlessTime records how long a group has been without a primary.
func (m *Metrics) SetLeaderlessTime(d time.Duration) { m.leaderless.Set(d.Seconds()) }

// SetConfigVersion records the configuration version in force.
func (m *Metrics) SetConfigVersion(v uint64) {
	m.configVersion.Set(float64(v))
	m.SetConfigVersionKnown(v)
}

// SetConfigVersionKnown records a configuration version that this proxy or a peer has in
// force, unless a newer one is known.
func (m *Metrics) SetConfigVersionKnown(v uint64) {
	m.knownMu.Lock()
	defer m.knownMu.Unlock()
	m.known = max(m.known, v)
	m.configKnown.Set(float64(m.known))
}

// AddCallers changes the number of open caller connections by n.
func (m *Metrics) AddCallers(n int) { m.callers.Add(float64(n)) }
