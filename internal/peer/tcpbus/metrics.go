package tcpbus

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metric describes the Prometheus counter of one field of Stats.
type metric struct {
	name  string
	help  string
	value func(Stats) uint64
}

var metrics = []metric{
	{"sent_bytes_total", "Bytes sent to peers.", func(s Stats) uint64 { return s.BytesSent }},
	{"received_bytes_total", "Bytes received from peers.", func(s Stats) uint64 { return s.BytesReceived }},
	{"sent_frames_total", "Frames sent to peers.", func(s Stats) uint64 { return s.FramesSent }},
	{"received_frames_total", "Frames received from peers.", func(s Stats) uint64 { return s.FramesReceived }},
	{"dropped_messages_total", "Messages dropped before they were sent.", func(s Stats) uint64 { return s.Dropped }},
	{"frame_errors_total", "Connections closed for a bad frame.", func(s Stats) uint64 { return s.FrameErrors }},
	{"message_errors_total", "Messages that could not be decoded.", func(s Stats) uint64 { return s.MessageErrors }},
	{"refused_connections_total", "Connections above the limit.", func(s Stats) uint64 { return s.Refused }},
}

// Register registers the bus's counters with r under the prefix
// "cranberrystage_peer_".
func (b *Bus) Register(r prometheus.Registerer) error {
	for _, m := range metrics {
		opts := prometheus.CounterOpts{
			Namespace: "cranberrystage",
			Subsystem: "peer",
			Name:      m.name,
			Help:      m.help,
		}
		counter := prometheus.NewCounterFunc(opts, func() float64 { return float64(m.value(b.Stats())) })
		if err := r.Register(counter); err != nil {
			return errors.Wrapf(err, "register %s", m.name)
		}
	}
	return nil
}
