package tables

import "time"

// ObservationKey joins an observer and an upstream: "vm/upstream".
type ObservationKey string

// NewObservationKey returns the key of what vm saw of upstream.
func NewObservationKey(vm VMID, upstream UpstreamID) ObservationKey {
	return ObservationKey(string(vm) + "/" + string(upstream))
}

// Observation is what another proxy saw of an upstream, stamped on arrival.
type Observation struct {
	// From names the observer.
	From VMID
	// DataCentre is where the observer runs.
	DataCentre DataCentreID
	// Upstream is the server observed.
	Upstream UpstreamID
	// Cause is how the observer's last probe ended.
	Cause Cause
	// FailingFor is how long the observer's present run of failures had lasted.
	FailingFor time.Duration
	// Quorum says that the observer reaches a majority of the group, the upstream counted.
	Quorum bool
	// Age is how long before publishing the probe that ended with Cause was sent.
	Age time.Duration
	// ReceivedAt is this process's time of arrival.
	ReceivedAt Time
}

// TermGrant reserves a term of a group for one VM. A term is granted once.
type TermGrant struct {
	// VM may coordinate a failover under Term.
	VM VMID `json:"vm"`
	// Term is higher than every term granted before it.
	Term Term `json:"term"`
}

// GroupRow is the platform's row of a group. Term and Next never decrease.
type GroupRow struct {
	// Term is the newest term known to have a primary.
	Term Term `json:"term"`
	// Primary stands at Term.
	Primary UpstreamID `json:"primary"`
	// Next is the lowest term that was never granted.
	Next Term `json:"next"`
	// Grants are the unused grants in ascending order of Term.
	Grants []TermGrant `json:"grants"`
}

// Step is the phase of a coordination.
type Step uint8

const (
	// StepIdle means that nothing is under way.
	StepIdle Step = iota
	// StepFence means that servers are asked to promise the new term.
	StepFence
	// StepPromote means that the chosen server is asked to lead.
	StepPromote
	// StepFollow means that the others are told whom to follow.
	StepFollow
)

// String names the step for logs.
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
	// Step is the present phase.
	Step Step
	// StartedAt is when the attempt began.
	StartedAt Time
	// StepAt is when the present phase began.
	StepAt Time
	// Fenced holds the status that each fenced server returned.
	Fenced *Table[UpstreamID, Status]
	// Candidate is the server chosen in StepPromote.
	Candidate UpstreamID
	// Planned says that an operator's intent asked for the change, and no failure.
	Planned bool
}

// World is everything that the systems read and change.
type World struct {
	// Self is this process's VM.
	Self VMID
	// DataCentre is where this process runs.
	DataCentre DataCentreID
	// PeerAddress is this process's IP:port for frames.
	PeerAddress string
	// Leaving says that this process is shutting down.
	Leaving bool

	// VMs are the entry VMs, this one included.
	VMs *Table[VMID, VM]
	// Upstreams are the database servers.
	Upstreams *Table[UpstreamID, Upstream]
	// Groups are the database groups.
	Groups *Table[GroupID, Group]
	// Observations are other proxies' observations.
	Observations *Table[ObservationKey, Observation]
	// Coordinations are this process's attempts under way.
	Coordinations *Table[GroupID, Coordination]
	// Rows are the newest platform rows seen of the groups.
	Rows *Table[GroupID, StoredGroupRow]
	// ConfigVersion is the version of the configuration in force here.
	ConfigVersion uint64
	// ConfigDeltas says that peers may send deltas to that configuration.
	ConfigDeltas bool
	// LeavingVMs are the VMs that the configuration has leaving, in ascending order.
	LeavingVMs []VMID
}

// StoredGroupRow is a GroupRow with its platform version.
type StoredGroupRow struct {
	// Row is the content.
	Row GroupRow
	// Version is the platform's row version; 0 means that the row does not exist.
	Version uint64
	// ReadAt is when it was read.
	ReadAt Time
}

// NewWorld returns an empty world for the process on self.
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
