package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/configure"
	"github.com/cranberrystage/cranberrystage/internal/systems/detect"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/systems/failover"
	"github.com/cranberrystage/cranberrystage/internal/systems/reap"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// coreTick is the virtual time between two ticks of a measured core.
	coreTick = 10 * time.Millisecond
	// serversPerGroup is the number of servers of each measured group.
	serversPerGroup = 3
	// coreWarmUp is the virtual time after which a core is in a steady state.
	coreWarmUp = 5 * time.Second
	// coreSpan is the virtual time of a measurement of a core.
	coreSpan = 5 * time.Second
	// rowSpan is the virtual time over which reads of group rows are counted.
	rowSpan = time.Hour
	// rowTick is the virtual time between ticks while reads of group rows are counted.
	rowTick = 500 * time.Millisecond
	// coreVMs is the number of VMs in the tables of a measured core. It is larger
	// than the number of VMs that receive every observation.
	coreVMs = 40
	// candidatesPerGroup is the number of VMs that may coordinate a failover of a group.
	candidatesPerGroup = 5
	// frameBytes is the size of a frame between VMs without its message.
	frameBytes = 40
	// selfVM is the VM of a measured core.
	selfVM tables.VMID = "vm-0000"
)

var (
	watchedSizes = []int{4, 8, 16, 32, 64, 128}
	rowSizes     = []int{2, 4, 8, 16}
)

// slopeDocument declares groups of serversPerGroup servers.
func slopeDocument(groups int) config.Document {
	var doc config.Document
	for g := range groups {
		id := fmt.Sprintf("group-%04d", g)
		group := config.Group{ID: tables.GroupID(id), FirstPrimary: tables.UpstreamID(id + "-0")}
		for u := range serversPerGroup {
			group.Upstreams = append(group.Upstreams, config.Upstream{
				ID:         tables.UpstreamID(fmt.Sprintf("%s-%d", id, u)),
				DataCentre: tables.DataCentreID(fmt.Sprintf("dc-%02d", u)),
				Address:    fmt.Sprintf("10.%d.%d.%d:5432", u, g/250, g%250),
				Slots:      3, Connections: 20,
			})
		}
		doc.Groups = append(doc.Groups, group)
	}
	return doc
}

// controlCore runs the systems with which a proxy controls its groups, on a
// virtual clock and with simulated servers and a simulated platform that answer
// immediately.
type controlCore struct {
	world   *tables.World
	systems []controlSystem
	now     tables.Time
	rows    *tables.Table[tables.GroupID, tables.StoredGroupRow]
	// probes counts the status probes, reads and writes those of group rows.
	probes, reads, writes int
	// published counts the bytes of the messages to other VMs.
	published int
}

// controlSystem is one of the measured systems. Its methods return the actions that
// it requests.
type controlSystem interface {
	Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action
	Tick(now tables.Time, w *tables.World) []action.Action
}

// newControlCore returns a core that watches a number of groups, either as a
// failover candidate of each or only to serve its callers.
func newControlCore(groups int, candidate bool) *controlCore {
	vms := make([]tables.VMID, coreVMs)
	for i := range vms {
		vms[i] = tables.VMID(fmt.Sprintf("vm-%04d", i))
	}
	order := vms[1 : 1+candidatesPerGroup]
	if candidate {
		order = vms[:candidatesPerGroup]
	}
	candidates := func(*tables.World, tables.GroupID) []tables.VMID { return order }
	random := rand.New(rand.NewPCG(1, 1))
	c := &controlCore{
		world: tables.NewWorld(selfVM, "dc-00", "10.0.0.1:7000"),
		rows:  tables.NewTable[tables.GroupID, tables.StoredGroupRow](),
		systems: []controlSystem{
			detect.New(detect.DefaultOptions(candidates), random),
			failover.New(failover.DefaultOptions(candidates), random),
			reap.New(reap.DefaultOptions(candidates)),
		},
	}
	for _, id := range vms {
		c.world.VMs.Put(id, tables.VM{ID: id, DataCentre: "dc-00", Live: true})
	}
	configure.Apply(c.world, 1, slopeDocument(groups))
	return c
}

// run advances the clock by d in steps of tick and calls after at the end of each.
func (c *controlCore) run(d, tick time.Duration, after func()) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(tick)
		for _, s := range c.systems {
			c.perform(s.Tick(c.now, c.world))
		}
		after()
	}
}

func (c *controlCore) perform(actions []action.Action) {
	for _, a := range actions {
		e := c.respond(a)
		if e == nil {
			continue
		}
		for _, s := range c.systems {
			c.perform(s.Handle(c.now, c.world, e))
		}
	}
}

func (c *controlCore) respond(a action.Action) event.Event {
	switch a := a.(type) {
	case action.Probe:
		c.probes++
		return event.ProbeDone{Upstream: a.Upstream, SentAt: c.now, Status: c.status(a.Upstream), Fresh: a.Fresh}
	case action.Publish:
		if body, err := msgpack.Marshal(a.Message); err == nil {
			c.published += len(a.To) * (frameBytes + len(body))
		}
	case action.ReadGroupRow:
		c.reads++
		stored, _ := c.rows.Get(a.Group)
		return event.GroupRowRead{Group: a.Group, Row: stored.Row, Version: stored.Version}
	case action.WriteGroupRow:
		c.writes++
		c.rows.Put(a.Group, tables.StoredGroupRow{Row: a.Row, Version: a.Version + 1})
		return event.GroupRowWritten{Group: a.Group, TxnID: a.TxnID}
	}
	return nil
}

// status returns the status of a healthy server at the group's term.
func (c *controlCore) status(id tables.UpstreamID) tables.Status {
	u, _ := c.world.Upstreams.Get(id)
	g, _ := c.world.Groups.Get(u.Group)
	st := tables.Status{Fenced: g.Term, Last: tables.Position{LogTerm: g.Term, Index: uint64(c.now / tables.Time(time.Second))}}
	if g.Primary == id {
		st.Role = tables.RolePrimary
	} else {
		st.Following = g.Primary
	}
	return st
}

// coreSlopes measures a core in a steady state against the number of groups that
// it watches.
func coreSlopes() ([]Slope, error) {
	var slopes []Slope
	for _, role := range []struct {
		name      string
		candidate bool
	}{{"candidate", true}, {"callers only", false}} {
		var cpu, probes, published []SlopePoint
		for _, n := range watchedSizes {
			c := newControlCore(n, role.candidate)
			c.run(coreWarmUp, coreTick, func() {})
			c.probes, c.published = 0, 0
			started := time.Now()
			c.run(coreSpan, coreTick, func() {})
			seconds := coreSpan.Seconds()
			cpu = append(cpu, SlopePoint{n, 100 * time.Since(started).Seconds() / seconds})
			probes = append(probes, SlopePoint{n, float64(c.probes) / seconds})
			published = append(published, SlopePoint{n, float64(c.published) / seconds})
		}
		slopes = append(slopes,
			newSlope("core, "+role.name, "% of a core", "watched groups", cpu),
			newSlope("status probes, "+role.name, "probes/s", "watched groups", probes),
			newSlope("observations sent, "+role.name, "B/s", "watched groups", published))
	}
	return append(slopes, rowSlopes()...), nil
}

// rowSlopes counts one candidate's reads and writes of group rows on the platform.
func rowSlopes() []Slope {
	var reads, firstReads, firstWrites []SlopePoint
	for _, n := range rowSizes {
		c := newControlCore(n, true)
		c.run(coreWarmUp, rowTick, func() {})
		firstReads = append(firstReads, SlopePoint{n, float64(c.reads)})
		firstWrites = append(firstWrites, SlopePoint{n, float64(c.writes)})
		c.reads = 0
		c.run(rowSpan, rowTick, func() {})
		reads = append(reads, SlopePoint{n, float64(c.reads) / rowSpan.Seconds()})
	}
	return []Slope{
		newSlope("row reads at rest", "reads/s", "candidate groups", reads),
		newSlope("row reads of a new VM", "reads", "candidate groups", firstReads),
		newSlope("row writes of a new VM", "writes", "candidate groups", firstWrites),
	}
}

// snapshotSlopes measures the time to build the routing snapshot.
func snapshotSlopes() ([]Slope, error) {
	const builds = 2000
	var points []SlopePoint
	for _, n := range watchedSizes {
		c := newControlCore(n, false)
		snapshot := route.Build(c.now, c.world, nil)
		c.run(time.Minute, 100*time.Millisecond, func() { snapshot = route.Build(c.now, c.world, snapshot) })
		started := time.Now()
		for range builds {
			snapshot = route.Build(c.now, c.world, snapshot)
		}
		points = append(points, SlopePoint{n, float64(time.Since(started).Microseconds()) / builds})
	}
	return []Slope{newSlope("routing snapshot", "µs", "watched groups", points)}, nil
}
