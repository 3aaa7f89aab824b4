// Package peer carries typed messages between proxies over a watermill
// publisher and subscriber on TCP frames of msgpack. Messages are hints and
// observations: losing, repeating or reordering one never breaks a promise.
package peer

import (
	"context"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Topics of the messages between proxies.
const (
	// TopicHeartbeat carries Heartbeat.
	TopicHeartbeat = "heartbeat"
	// TopicObservation carries Observation.
	TopicObservation = "observation"
	// TopicGroup carries GroupState.
	TopicGroup = "group"
	// TopicMembers carries Members.
	TopicMembers = "members"
	// TopicConfig carries Config.
	TopicConfig = "config"
)

// Heartbeat says that a VM is alive and what it holds.
type Heartbeat struct {
	// From names the sender.
	From tables.VMID `msgpack:"f"`
	// DataCentre is where the sender runs.
	DataCentre tables.DataCentreID `msgpack:"d"`
	// PeerAddress is the sender's IP:port for frames.
	PeerAddress string `msgpack:"a"`
	// ConfigVersion is the configuration version in force at the sender.
	ConfigVersion uint64 `msgpack:"c"`
	// Leaving says that the sender is shutting down.
	Leaving bool `msgpack:"l"`
	// Deltas says that the sender takes deltas to ConfigVersion's document.
	Deltas bool `msgpack:"x,omitempty"`
	// Probe asks the receiver, which the sender takes for silent, for a heartbeat.
	Probe bool `msgpack:"p,omitempty"`
}

// Member is what the sender knows of a VM that changed.
type Member struct {
	// VM names the VM, or an upstream that the platform's list has leaving.
	VM tables.VMID `msgpack:"v"`
	// DataCentre is where it runs.
	DataCentre tables.DataCentreID `msgpack:"d,omitempty"`
	// PeerAddress is its IP:port for frames; empty for an upstream.
	PeerAddress string `msgpack:"a,omitempty"`
	// LastSeenMillis is how long ago the VM was last heard by anyone, in milliseconds; -1 means never.
	LastSeenMillis int64 `msgpack:"m"`
	// Unresponsive says that a VM which should have heard it since did not.
	Unresponsive bool `msgpack:"s,omitempty"`
	// Leaving says that the VM announced its shutdown.
	Leaving bool `msgpack:"l,omitempty"`
	// ListedLeaving says that the platform's list has it leaving.
	ListedLeaving bool `msgpack:"x,omitempty"`
}

// Members spreads changes among VMs that send each other no heartbeats.
type Members struct {
	// Members are the VMs that changed.
	Members MemberList `msgpack:"m"`
}

// MaxMembers bounds the VMs of one message.
const MaxMembers = 10_000

// MemberList is a list whose claimed length is checked before memory is taken
// for it: the codec itself would allocate what a few bytes claim.
type MemberList []Member

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *MemberList) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return errors.Wrap(err, "length of members")
	}
	if n > MaxMembers {
		return errors.Errorf("%d members are too many", n)
	}
	*l = nil
	for range n {
		var m Member
		if err := dec.Decode(&m); err != nil {
			return errors.Wrap(err, "member")
		}
		*l = append(*l, m)
	}
	return nil
}

// Observation is what one proxy saw of one upstream.
type Observation struct {
	// From names the observer.
	From tables.VMID `msgpack:"f"`
	// DataCentre is where the observer runs.
	DataCentre tables.DataCentreID `msgpack:"d"`
	// Upstream is the server observed.
	Upstream tables.UpstreamID `msgpack:"u"`
	// Cause is how the last probe ended.
	Cause tables.Cause `msgpack:"c"`
	// FailingMillis is how long the present run of failures has lasted, in milliseconds.
	FailingMillis int64 `msgpack:"m"`
	// Quorum says that the observer reaches a majority of the group, the upstream counted.
	Quorum bool `msgpack:"q"`
	// AgeMillis is how long ago the probe that ended with Cause was sent, in milliseconds.
	AgeMillis int64 `msgpack:"e"`
}

// GroupState is a primary that a proxy learnt of.
type GroupState struct {
	// Group names the group.
	Group tables.GroupID `msgpack:"g"`
	// Term is the term of the primary.
	Term tables.Term `msgpack:"t"`
	// Primary is the upstream promoted at Term.
	Primary tables.UpstreamID `msgpack:"p"`
}

// Config hands a configuration to a peer that reported an older version:
// either the steps from that version or the whole document.
type Config struct {
	// Version is the version that it leads to.
	Version uint64 `msgpack:"v"`
	// Document is the JSON text of the configuration; empty if Steps are given.
	Document []byte `msgpack:"b"`
	// Steps lead from the receiver's version to Version.
	Steps []config.Step `msgpack:"s,omitempty"`
}

// Bus sends and receives messages between proxies.
type Bus interface {
	// Send queues msg for the peer at address without blocking; a full queue drops it.
	Send(address, topic string, msg any)
	// Run delivers received messages to handle until ctx ends; handle gets one of the message types by value.
	Run(ctx context.Context, handle func(msg any)) error
}
