package tables

import "time"

// ObservationKey identifies an observer and an upstream: "vm/upstream".
type ObservationKey string

// NewObservationKey returns the key of the observation of upstream by vm.
func NewObservationKey(vm VMID, upstream UpstreamID) ObservationKey {
	return ObservationKey(string(vm) + "/" + string(upstream))
}

// Observation is another proxy's observation of an upstream, with its time of
// arrival here.
type Observation struct {
	// From names the observer.
	From VMID
	// DataCentre is where the observer runs.
	DataCentre DataCentreID
	// Upstream is the server observed.
	Upstream UpstreamID
	// Cause is the result of the observer's last probe.
	Cause Cause
	// FailingFor is how long the observer's probes had been failing.
	FailingFor time.Duration
	// Quorum means that the observer reaches a majority of the group, counting
	// the upstream as reached.
	Quorum bool
	// Age is the time from sending the probe to publishing the observation.
	Age time.Duration
	// ReceivedAt is when this process received the observation.
	ReceivedAt Time
}

// TermGrant reserves a term of a group for one VM. A term is granted once.
type TermGrant struct {
	// VM is the VM that may coordinate a failover under Term.
	VM VMID `json:"vm"`
	// Term is higher than every term granted before it.
	Term Term `json:"term"`
}

// GroupRow is the platform's row of a group. Term and Next never decrease.
type GroupRow struct {
	// Term is the newest term known to have a primary.
	Term Term `json:"term"`
	// Primary is the primary of Term.
	Primary UpstreamID `json:"primary"`
	// Next is the lowest term that was never granted.
	Next Term `json:"next"`
	// Grants are the unused grants in ascending order of Term.
	Grants []TermGrant `json:"grants"`
}

// Step is the phase of a coordination.
type Step uint8

const (
	// StepIdle means that no coordination is in progress.
	StepIdle Step = iota
	// StepFence requests that the servers promise the new term.
	StepFence
	// StepPromote requests that the chosen server becomes primary.
	StepPromote
	// StepFollow requests that the other servers replicate from the new primary.
	StepFollow
)

// String returns the name used in logs.
func (s Step) String() string {
	switch s {
	case StepFence:
		return "fence"
	case StepPromote:
		return "promote"
	case StepFollow:
		return "follow"
	default:
		return "idle"
	}
}

// Coordination is this process's attempt to give a group a new primary.
type Coordination struct {
	// Group is the database group.
	Group GroupID
	// Term is the new term.
	Term Term
	// Step is the current phase.
	Step Step
	// StartedAt is when the attempt began.
	StartedAt Time
	// StepAt is when the current phase began.
	StepAt Time
	// Fenced holds the status that each fenced server returned.
	Fenced *Table[UpstreamID, Status]
	// Candidate is the server chosen in StepPromote.
	Candidate UpstreamID
	// Planned means that the change is a planned move and not a failover: the old
	// primary answers and takes part in it.
	Planned bool
}

// World is the complete state that the systems read and change.
type World struct {
	// Self is this process's VM.
	Self VMID
	// DataCentre is where this process runs.
	DataCentre DataCentreID
	// PeerAddress is this process's IP:port for frames.
	PeerAddress string
	// Leaving means that this process is shutting down.
	Leaving bool

	// VMs are the entry VMs, including this one.
	VMs *Table[VMID, VM]
	// Upstreams are the database servers.
	Upstreams *Table[UpstreamID, Upstream]
	// Groups are the database groups.
	Groups *Table[GroupID, Group]
	// Observations are the observations received from other proxies.
	Observations *Table[ObservationKey, Observation]
	// Coordinations are this process's attempts in progress.
	Coordinations *Table[GroupID, Coordination]
	// Rows are the newest platform rows received of the groups.
	Rows *Table[GroupID, StoredGroupRow]
	// ConfigVersion is the version of the configuration in force here.
	ConfigVersion uint64
	// ConfigDeltas means that peers may send deltas to that configuration.
	ConfigDeltas bool
	// LeavingVMs are the VMs that the configuration marks as leaving, in ascending order.
	LeavingVMs []VMID
}

// StoredGroupRow is a GroupRow with its platform version.
type StoredGroupRow struct {
	// Row is the content of the row.
	Row GroupRow
	// Version is the platform's row version; 0 means that the row does not exist.
	Version uint64
	// ReadAt is when it was read.
	ReadAt Time
}

// NewWorld returns an empty world for the process that runs on the VM self.
func NewWorld(self VMID, dc DataCentreID, peerAddress string) *World {
	return &World{
		Self:          self,
		DataCentre:    dc,
		PeerAddress:   peerAddress,
		VMs:           NewTable[VMID, VM](),
		Upstreams:     NewTable[UpstreamID, Upstream](),
		Groups:        NewTable[GroupID, Group](),
		Observations:  NewTable[ObservationKey, Observation](),
		Coordinations: NewTable[GroupID, Coordination](),
		Rows:          NewTable[GroupID, StoredGroupRow](),
	}
}
