package tcpbus

import (
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxHeardMillis is the longest silence that a message may report, in milliseconds.
const maxHeardMillis = 366 * 24 * 60 * 60 * 1000

// topics are the topics that Run subscribes to.
var topics = []string{
	peer.TopicHeartbeat,
	peer.TopicMembers,
	peer.TopicObservation,
	peer.TopicGroup,
	peer.TopicConfig,
}

// decode returns the message of topic by value.
func decode(topic string, payload []byte) (any, error) {
	switch topic {
	case peer.TopicHeartbeat:
		return decodeAs(payload, checkHeartbeat)
	case peer.TopicMembers:
		return decodeAs(payload, checkMembers)
	case peer.TopicObservation:
		return decodeAs(payload, checkObservation)
	case peer.TopicGroup:
		return decodeAs(payload, func(peer.GroupState) error { return nil })
	case peer.TopicConfig:
		return decodeAs(payload, func(peer.Config) error { return nil })
	default:
		return nil, errors.Errorf("unknown topic %q", topic)
	}
}

// decodeAs decodes and checks a payload.
func decodeAs[T any](payload []byte, check func(T) error) (any, error) {
	var m T
	if err := walk(payload); err != nil {
		return nil, errors.Wrapf(err, "walk %T", m)
	}
	if err := msgpack.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrapf(err, "decode %T", m)
	}
	if err := check(m); err != nil {
		return nil, errors.Wrapf(err, "check %T", m)
	}
	return m, nil
}

func checkHeartbeat(h peer.Heartbeat) error {
	if h.From == "" {
		return errors.New("no sender")
	}
	return nil
}

func checkMembers(m peer.Members) error {
	for _, member := range m.Members {
		if member.VM == "" {
			return errors.New("member without name")
		}
		if member.LastSeenMillis < -1 || member.LastSeenMillis > maxHeardMillis {
			return errors.Errorf("member %s heard %d ms ago", member.VM, member.LastSeenMillis)
		}
	}
	return nil
}

func checkObservation(o peer.Observation) error {
	if o.From == "" {
		return errors.New("no sender")
	}
	if o.Cause > tables.CauseBusy {
		return errors.Errorf("unknown cause %d", o.Cause)
	}
	if o.FailingMillis < 0 {
		return errors.Errorf("negative duration %d ms", o.FailingMillis)
	}
	return nil
}
