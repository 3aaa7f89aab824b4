//go:build review3

// Command standin-3 plays a case of the review with real proxy processes: it emulates the
// platform and one group of three database servers, sends writes through three proxies, and
// checks whether a promotion lost an acknowledged commit.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/standin/metadata"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/emulator"
	"github.com/cranberrystage/cranberrystage/platform/entries"
	"github.com/cranberrystage/cranberrystage/platform/routes"
	"github.com/cranberrystage/cranberrystage/platform/wire"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const (
	group    = tables.GroupID("stock")
	database = "orders"
	key      = "key-of-orders"
	// proxies is the number of proxy processes, writers that of clients.
	proxies = 3
	writers = 6

	heartbeat = 1200 * time.Millisecond
	// lapse is the silence after which the store removes a server's entry.
	lapse        = 3 * heartbeat
	promoteDelay = time.Second
	warmUp       = 3 * time.Second
	replyTimeout = 2 * time.Second
	writePause   = 25 * time.Millisecond
	// refusedPause is the pause after a refusal, about what the proxies ask for.
	refusedPause = 125 * time.Millisecond
	stepInterval = 20 * time.Millisecond
	// lastWrites is how long the clients go on after the disruptions.
	lastWrites = 8 * time.Second
)

// The disruptions, from their start.
const (
	cutFor      = 9 * time.Second
	deafAt      = 6900 * time.Millisecond
	deafFor     = 1500 * time.Millisecond
	crashAt     = deafAt + deafFor/2
	crashFor    = 4 * time.Second
	disruptions = crashAt + crashFor
)

// The case "joins": a zone is cut off for zoneCut, and a new server starts in it at joinAt.
const (
	zoneCut = 800 * time.Millisecond
	joinAt  = 450 * time.Millisecond
)

// names of the servers: the first one is the primary, the second one falls behind, the
// third one is cut off from the store, the fourth one joins.
var names = []tables.UpstreamID{"db-1", "db-2", "db-3", "db-4"}

// joining is the server that joins in one of the cases.
const joining = tables.UpstreamID("db-4")

type play struct {
	binary, directory string
	// trouble means that there are disruptions, cut that the one of the store is among them.
	trouble, cut bool
	// name is that of the case.
	name  string
	began time.Time

	mu     sync.Mutex
	record *os.File
	// acknowledged holds "item value" of the writes that were acknowledged to clients.
	acknowledged map[string]time.Duration
	// silent are the servers whose check-ins do not arrive, by the time of the last one.
	silent map[tables.UpstreamID]time.Time

	store   *metadata.Store
	group   *dbgroup.Group
	fronts  []string
	links   map[tables.UpstreamID]*link
	closers []func()
	writes  int
}

func main() {
	p := &play{acknowledged: make(map[string]time.Duration), silent: make(map[tables.UpstreamID]time.Time), links: make(map[tables.UpstreamID]*link)}
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.StringVar(&p.binary, "binary", "target/cranberrystage-entry", "the proxy's program")
	flag.StringVar(&p.directory, "directory", "", "directory for settings and logs")
	flag.BoolVar(&p.trouble, "trouble", true, "disrupt")
	flag.StringVar(&p.name, "case", "unlisted", "the case: unlisted or joins")
	flag.BoolVar(&p.cut, "cut", true, "cut a replica off from the store as well")
	flag.Parse()
	var err error
	if p.record, err = os.Create(*path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code, err := p.run()
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
	if err != nil {
		p.note("the case cannot run: %v", err)
		fmt.Println("the case cannot run:", err)
		code = cannotRun
	}
	_ = p.record.Close()
	os.Exit(code)
}

// note writes a line into the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

func (p *play) run() (int, error) {
	p.began = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := p.startPlatform(ctx); err != nil {
		return cannotRun, err
	}
	for i := range proxies {
		if err := p.startProxy(ctx, i); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(warmUp)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() { p.write(ctx, i) })
	}
	time.Sleep(warmUp)
	p.disrupt()
	time.Sleep(lastWrites)
	stop()
	wg.Wait()
	return p.judge()
}

// startPlatform serves the store, the duty interface and the database servers.
func (p *play) startPlatform(ctx context.Context) error {
	p.store = metadata.New()
	var list []tables.Entry
	var listeners []net.Listener
	for i, id := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		k, err := newLink(l.Addr().String())
		if err != nil {
			return err
		}
		p.closers = append(p.closers, func() { _ = l.Close() }, k.close)
		listeners = append(listeners, l)
		p.links[id] = k
		list = append(list, tables.Entry{
			ID: id, Group: group, Address: k.address(), DataCentre: zone(i % 3), Slots: 5, StartedAt: 1,
		})
	}
	p.group = dbgroup.New(group, list...)
	p.group.PromoteDelay = promoteDelay
	p.group.Change(joining, (*dbgroup.Server).Crash) // it has not started yet
	p.silent[joining] = p.began
	p.group.Observe(func(r dbgroup.Run) { p.note("run %s", r.ID) })
	for i, l := range listeners {
		go emulator.ServeUpstream(l, p.group, list[i])
	}
	team := &tables.Team{ID: "shop"}
	value, err := routes.Encode(tables.Routing{
		Version: 1, IdleTransactionTimeout: 2 * time.Second,
		Routes: map[string]tables.Route{database: {
			Name: database, Database: database, Group: group, Freshness: tables.FreshNewest,
			StatementTimeout: time.Second, TargetLatency: 200 * time.Millisecond,
		}},
		Groups: map[tables.GroupID]tables.GroupLimits{group: {Connections: 60, SyncReplicas: 1}},
		Teams:  map[tables.TeamID]*tables.Team{team.ID: team},
		Keys:   map[string]*tables.Team{key: team},
	})
	if err != nil {
		return err
	}
	p.store.Put(routes.Table, routes.Key, value)
	go p.checkIn(ctx)
	storeAddress, err := p.serve(emulator.Store(p.store))
	if err != nil {
		return err
	}
	dutyAddress, err := p.serve(emulator.Duty(p.group, func(o emulator.Order) {
		p.note("order: promote %s, by %s, token %d", o.Upstream, o.Holder, o.Token)
	}))
	if err != nil {
		return err
	}
	return p.writeSettings(storeAddress, dutyAddress)
}

func (p *play) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // it is closed at the end of the run
	p.closers = append(p.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// checkIn keeps the servers' entries in the store: a running server's entry is written when
// it changes, and removed after three check-in intervals of silence.
func (p *play) checkIn(ctx context.Context) {
	last := make(map[tables.UpstreamID]string)
	sequence := make(map[tables.UpstreamID]uint64)
	for ctx.Err() == nil {
		for _, id := range names {
			p.mu.Lock()
			since, silent := p.silent[id]
			p.mu.Unlock()
			if silent {
				if last[id] != "" && time.Since(since) >= lapse {
					p.store.Drop(entries.Table, string(id))
					p.note("the entry of %s lapses", id)
					last[id] = ""
				}
				continue
			}
			e := p.group.Entry(id)
			value, err := entries.Encode(e)
			if err != nil || last[id] == string(value) {
				continue
			}
			last[id] = string(value)
			sequence[id]++
			e.Sequence = sequence[id]
			if value, err = entries.Encode(e); err == nil {
				p.store.Put(entries.Table, string(id), value)
				p.note("%s checks in, primary %t", id, e.ClaimsToLead)
			}
		}
		time.Sleep(stepInterval)
	}
}

func (p *play) setSilent(id tables.UpstreamID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.silent[id] = time.Now()
	} else {
		delete(p.silent, id)
	}
}

func settingsPath(directory string, i int) string {
	return filepath.Join(directory, fmt.Sprintf("vm%d.yaml", i))
}

// writeSettings writes a settings file per proxy. Each proxy has a loopback address of its
// own; the ports are free ones below those that the system hands out.
func (p *play) writeSettings(storeAddress, dutyAddress string) error {
	pid := os.Getpid()
	for port := 21000; port < 29000; port += 10 {
		var hosts []string
		free := true
		for i := range proxies {
			host := fmt.Sprintf("127.%d.%d.%d", 64+i, pid>>8&0xff, 1+pid&0x7f)
			hosts = append(hosts, host)
			for n := range 3 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port+n))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if !free {
			continue
		}
		for i, host := range hosts {
			front := fmt.Sprintf("%s:%d", host, port)
			p.fronts = append(p.fronts, front)
			err := emulator.WriteSettings(settingsPath(p.directory, i), emulator.Settings{
				VM: tables.VMID(fmt.Sprintf("vm%d", i)), DataCentre: zone(i), Host: host, Callers: front,
				Ready: fmt.Sprintf("%s:%d", host, port+1), PeerPort: port + 2, Store: storeAddress, Duty: dutyAddress,
			})
			if err != nil {
				return err
			}
		}
		return nil
	}
	return fmt.Errorf("no free ports")
}

// startProxy starts a proxy as the deploy file says, with its settings file named by the
// platform's variable. Its metrics address is left out.
func (p *play) startProxy(ctx context.Context, i int) error {
	log, err := os.Create(filepath.Join(p.directory, fmt.Sprintf("vm%d.log", i)))
	if err != nil {
		return err
	}
	c := exec.Command(p.binary, "--metrics-port", "0")
	c.Env = append(os.Environ(), "CRANBERRYSTAGE_SETTINGS="+settingsPath(p.directory, i))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		err := c.Wait()
		if ctx.Err() == nil {
			p.note("vm%d exited: %v", i, err)
		}
		close(exited)
	}()
	p.closers = append(p.closers, func() {
		_ = c.Process.Signal(syscall.SIGKILL) // it may have exited
		<-exited
		_ = log.Close()
	})
	return nil
}

func zone(i int) tables.DataCentreID { return tables.DataCentreID(fmt.Sprintf("zone-%d", i)) }

// disrupt cuts a replica off from the store for a while. Meanwhile the other replica
// receives nothing for a while, and the primary crashes.
func (p *play) disrupt() {
	switch {
	case !p.trouble && p.name == "joins":
		p.joinCalmly()
		return
	case p.name == "joins":
		p.joinBehindCut()
		return
	case !p.trouble:
		time.Sleep(disruptions)
		return
	}
	primary, behind, apart := names[0], names[1], names[2]
	start := time.Now()
	at := func(d time.Duration, text string, f func()) func() {
		return func() {
			time.Sleep(time.Until(start.Add(d)))
			p.note("%s", text)
			f()
		}
	}
	if !p.cut {
		apart = ""
	}
	steps := []func(){
		at(0, fmt.Sprintf("DISRUPTION: %q is cut off from the store", apart), func() { p.setSilent(apart, true) }),
		at(deafAt, "DISRUPTION: db-2 receives nothing", func() {
			p.group.Change(behind, func(s *dbgroup.Server) { s.SetReceiveStopped(true) })
		}),
		at(crashAt, "DISRUPTION: db-1 crashes", func() {
			p.setSilent(primary, true)
			p.group.Change(primary, (*dbgroup.Server).Crash)
		}),
		at(deafAt+deafFor, "db-2 receives again", func() {
			p.group.Change(behind, func(s *dbgroup.Server) { s.SetReceiveStopped(false) })
		}),
		at(cutFor, fmt.Sprintf("%q reaches the store again", apart), func() { p.setSilent(apart, false) }),
		at(crashAt+crashFor, "db-1 starts again", func() {
			p.group.Change(primary, (*dbgroup.Server).Restart)
			p.setSilent(primary, false)
		}),
	}
	for _, step := range steps {
		step()
	}
}

// write is one client, which writes each value once.
func (p *play) write(ctx context.Context, number int) {
	item := fmt.Sprintf("item%d", number)
	var conn *wire.Upstream
	for n := 1; ctx.Err() == nil; n++ {
		if conn == nil {
			conn = p.connect(number + n)
		}
		if conn == nil {
			time.Sleep(writePause)
			continue
		}
		id := fmt.Sprintf("w%d.%x", number, n)
		p.note("sent %s: write %s %d", id, item, n)
		r, err := exchange(conn, statement.Statement{ID: id, Kind: statement.Write, Arguments: fmt.Sprintf("%s %d", item, n)})
		switch {
		case err != nil:
			p.note("no answer to %s: %v", id, err)
			_ = conn.Close()
			conn = nil
		case r.Code == statement.OK:
			p.note("acknowledged %s", id)
			p.mu.Lock()
			p.writes++
			p.acknowledged[fmt.Sprintf("%s %d", item, n)] = time.Since(p.began)
			p.mu.Unlock()
		default:
			p.note("answer to %s: %s %s", id, r.Code, r.Detail)
			time.Sleep(refusedPause)
		}
		time.Sleep(writePause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func exchange(conn *wire.Upstream, st statement.Statement) (statement.Reply, error) {
	if err := conn.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return statement.Reply{}, err
	}
	if err := conn.Send(st); err != nil {
		return statement.Reply{}, err
	}
	return conn.Receive()
}

func (p *play) connect(n int) *wire.Upstream {
	nc, err := net.DialTimeout("tcp", p.fronts[n%len(p.fronts)], replyTimeout)
	if err != nil {
		return nil
	}
	conn := wire.NewUpstream(nc)
	if err := nc.SetDeadline(time.Now().Add(replyTimeout)); err == nil {
		if r, err := conn.Open(database, key); err == nil && r.Code == statement.OK {
			return conn
		}
	}
	_ = nc.Close()
	return nil
}

// judge checks that the promoted servers had all commits that clients saw acknowledged.
func (p *play) judge() (int, error) {
	p.mu.Lock()
	acknowledged, writes := p.acknowledged, p.writes
	p.mu.Unlock()
	var lost []string
	for _, items := range p.group.LostItems() {
		for item, value := range items {
			write := item + " " + value
			if at, ok := acknowledged[write]; ok {
				lost = append(lost, fmt.Sprintf("%s, acknowledged at %.3f s", write, at.Seconds()))
			}
		}
	}
	for _, l := range lost {
		p.note("LOST: the promoted server lacks the write %s", l)
	}
	result := fmt.Sprintf("%d writes acknowledged, %d promotions, %d acknowledged writes lost", writes, p.group.Promotions(), len(lost))
	p.note("%s", result)
	fmt.Println(result)
	if writes < 100 || p.trouble && p.group.Promotions() == 0 {
		return cannotRun, fmt.Errorf("too little happened: %s", result)
	}
	if len(lost) > 0 {
		return broken, nil
	}
	return held, nil
}
