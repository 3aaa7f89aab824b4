package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Names of the metrics of reads through holders (see package forward).
const (
	// ForwardableReadsTotal counts the reads that may be forwarded, by path.
	ForwardableReadsTotal = "cranberrystage_forwardable_reads_total"
	// ForwardHopSeconds is the time between a proxy and the holder, both ways, without
	// the time that the holder had the request.
	ForwardHopSeconds = "cranberrystage_forward_hop_seconds"
	// ForwardRefusalsTotal counts forwarded reads without a reply, by reason.
	ForwardRefusalsTotal = "cranberrystage_forward_refusals_total"
	// ForwardMalformedTotal counts malformed messages between proxies and holders.
	ForwardMalformedTotal = "cranberrystage_forward_malformed_total"
)

// LabelPath is a label of these metrics.
const LabelPath = "path"

// Path is the path of a read that may be forwarded.
type Path string

// Values of Path.
const (
	// PathDirect is a read that this proxy ran for a caller of its own.
	PathDirect Path = "direct"
	// PathForwarded is a read that this proxy sent to a holder.
	PathForwarded Path = "forwarded"
	// PathHeld is a read that this proxy received as the holder.
	PathHeld Path = "held"
)

type forwardMetrics struct {
	reads     *prometheus.CounterVec
	hop       *prometheus.HistogramVec
	refusals  *prometheus.CounterVec
	malformed prometheus.Counter
}

func newForwardMetrics(reg prometheus.Registerer) forwardMetrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	m := forwardMetrics{
		reads:     counter(ForwardableReadsTotal, "Reads that may be forwarded to a holder of connections, by path.", LabelPath),
		hop:       histogram(ForwardHopSeconds, "Time between a proxy and the holder, both ways.", latencyBuckets),
		refusals:  counter(ForwardRefusalsTotal, "Forwarded reads to which the holder had no reply, by reason.", LabelReason),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{Name: ForwardMalformedTotal, Help: "Malformed messages between proxies and holders."}),
	}
	reg.MustRegister(m.reads, m.hop, m.refusals, m.malformed)
	return m
}

// CountForwardableRead counts a read that may be forwarded.
func (m *Metrics) CountForwardableRead(p Path) { m.forward.reads.WithLabelValues(string(p)).Inc() }

// ObserveForwardHop records the time between this proxy and a holder.
func (m *Metrics) ObserveForwardHop(d time.Duration) {
	m.forward.hop.WithLabelValues().Observe(d.Seconds())
}

// CountForwardRefusal counts a forwarded read to which the holder had no reply.
func (m *Metrics) CountForwardRefusal(reason string) {
	m.forward.refusals.WithLabelValues(reason).Inc()
}

// CountForwardMalformed counts a malformed message.
func (m *Metrics) CountForwardMalformed() { m.forward.malformed.Inc() }
