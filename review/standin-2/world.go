//go:build review2

package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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

// Figures of a small deployment.
const (
	group            = tables.GroupID("ledger")
	slots            = 2
	connections      = 16
	replicaLag       = 60 * time.Millisecond
	promoteDelay     = 300 * time.Millisecond
	statementTimeout = time.Second
	targetLatency    = 400 * time.Millisecond
	maxAge           = 1500 * time.Millisecond
)

// Databases by the kind of their route.
const (
	newest  = "dbnewest"
	bounded = "dbbounded"
	own     = "dbown"
)

// run is a statement of a client that a server ran.
type run struct {
	server     tables.UpstreamID
	connection int
	// values are the session values of the server's connection at that time.
	values map[string]string
}

// world is the platform, the servers and the proxy processes of one run.
type world struct {
	binary, dir string
	record      *os.File
	began       time.Time
	store       *metadata.Store
	group       *dbgroup.Group
	// fail, if set, says with which code a server fails a statement, which then changes
	// nothing; OK means that it runs.
	fail func(id tables.UpstreamID, st statement.Statement) statement.Code

	mu          sync.Mutex
	runs        map[string][]run
	connections int
	closers     []func()

	storeAddress, dutyAddress string
	proxies                   []*proxy
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func newWorld(binary, dir string) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "cranberrystage-review-")
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, dir: temporary, record: record, began: time.Now(), store: metadata.New(), runs: make(map[string][]run)}
	var list []tables.Entry
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.closers = append(w.closers, func() { _ = l.Close() })
		listeners = append(listeners, l)
		list = append(list, tables.Entry{
			ID: tables.UpstreamID(fmt.Sprintf("i-%d", i)), Group: group, Address: l.Addr().String(),
			DataCentre: dataCentre(i), Slots: slots, StartedAt: time.Now().UnixMilli(), Sequence: 1,
		})
	}
	w.group = dbgroup.New(group, list...)
	w.group.PromoteDelay = promoteDelay
	w.group.LimitSlots(slots)
	w.group.LimitConnections(connections)
	for i, l := range listeners {
		w.group.Change(list[i].ID, func(s *dbgroup.Server) { s.SetLag(replicaLag) })
		go w.serveServer(l, list[i])
		value, err := entries.Encode(w.group.Entry(list[i].ID))
		if err != nil {
			return nil, err
		}
		w.store.Put(entries.Table, string(list[i].ID), value)
	}
	config, err := routes.Encode(configuration())
	if err != nil {
		return nil, err
	}
	w.store.Put(routes.Table, routes.Key, config)
	if w.storeAddress, err = w.serve(emulator.Store(w.store)); err != nil {
		return nil, err
	}
	duty := emulator.Duty(w.group, func(o emulator.Order) {
		w.note("platform: promote %s, holder %s, token %d", o.Upstream, o.Holder, o.Token)
	})
	w.dutyAddress, err = w.serve(duty)
	return w, err
}

func dataCentre(i int) tables.DataCentreID { return tables.DataCentreID(fmt.Sprintf("zone-%d", i)) }

func configuration() tables.Routing {
	r := tables.Routing{
		Version: 3, IdleTransactionTimeout: 2 * time.Second, Routes: make(map[string]tables.Route),
		Groups: map[tables.GroupID]tables.GroupLimits{group: {Connections: connections, SyncReplicas: 1}},
	}
	for name, f := range map[string]tables.Freshness{newest: tables.FreshNewest, bounded: tables.FreshBounded, own: tables.FreshSession} {
		r.Routes[name] = tables.Route{
			Name: name, Database: name, Group: group, Freshness: f, MaxAge: maxAge,
			StatementTimeout: statementTimeout, TargetLatency: targetLatency,
		}
	}
	return r
}

func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// serveServer serves the database server of an entry.
func (w *world) serveServer(l net.Listener, e tables.Entry) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go w.serveConnection(nc, e)
	}
}

func (w *world) serveConnection(nc net.Conn, e tables.Entry) {
	defer nc.Close()
	s := wire.NewServer(nc)
	service, user, id, err := s.Start()
	if err != nil {
		return
	}
	if service != group || id != "" && id != e.ID {
		_ = s.Reject(statement.Reply{Code: statement.Misrouted})
		return
	}
	session, r, err := w.group.Open(context.Background(), e, user)
	if err != nil {
		return
	}
	if r.Code != statement.OK {
		_ = s.Reject(r)
		return
	}
	defer session.Close()
	if s.Welcome() != nil {
		return
	}
	w.mu.Lock()
	w.connections++
	number := w.connections
	w.mu.Unlock()
	values, state := make(map[string]string), statement.Idle
	for {
		st, ok, err := s.Next()
		if err != nil || !ok {
			w.note("server %s, connection %d: ended, values %v", e.ID, number, values)
			return
		}
		if fail := w.getFail(); fail != nil {
			if code := fail(e.ID, st); code != statement.OK {
				if code == statement.RunFailed && state == statement.Open {
					state = statement.Failed // only a rollback follows
				}
				w.note("server %s, connection %d: %s %q fails with %s", e.ID, number, st.Kind, st.ID, code)
				if s.Reply(statement.Reply{Code: code, State: state, Detail: string(e.ID)}) != nil {
					return
				}
				continue
			}
		}
		if session.Send(st) != nil {
			return
		}
		r, err := session.Receive()
		if err != nil {
			return
		}
		state = r.State
		if r.Code == statement.OK {
			switch st.Kind {
			case statement.Set:
				values[st.Name] = st.Value
			case statement.Reset:
				values = make(map[string]string)
			}
		}
		if st.ID != "" {
			w.mu.Lock()
			w.runs[st.ID] = append(w.runs[st.ID], run{server: e.ID, connection: number, values: maps.Clone(values)})
			w.mu.Unlock()
		}
		w.note("server %s, connection %d: %s %q answered with %s, values %v", e.ID, number, st.Kind, st.ID, r.Code, values)
		if s.Reply(r) != nil {
			return
		}
	}
}

func (w *world) setFail(f func(tables.UpstreamID, statement.Statement) statement.Code) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fail = f
}

func (w *world) getFail() func(tables.UpstreamID, statement.Statement) statement.Code {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fail
}

// proxy is one proxy process.
type proxy struct {
	name, settings, front string
	log                   *os.File
	command               *exec.Cmd
}

// host returns the loopback address of the i-th proxy, which differs between runs.
func host(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>16&0x3f, pid>>8&0xff, 1+(pid*5+i)&0x7f)
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

const settingsText = `nodeId: "front-%[1]d"
role: "entry"
machineClass: "front"
serves: ["front"]
ip: "%[2]s"
zone: "zone-%[1]d"
region: "region"
zones: { zone-0: "region", zone-1: "region", zone-2: "region" }
listenAddrs: { front: "%[2]s:%[3]d", ready: "%[2]s:%[4]d" }
internalPorts: [%[5]d, %[5]d]
firstStart: true
limits: { cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4200, linkMbps: 1000.0, diskMb: 0 }
heartbeatMs: 1200
bounds: { seedLagS: 3, addrReuseS: 2, contactMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 7000, graceS: 6, lossSlackMs: 200, configApplyMs: 3000, downgradeSlackMs: 250, skewMaxMs: 12000, recoveryS: 12, fencingEnforced: false, thawSlackMs: 300 }
platform: { address: "%[6]s", form: "table" }
cloudApi: { address: "%[7]s", duties: ["failover"], dutyPerS: 50.0 }
`

func (w *world) addProxy(i int) (*proxy, error) {
	ip := host(i)
	var ports [3]int
	for k := range ports {
		var err error
		if ports[k], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	p := &proxy{name: fmt.Sprintf("front-%d", i), settings: filepath.Join(w.dir, fmt.Sprintf("settings-%d.yaml", i)), front: fmt.Sprintf("%s:%d", ip, ports[0])}
	text := fmt.Sprintf(settingsText, i, ip, ports[0], ports[1], ports[2], w.storeAddress, w.dutyAddress)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(w.dir, p.name+".log")); err != nil {
		return nil, err
	}
	w.proxies = append(w.proxies, p)
	return p, w.start(p)
}

// start starts a proxy with the command of the deploy file.
func (w *world) start(p *proxy) error {
	p.command = exec.Command(w.binary)
	p.command.Env = append(os.Environ(), "CRANBERRYSTAGE_SETTINGS="+p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	w.note("proxy %s starts", p.name)
	return p.command.Start()
}

// kill ends a proxy process.
func (w *world) kill(p *proxy) {
	w.note("proxy %s is killed", p.name)
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// close ends all processes and listeners. The proxies' logs are kept if keep is set.
func (w *world) close(keep bool) {
	for _, p := range w.proxies {
		if p.command != nil && p.command.ProcessState == nil {
			_ = p.command.Process.Signal(syscall.SIGKILL)
			_ = p.command.Wait()
		}
		_ = p.log.Close()
	}
	for _, f := range w.closers {
		f()
	}
	_ = w.record.Close()
	if keep {
		fmt.Println("logs:", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// client is one client's session.
type client struct {
	w    *world
	name string
	conn *wire.Upstream
	n    int
	// values are those that were acknowledged to the client.
	values map[string]string
}

// expectations are the session values that were acknowledged to the client of a statement.
type expectations map[string]map[string]string

const clientTimeout = 3 * time.Second

func (w *world) connect(name, address, database string) (*client, error) {
	nc, err := net.DialTimeout("tcp", address, clientTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{w: w, name: name, conn: wire.NewUpstream(nc), values: make(map[string]string)}
	if err := nc.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return nil, err
	}
	r, err := c.conn.Open(database, "user")
	if err == nil && r.Code != statement.OK {
		err = errors.New(r.Code.String() + " " + r.Detail)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// do runs one statement and returns its id and reply.
func (c *client) do(st statement.Statement) (string, statement.Reply, error) {
	c.n++
	st.ID = fmt.Sprintf("%s-%d", c.name, c.n)
	var r statement.Reply
	err := c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if err == nil {
		err = c.conn.Send(st)
	}
	if err == nil {
		r, err = c.conn.Receive()
	}
	if err == nil && r.Code == statement.OK && st.Kind == statement.Set {
		c.values[st.Name] = st.Value
	}
	c.w.note("client %s: %s %q %s: %s %s %v", c.name, st.Kind, st.ID, strings.TrimSpace(st.Name+" "+st.Value+" "+st.Arguments), r.Code, r.Detail, err)
	return st.ID, r, err
}

func (c *client) close() { _ = c.conn.Close() }
