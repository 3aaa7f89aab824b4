// Package peer defines the messages that proxies send each other and the bus
// that carries them. Package tcpbus implements the bus with msgpack frames over
// TCP. Messages are hints and observations: no guarantee depends on them, so
// they may be lost, duplicated or reordered.
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

// Heartbeat announces that a VM is alive, where it is reachable and which
// configuration version it uses.
type Heartbeat struct {
	// From names the sender.
	From tables.VMID `msgpack:"f"`
	// DataCentre is where the sender runs.
	DataCentre tables.DataCentreID `msgpack:"d"`
	// PeerAddress is the sender's IP:port for frames.
	PeerAddress string `msgpack:"a"`
	// ConfigVersion is the configuration version in force at the sender.
	ConfigVersion uint64 `msgpack:"c"`
	// Leaving reports whether the sender is shutting down.
	Leaving bool `msgpack:"l"`
	// Deltas reports whether the sender accepts deltas against the document of ConfigVersion.
	Deltas bool `msgpack:"x,omitempty"`
	// Probe requests a heartbeat from the receiver, which the sender regards as unresponsive.
	Probe bool `msgpack:"p,omitempty"`
	// PullsConfig reports that the sender requests a newer configuration itself. A
	// proxy of an earlier release does not set it and is sent one without a request.
	PullsConfig bool `msgpack:"u,omitempty"`
	// WantsConfig requests the receiver's configuration if it is newer.
	WantsConfig bool `msgpack:"w,omitempty"`
}

// Member is the sender's view of a VM whose state changed.
type Member struct {
	// VM names the VM, or an upstream that the platform lists as leaving.
	VM tables.VMID `msgpack:"v"`
	// DataCentre is where it runs.
	DataCentre tables.DataCentreID `msgpack:"d,omitempty"`
	// PeerAddress is its IP:port for frames; empty for an upstream.
	PeerAddress string `msgpack:"a,omitempty"`
	// LastSeenMillis is how long ago any proxy last received a message from the VM,
	// in milliseconds; -1 means never.
	LastSeenMillis int64 `msgpack:"m"`
	// Unresponsive reports that a proxy which should receive the VM's heartbeats has
	// received none since then.
	Unresponsive bool `msgpack:"s,omitempty"`
	// Leaving reports whether the VM announced its shutdown.
	Leaving bool `msgpack:"l,omitempty"`
	// ListedLeaving reports whether the platform lists the VM as leaving.
	ListedLeaving bool `msgpack:"x,omitempty"`
}

// Members propagates changes to VMs that do not exchange heartbeats with the
// changed VM.
type Members struct {
	// Members are the VMs that changed.
	Members MemberList `msgpack:"m"`
}

// MaxMembers is the largest number of VMs in one message.
const MaxMembers = 10_000

// MemberList is decoded without trusting its encoded length: the codec itself
// would allocate memory for any length that the first few bytes state.
type MemberList []Member

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *MemberList) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return errors.Wrap(err, "decode the number of members")
	}
	if n > MaxMembers {
		return errors.Errorf("%d members are too many", n)
	}
	*l = nil
	for range n {
		var m Member
		if err := dec.Decode(&m); err != nil {
			return errors.Wrap(err, "decode a member")
		}
		*l = append(*l, m)
	}
	return nil
}

// Observation is the result of one proxy's probes of one upstream.
type Observation struct {
	// From names the observer.
	From tables.VMID `msgpack:"f"`
	// DataCentre is where the observer runs.
	DataCentre tables.DataCentreID `msgpack:"d"`
	// Upstream is the server observed.
	Upstream tables.UpstreamID `msgpack:"u"`
	// Cause is the result of the last probe.
	Cause tables.Cause `msgpack:"c"`
	// FailingMillis is the time since the first of the current consecutive
	// failures, in milliseconds.
	FailingMillis int64 `msgpack:"m"`
	// Quorum reports whether the observer reaches a majority of the group,
	// counting the upstream as a member.
	Quorum bool `msgpack:"q"`
	// AgeMillis is the time since the probe with result Cause was sent, in milliseconds.
	AgeMillis int64 `msgpack:"e"`
}

// GroupState announces a primary that a proxy has discovered.
type GroupState struct {
	// Group names the group.
	Group tables.GroupID `msgpack:"g"`
	// Term is the term of the primary.
	Term tables.Term `msgpack:"t"`
	// Primary is the upstream promoted at Term.
	Primary tables.UpstreamID `msgpack:"p"`
}

// Config sends a configuration to a peer that reported an older version: either
// the steps from that version or the whole document.
type Config struct {
	// Version is the version that the receiver reaches.
	Version uint64 `msgpack:"v"`
	// Document is the configuration as JSON; empty if Steps are given.
	Document []byte `msgpack:"b"`
	// Steps lead from the receiver's version to Version.
	Steps []config.Step `msgpack:"s,omitempty"`
}

// Bus sends and receives messages between proxies.
type Bus interface {
	// Send queues msg for the peer at address without blocking; a full queue drops it.
	Send(address, topic string, msg any)
	// Run passes received messages to handle until ctx ends; handle receives
	// one of the message types by value.
	Run(ctx context.Context, handle func(msg any)) error
}
