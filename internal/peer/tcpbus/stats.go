package tcpbus

import "sync/atomic"

// Stats are counters since the bus was opened.
type Stats struct {
	// BytesSent and BytesReceived count frames with their length prefixes, in bytes.
	BytesSent, BytesReceived uint64
	// FramesSent and FramesReceived count complete frames.
	FramesSent, FramesReceived uint64
	// Dropped counts messages that a full queue dropped or that could not be encoded.
	Dropped uint64
	// FrameErrors counts inbound connections closed for a bad frame.
	FrameErrors uint64
	// MessageErrors counts messages whose payload could not be decoded.
	MessageErrors uint64
	// Unsubscribed counts frames of a topic without a subscription.
	Unsubscribed uint64
	// Refused counts inbound connections refused because of MaxInbound.
	Refused uint64
}

type counters struct {
	bytesSent, bytesReceived   atomic.Uint64
	framesSent, framesReceived atomic.Uint64
	dropped                    atomic.Uint64
	frameErrors                atomic.Uint64
	messageErrors              atomic.Uint64
	unsubscribed               atomic.Uint64
	refused                    atomic.Uint64
}

// Stats returns the current counters.
func (b *Bus) Stats() Stats {
	c := &b.stats
	return Stats{
		BytesSent:      c.bytesSent.Load(),
		BytesReceived:  c.bytesReceived.Load(),
		FramesSent:     c.framesSent.Load(),
		FramesReceived: c.framesReceived.Load(),
		Dropped:        c.dropped.Load(),
		FrameErrors:    c.frameErrors.Load(),
		MessageErrors:  c.messageErrors.Load(),
		Unsubscribed:   c.unsubscribed.Load(),
		Refused:        c.refused.Load(),
	}
}
