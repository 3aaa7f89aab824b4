package quotarelay

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/systems/quota"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"
)

// One-way latencies, the interval at which an unresponsive proxy is noticed, and that at
// which the directory is read.
const (
	nearLatency       = 200 * time.Microsecond
	farLatency        = 900 * time.Microsecond
	noticeInterval    = 500 * time.Millisecond
	directoryInterval = 30 * time.Second
)

// cluster is a fleet of proxies in virtual time. Its directory stands for the store.
type cluster struct {
	t         *testing.T
	rng       *rand.Rand
	tolerance quota.Tolerance
	began     time.Time

	mu        sync.Mutex
	vms       []*vm
	directory []*vm
	messages  map[string]int
	// duplicates makes the bus send some messages twice, as it may after a failure.
	duplicates bool
	teams      []*load
	// version is that of the newest configuration.
	version uint64
}

// vm is one proxy; process is nil while it is stopped.
type vm struct {
	c       *cluster
	name    string
	dc      tables.DataCentreID
	process *process
	// side is the side of a partition, frozen the end of a suspension.
	side   int
	frozen time.Time
}

// process is one process of a VM.
type process struct {
	*Relay
	vm      *vm
	cancel  context.CancelFunc
	subs    map[string]chan *message.Message
	rows    []*vm
	avoided map[*vm]bool
	routing *tables.Routing
}

// load is the load of one team, and what became of it.
type load struct {
	id       tables.TeamID
	rate     float64
	limits   []limitAt
	admitted []time.Duration
	refused  int
}

// limitAt is a limit from a time on.
type limitAt struct {
	at   time.Duration
	team tables.Team
}

func newCluster(t *testing.T, seed uint64, proxies, centres int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), messages: make(map[string]int),
		tolerance: quota.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
	}
	for i := range proxies {
		c.directory = append(c.directory, c.addVM(i, centres))
	}
	return c
}

func (c *cluster) addVM(i, centres int) *vm {
	v := &vm{c: c, name: fmt.Sprintf("vm-%02d", i), dc: tables.DataCentreID(fmt.Sprintf("dc-%d", i%centres))}
	c.vms = append(c.vms, v)
	return v
}

// addTeam adds a team with a limit of 1.6 times its load.
func (c *cluster) addTeam(rate, burst float64) *load {
	l := &load{id: tables.TeamID(fmt.Sprintf("team-%d", len(c.teams))), rate: rate}
	l.limits = []limitAt{{0, tables.Team{ID: l.id, Rate: 1.6 * rate, Burst: burst}}}
	c.teams = append(c.teams, l)
	return l
}

func (c *cluster) now() time.Duration { return time.Since(c.began) }

// routing returns the newest configuration.
func (c *cluster) routing() *tables.Routing {
	r := &tables.Routing{Version: c.version, Teams: make(map[tables.TeamID]*tables.Team)}
	for _, l := range c.teams {
		team := l.limits[len(l.limits)-1].team
		r.Teams[l.id] = &team
	}
	return r
}

func (v *vm) start() {
	ctx, cancel := context.WithCancel(v.c.t.Context())
	p := &process{vm: v, cancel: cancel, subs: make(map[string]chan *message.Message), avoided: make(map[*vm]bool)}
	v.c.mu.Lock()
	p.routing = v.c.routing()
	v.c.mu.Unlock()
	p.Relay = New(Options{
		Address: v.name, VM: tables.VMID(v.name), DataCentre: v.dc, Bus: p, Tolerance: v.c.tolerance,
		Allocator: p.allocator, Directory: p.readDirectoryRows,
		Routing: func() *tables.Routing { v.c.mu.Lock(); defer v.c.mu.Unlock(); return p.routing },
		Now:     func() tables.Time { return tables.Time(v.c.now() + time.Hour) },
		Log:     slog.New(slog.DiscardHandler), Metrics: metrics.New(prometheus.NewRegistry()),
	})
	v.c.mu.Lock()
	v.process = p
	v.c.mu.Unlock()
	go func() { _ = p.Run(ctx) }()
	go p.followDirectory(ctx)
}

// stop ends the VM's process; it returns false if there is none.
func (v *vm) stop() bool {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	if v.process == nil {
		return false
	}
	v.process.cancel()
	v.process = nil
	return true
}

// followDirectory reads the directory as rowrelay does, and notices proxies that don't
// respond.
func (p *process) followDirectory(ctx context.Context) {
	c := p.vm.c
	next := c.now()
	for first := true; ctx.Err() == nil; time.Sleep(noticeInterval) {
		c.mu.Lock()
		if c.now() >= next {
			p.rows = slices.Clone(c.directory)
			next = c.now() + directoryInterval
			if first {
				next = c.now() + time.Second
			}
			if !slices.Contains(c.directory, p.vm) {
				c.directory = append(c.directory, p.vm)
			}
		}
		first = false
		for _, v := range p.rows {
			p.avoided[v] = v.process == nil || v.side != p.vm.side || time.Now().Before(v.frozen)
		}
		c.mu.Unlock()
	}
}

// first returns the first proxy of a data centre by name that is not avoided.
func (p *process) first(dc tables.DataCentreID) *vm {
	var best *vm
	for _, v := range p.rows {
		if v.dc == dc && (!p.avoided[v] || v == p.vm) && (best == nil || v.name < best.name) {
			best = v
		}
	}
	return best
}

func (p *process) allocator() (string, bool) {
	p.vm.c.mu.Lock()
	defer p.vm.c.mu.Unlock()
	best := p.first(p.vm.dc)
	if best == nil || best == p.vm || best.name > p.vm.name {
		return p.vm.name, false
	}
	return best.name, true
}

func (p *process) readDirectoryRows() Directory {
	p.vm.c.mu.Lock()
	defer p.vm.c.mu.Unlock()
	d := Directory{Allocators: make(map[tables.DataCentreID]string)}
	for _, v := range p.rows {
		d.Proxies++
		d.Listed = d.Listed || v == p.vm
		if v.dc == p.vm.dc {
			d.Near++
		} else if best := p.first(v.dc); best != nil {
			d.Allocators[v.dc] = best.name
		}
	}
	return d
}

// Send implements rpc.Bus. Messages are kept while the receiver or the sender is
// suspended, and during a partition they are kept or lost.
func (p *process) Send(address, topic string, msg any) {
	payload, err := msgpack.Marshal(msg)
	if err != nil {
		panic(err)
	}
	c := p.vm.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages[topic]++
	i := slices.IndexFunc(c.vms, func(v *vm) bool { return v.name == address })
	to, lost, copies := c.vms[i], c.rng.IntN(2) == 0, 1
	if c.duplicates && c.rng.IntN(20) == 0 {
		copies = 2
	}
	latency := nearLatency
	if to.dc != p.vm.dc {
		latency = farLatency
	}
	for range copies {
		go p.deliver(to, topic, payload, latency, lost)
	}
}

func (p *process) deliver(to *vm, topic string, payload []byte, latency time.Duration, lost bool) {
	time.Sleep(latency)
	for range 200 {
		c := p.vm.c
		c.mu.Lock()
		cut := to.side != p.vm.side
		blocked := cut || time.Now().Before(to.frozen) || time.Now().Before(p.vm.frozen)
		receiver := to.process
		var in chan *message.Message
		if receiver != nil {
			in = receiver.subs[topic]
		}
		c.mu.Unlock()
		if cut && lost || in == nil {
			return
		}
		if !blocked {
			select {
			case in <- message.NewMessage("", payload):
			case <-time.After(time.Second): // the receiver has stopped
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Subscribe implements rpc.Bus.
func (p *process) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	in, out := make(chan *message.Message), make(chan *message.Message)
	p.vm.c.mu.Lock()
	p.subs[topic] = in
	p.vm.c.mu.Unlock()
	go func() {
		defer close(out)
		for {
			select {
			case m := <-in:
				out <- m
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

// runLoad sends a team's operations until the end. Each of its callers uses one proxy
// for some seconds; factor returns a multiple of the rate.
func (c *cluster) runLoad(l *load, callers int, end time.Duration, factor func() float64) {
	for range callers {
		go func() {
			var at *vm
			var moveAt time.Duration
			for c.now() < end {
				time.Sleep(time.Duration(c.random().ExpFloat64() * float64(callers) / (l.rate * factor()) * float64(time.Second)))
				c.mu.Lock()
				if c.now() >= moveAt || at.process == nil {
					at = c.vms[c.rng.IntN(len(c.vms))]
					moveAt = c.now() + time.Duration(c.rng.ExpFloat64()*float64(3*time.Second))
				}
				c.mu.Unlock()
				go c.operate(l, at)
			}
		}()
	}
}

// random returns a source of its own, as those of the test are not safe for
// concurrent use.
func (c *cluster) random() *rand.Rand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.New(rand.NewPCG(c.rng.Uint64(), 2))
}

// operate runs one operation at a proxy. At a suspended one, it waits and runs at
// once afterwards.
func (c *cluster) operate(l *load, at *vm) {
	c.mu.Lock()
	p, frozen := at.process, at.frozen
	c.mu.Unlock()
	if p == nil {
		return
	}
	time.Sleep(time.Until(frozen))
	_, ok := p.Admit(c.t.Context(), l.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		l.admitted = append(l.admitted, c.now())
	} else {
		l.refused++
	}
}

// checkWindows checks that no window has more operations than allowed. A window may have
// those of the old limit until one window after the new one is in force everywhere. It
// returns the fullest window's share of what is allowed.
func (c *cluster) checkWindows(l *load) (fullest float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.Sort(l.admitted)
	first := 0
	for i, at := range l.admitted {
		for l.admitted[first] <= at-c.tolerance.Window {
			first++
		}
		allowed := 0.0
		for k, limit := range l.limits {
			if k+1 < len(l.limits) && at > l.limits[k+1].at+configApply+c.tolerance.Window || at < limit.at {
				continue
			}
			base := limit.team.Rate*c.tolerance.Window.Seconds() + limit.team.Burst
			allowed = max(allowed, base*(1+c.tolerance.Overshoot)+c.tolerance.Slack)
		}
		n := float64(i - first + 1)
		if n > allowed {
			c.t.Errorf("%s ran %v operations within 5 s up to %v; %.1f are allowed; limits %v", l.id, n, at, allowed, l.limits)
			return n / allowed
		}
		fullest = max(fullest, n/allowed)
	}
	return fullest
}

// configApply is the time until a configuration is in force on each proxy.
const configApply = 5 * time.Second
