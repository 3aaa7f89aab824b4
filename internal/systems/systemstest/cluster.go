// Package systemstest simulates the systems of many VMs in virtual time, with
// message loss, partitions and platform outages. It is for tests and benchmarks.
package systemstest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// TickInterval is the time between two ticks of a VM.
	TickInterval = 100 * time.Millisecond
	// frameOverhead is the size of a frame without its payload, in bytes.
	frameOverhead = 40
	// maxLatency is the upper limit of the random delay of a message and of a
	// platform response.
	maxLatency = 5 * time.Millisecond
)

// System is a system of the decision core.
type System interface {
	Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action
	Tick(now tables.Time, w *tables.World) []action.Action
}

// VM is one simulated VM.
type VM struct {
	// World holds its tables.
	World *tables.World
	// Running means that it ticks and receives messages.
	Running bool
	// BytesSent is the total size of the messages that it sent, including frame
	// overhead.
	BytesSent int
	// ConfigsSent counts the documents and deltas that it sent to peers.
	ConfigsSent int
	// ConfigBytes is the total size of the configurations that it sent or loaded.
	ConfigBytes int
	// Versions are the configuration versions that it put in force, in order.
	Versions []uint64
	// Documents are the documents of Versions.
	Documents []config.Document
	// Bandwidth limits what it receives from peers and of documents, in bytes per
	// second; 0 is unlimited.
	Bandwidth int
	// Paused means that its ticks and messages are deferred until Resume.
	Paused bool

	deferred []scheduledEvent
	link     link
	systems  []System
	// started is the virtual time of its last start.
	started time.Duration
	// epoch counts its starts and stops; events of an earlier epoch are dropped.
	epoch int
}

// Cluster simulates many VMs and their platform. Its fields may be changed between
// runs.
type Cluster struct {
	// VMs are in ascending order of ID.
	VMs []*VM
	// Loss is the probability that a message is lost, from 0 to 1.
	Loss float64
	// Partitioned reports whether two data centres cannot reach each other; nil
	// means that all can.
	Partitioned func(a, b tables.DataCentreID) bool
	// PlatformDown reports whether a data centre cannot reach the platform; nil means
	// that all can.
	PlatformDown func(dc tables.DataCentreID) bool
	// OnAction is called with each action of a VM; it may be nil.
	OnAction func(vm *VM, a action.Action)
	// PlatformDelay is added to the delay of each response of the platform.
	PlatformDelay time.Duration
	// List is the platform's VM list.
	List []platform.ListedVM
	// Head is the configuration head; version 0 means that there is none.
	Head config.Head
	// Document is the document of Head.
	Document config.Document
	// Delta is the delta that results in Document; it is read if Head names its base.
	Delta config.Delta
	// DocumentSize and DeltaSize are the encoded sizes, in bytes.
	DocumentSize, DeltaSize int
	// Now is the virtual time.
	Now time.Duration

	rng   *rand.Rand
	build func(*rand.Rand) []System
	byID  map[tables.VMID]*VM
	queue eventQueue
	seq   int
}

// NewCluster returns vms VMs spread over dcs data centres, all listed and
// running; build returns the systems of one VM.
func NewCluster(seed uint64, vms, dcs int, build func(*rand.Rand) []System) *Cluster {
	c := &Cluster{
		rng:   rand.New(rand.NewPCG(seed, 0)),
		build: build,
		byID:  make(map[tables.VMID]*VM),
	}
	for i := range vms {
		id := tables.VMID(fmt.Sprintf("vm-%04d", i))
		dc := tables.DataCentreID(fmt.Sprintf("dc-%02d", i%dcs))
		address := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		vm := &VM{World: tables.NewWorld(id, dc, address)}
		c.VMs = append(c.VMs, vm)
		c.byID[id] = vm
		c.List = append(c.List, platform.ListedVM{ID: string(id), DataCentre: string(dc), PeerAddress: address})
		c.Start(vm)
	}
	return c
}

// Start starts vm with empty tables.
func (c *Cluster) Start(vm *VM) {
	old := vm.World
	vm.World = tables.NewWorld(old.Self, old.DataCentre, old.PeerAddress)
	vm.systems = c.build(rand.New(rand.NewPCG(c.rng.Uint64(), 0)))
	vm.started = c.Now
	vm.Running = true
	vm.Versions = nil
	vm.Documents = nil
	vm.Paused = false
	vm.deferred = nil
	vm.link = link{bytes: vm.link.bytes}
	vm.epoch++
	c.after(time.Duration(c.rng.Int64N(int64(TickInterval))), vm, func() { c.tick(vm) })
}

// Stop stops vm immediately.
func (c *Cluster) Stop(vm *VM) {
	vm.Running = false
	vm.epoch++
}

// Run advances the virtual time by d.
func (c *Cluster) Run(d time.Duration) {
	end := c.Now + d
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(scheduledEvent)
		c.Now = e.at
		c.execute(e)
	}
	c.Now = end
}

// execute runs e. It drops e if the VM was stopped or restarted after e was
// scheduled, and defers e while the VM is paused.
func (c *Cluster) execute(e scheduledEvent) {
	switch {
	case e.vm.epoch != e.epoch:
	case e.vm.Paused:
		e.vm.deferred = append(e.vm.deferred, e)
	default:
		e.do()
	}
}

// Resume ends a pause and runs the deferred events now, in their order.
func (c *Cluster) Resume(vm *VM) {
	vm.Paused = false
	deferred := vm.deferred
	vm.deferred = nil
	for _, e := range deferred {
		c.execute(e)
	}
}

// RunUntil advances the time in steps of TickInterval until done returns true or
// limit has passed. It returns the time that passed.
func (c *Cluster) RunUntil(limit time.Duration, done func() bool) time.Duration {
	start := c.Now
	for c.Now-start < limit && !done() {
		c.Run(TickInterval)
	}
	return c.Now - start
}

// All reports whether ok holds for every running VM.
func (c *Cluster) All(ok func(*VM) bool) bool {
	for _, vm := range c.VMs {
		if vm.Running && !ok(vm) {
			return false
		}
	}
	return true
}

func (c *Cluster) after(d time.Duration, vm *VM, do func()) {
	c.seq++
	heap.Push(&c.queue, scheduledEvent{at: c.Now + d, seq: c.seq, vm: vm, epoch: vm.epoch, do: do})
}

func (c *Cluster) latency() time.Duration {
	return time.Duration(c.rng.Int64N(int64(maxLatency)))
}

func (c *Cluster) tick(vm *VM) {
	now := tables.Time(c.Now - vm.started)
	for _, s := range vm.systems {
		c.perform(vm, s.Tick(now, vm.World))
	}
	c.after(TickInterval, vm, func() { c.tick(vm) })
}

func (c *Cluster) handle(vm *VM, ev event.Event) {
	now := tables.Time(c.Now - vm.started)
	for _, s := range vm.systems {
		c.perform(vm, s.Handle(now, vm.World, ev))
	}
}

// replyFromPlatform delivers a response of the platform to vm.
func (c *Cluster) replyFromPlatform(vm *VM, ev event.Event) {
	c.after(c.latency()+c.PlatformDelay, vm, func() { c.handle(vm, ev) })
}

func (c *Cluster) perform(vm *VM, actions []action.Action) {
	for _, a := range actions {
		if c.OnAction != nil {
			c.OnAction(vm, a)
		}
		switch a := a.(type) {
		case action.Publish:
			c.publish(vm, a.To, a.Message)
		case action.ApplyDocument:
			vm.Versions = append(vm.Versions, a.Version)
			vm.Documents = append(vm.Documents, a.Document)
		case action.ListVMs:
			c.replyFromPlatform(vm, event.VMsListed{Outcome: c.outcome(vm), VMs: c.List})
		case action.ReadHead:
			c.replyFromPlatform(vm, c.readHead(vm))
		case action.LoadDocument:
			vm.ConfigBytes += c.DocumentSize
			ev := event.DocumentLoaded{Version: a.Version, Outcome: c.outcome(vm), Document: c.Document}
			c.receive(vm, c.latency()+c.PlatformDelay, c.DocumentSize, func() { c.handle(vm, ev) })
		case action.LoadDelta:
			vm.ConfigBytes += c.DeltaSize
			c.replyFromPlatform(vm, event.DeltaLoaded{Version: a.Version, Hash: a.Hash, Outcome: c.outcome(vm), Delta: c.Delta})
		}
	}
}

func (c *Cluster) outcome(vm *VM) event.Outcome {
	if c.PlatformDown != nil && c.PlatformDown(vm.World.DataCentre) {
		return event.OutcomeFailed
	}
	return event.OutcomeOK
}

func (c *Cluster) readHead(vm *VM) event.HeadRead {
	outcome := c.outcome(vm)
	if outcome == event.OutcomeOK && c.Head.Version == 0 {
		outcome = event.OutcomeNotFound
	}
	return event.HeadRead{Outcome: outcome, Head: c.Head}
}

func (c *Cluster) publish(vm *VM, to []tables.VMID, message any) {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		panic(err)
	}
	for _, id := range to {
		vm.BytesSent += frameOverhead + len(payload)
		if _, ok := message.(peer.Config); ok {
			vm.ConfigsSent++
			vm.ConfigBytes += frameOverhead + len(payload)
		}
		receiver := c.byID[id]
		if receiver.Running && c.delivers(vm, receiver) {
			c.receive(receiver, c.latency(), frameOverhead+len(payload), func() {
				c.handle(receiver, event.PeerMessage{Message: message})
			})
		}
	}
}

func (c *Cluster) delivers(from, to *VM) bool {
	if c.Partitioned != nil && c.Partitioned(from.World.DataCentre, to.World.DataCentre) {
		return false
	}
	return c.rng.Float64() >= c.Loss
}

// scheduledEvent is a function to run for a VM at a point in virtual time.
type scheduledEvent struct {
	at    time.Duration
	seq   int
	vm    *VM
	epoch int
	do    func()
}

// eventQueue is a heap of events in order of time, then of scheduling.
type eventQueue []scheduledEvent

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].seq < s[j].seq
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *eventQueue) Push(x any) { *s = append(*s, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (s *eventQueue) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	*s = (*s)[:last]
	return e
}
