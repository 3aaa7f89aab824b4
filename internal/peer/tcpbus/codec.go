package tcpbus

import (
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxLastSeenMillis is the largest valid time since a VM was last seen, in
// milliseconds: 366 days.
const maxLastSeenMillis = 366 * 24 * 60 * 60 * 1000

// topics are the topics that Run subscribes to.
var topics = []string{
	peer.TopicHeartbeat,
	peer.TopicMembers,
	peer.TopicObservation,
	peer.TopicGroup,
	peer.TopicConfig,
}

// decode decodes the payload of a message on topic and returns it by value.
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

// decodeAs decodes and validates a payload.
func decodeAs[T any](payload []byte, check func(T) error) (any, error) {
	var m T
	if err := checkLengths(payload); err != nil {
		return nil, errors.Wrapf(err, "check the lengths in %T", m)
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
		return errors.New("message without sender")
	}
	return nil
}

func checkMembers(m peer.Members) error {
	for _, member := range m.Members {
		if member.VM == "" {
			return errors.New("member without name")
		}
		if member.LastSeenMillis < -1 || member.LastSeenMillis > maxLastSeenMillis {
			return errors.Errorf("member %s last seen %d ms ago is out of range", member.VM, member.LastSeenMillis)
		}
	}
	return nil
}

func checkObservation(o peer.Observation) error {
	if o.From == "" {
		return errors.New("message without sender")
	}
	if o.Cause > tables.CauseBusy {
		return errors.Errorf("unknown cause %d", o.Cause)
	}
	if o.FailingMillis < 0 {
		return errors.Errorf("negative failing time of %d ms", o.FailingMillis)
	}
	return nil
}
