//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is everything around the program's processes.
type world struct {
	rec      *recorder
	program  string
	work     string
	trouble  bool
	subnet   string
	store    *store
	duty     *http.Server
	dutyAddr string
	version  uint64

	mu      sync.Mutex
	groups  map[string]*group
	orders  []order
	proxies []*proxyProcess
	broken  []string
}

func newWorld(program, record, work string) (*world, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, program: program, work: work, trouble: os.Getenv("TROUBLE") != "0",
		subnet: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)), groups: map[string]*group{},
	}
	if w.store, err = newStore(rec, w.subnet+"1"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", w.subnet+"2:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", w.promote)
	w.duty, w.dutyAddr = &http.Server{Handler: mux}, l.Addr().String()
	go w.duty.Serve(l)
	return w, nil
}

// order is a promotion that the platform was ordered to make.
type order struct {
	at                time.Duration
	holder, group, id string
	token             uint64
}

func (w *world) promote(rw http.ResponseWriter, r *http.Request) {
	var call struct{ Backend, ID string }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.rec.add("platform: promote %s %s, holder %s, token %s", call.Backend, call.ID, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fence-Token"))
	token, _ := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	w.mu.Lock()
	w.orders = append(w.orders, order{w.rec.now(), r.Header.Get("X-Duty-Holder"), call.Backend, call.ID, token})
	g := w.groups[call.Backend]
	w.mu.Unlock()
	if g == nil || !g.promoteServer(call.ID) {
		rw.WriteHeader(http.StatusConflict)
	}
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.rec.add("BROKEN: %s", text)
}

// addGroup starts a service with a primary and two replicas in three zones.
func (w *world) addGroup(name string, n int) (*group, error) {
	g := newGroup(w.rec, w.store, name)
	w.mu.Lock()
	w.groups[name] = g
	w.mu.Unlock()
	for i := 0; i < 3; i++ {
		if _, err := g.addServer(fmt.Sprintf("i-%s%d", name, i+1), w.subnet+strconv.Itoa(100+10*n+i), zones[i]); err != nil {
			return nil, err
		}
	}
	return g, nil
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// route is a route of the configuration.
type route struct {
	host, kind, backend string
	deadlineMs, staleMs int
}

// configure writes a version of the configuration.
func (w *world) configure(routes ...route) {
	w.version += 3
	type object = map[string]any
	var rs, bs []object
	for _, r := range routes {
		o := object{"name": "r-" + r.host, "host": r.host, "prefix": "/", "routeKind": r.kind, "deadlineMs": r.deadlineMs,
			"targetLatencyMs": 400, "priority": 1, "backend": r.backend, "maxAttempts": 2}
		if r.staleMs > 0 {
			o["maxStalenessMs"] = r.staleMs
		}
		rs = append(rs, o)
	}
	for name := range w.groups {
		bs = append(bs, object{"name": name, "healthPath": "/health", "maxConns": 22, "protocol": "h1", "tls": false, "syncReplicas": 1})
	}
	value, _ := json.Marshal(object{"version": w.version, "routes": rs, "backends": bs, "limits": object{
		"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000}})
	w.store.put("op", "config", value)
	w.rec.add("operator: config %s", value)
}

// proxyProcess is one process of the program.
type proxyProcess struct {
	w                        *world
	name, ip, zone, settings string
	front, ready             string
	command                  *exec.Cmd
	log                      *os.File
	exited                   chan struct{}
	// storeLink and dutyLink are the process's links to the platform.
	storeLink, dutyLink *link
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

const settingsText = `nodeId: "%[1]s"
role: "entry"
machineClass: "front"
serves:
  - "front"
ip: "%[2]s"
zone: "%[3]s"
region: "region-a"
zones:
  zone-a: "region-a"
  zone-b: "region-a"
  zone-c: "region-a"
listenAddrs:
  front: "%[2]s:%[4]d"
  ready: "%[2]s:%[5]d"
internalPorts:
  - %[6]d
  - %[7]d
seeds: []
firstStart: true
limits:
  cpuShare: 0.8
  cores: 1
  memoryMb: 284
  maxFds: 4200
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds:
  contactMs: 4000
  ackMs: 5000
  drainMs: 7000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 3000
  downgradeSlackMs: 250
  recoveryS: 12
  fencingEnforced: false
  thawSlackMs: 300
platform:
  address: "%[8]s"
  form: "table"
  writesPerS: 400
  readsPerS: 2000
cloudApi:
  address: "%[9]s"
  duties:
    - "failover"
  dutyPerS: 50.0
`

// addProxy starts a process of the program.
func (w *world) addProxy(zone string) (*proxyProcess, error) {
	n := len(w.proxies)
	p := &proxyProcess{w: w, name: fmt.Sprintf("front-%s-%d", zone, n+1), ip: w.subnet + strconv.Itoa(10+n), zone: zone}
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(p.ip); err != nil {
			return nil, err
		}
	}
	p.front, p.ready = fmt.Sprintf("%s:%d", p.ip, ports[0]), fmt.Sprintf("%s:%d", p.ip, ports[1])
	var err error
	if p.storeLink, err = newLink(w.subnet+"3", w.store.address); err != nil {
		return nil, err
	}
	if p.dutyLink, err = newLink(w.subnet+"3", w.dutyAddr); err != nil {
		return nil, err
	}
	p.settings = filepath.Join(w.work, p.name+".yaml")
	text := fmt.Sprintf(settingsText, p.name, p.ip, zone, ports[0], ports[1], ports[2], ports[2]+15, p.storeLink.address(), p.dutyLink.address())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(w.work, p.name+".log")); err != nil {
		return nil, err
	}
	w.proxies = append(w.proxies, p)
	return p, p.start()
}

func (p *proxyProcess) start() error {
	p.command = exec.Command(p.w.program)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CRANBERRYSTAGE_SETTINGS=" + p.settings}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.w.rec.add("start %s", p.name)
	if err := p.command.Start(); err != nil {
		return err
	}
	c, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() {
		err := c.Wait()
		p.w.rec.add("process %s ended: %v", p.name, err)
		close(exited)
	}()
	return nil
}

// readyTimeout bounds the start of a process on a busy machine.
const readyTimeout = 40 * time.Second

// awaitReady waits until the process answers the readiness probe with 200.
func (p *proxyProcess) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if r, err := client.Get("http://" + p.ready + "/ready"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

func (w *world) close() {
	for _, p := range w.proxies {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	w.duty.Close()
	w.store.close()
	w.rec.file.Close()
}

// client is one session of a client.
type client struct {
	w    *world
	name string
	conn net.Conn
	in   *bufio.Reader
}

// reply is the answer to a statement.
type reply struct {
	rows  []string
	done  string
	code  string
	text  string
	state string
}

func (r reply) String() string {
	if r.code != "" {
		return fmt.Sprintf("ERR %s %s, state %s", r.code, r.text, r.state)
	}
	return fmt.Sprintf("rows %.200q DONE %s, state %s", r.rows, r.done, r.state)
}

// dial opens a session.
func (w *world) dial(name, address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{w: w, name: name, conn: conn, in: bufio.NewReader(conn)}
	fmt.Fprintf(conn, "START %s u-%s\r\n", database, name)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := readMessage(c.in)
	if err != nil {
		conn.Close()
		return nil, err
	}
	if !strings.HasPrefix(line, "READY I") {
		conn.Close()
		return nil, fmt.Errorf("answer to the start: %s", line)
	}
	return c, nil
}

// send sends a statement as one message.
func (c *client) send(id, text string) error {
	c.w.rec.add("client %s sends %s %q", c.name, id, text)
	_, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n"))
	return err
}

// receive returns the answer to one statement.
func (c *client) receive(timeout time.Duration) (reply, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	var r reply
	for {
		line, err := readMessage(c.in)
		if err != nil {
			c.w.rec.add("client %s: %v", c.name, err)
			return r, err
		}
		verb, rest := word(line)
		switch verb {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "DONE":
			r.done = rest
		case "ERR":
			r.code, r.text = word(rest)
		case "READY":
			r.state, _ = word(rest)
			c.w.rec.add("client %s gets %s", c.name, r)
			return r, nil
		default:
			return r, fmt.Errorf("unexpected message %q", line)
		}
	}
}

// run sends a statement and returns its answer.
func (c *client) run(id, text string) (reply, error) {
	if err := c.send(id, text); err != nil {
		return reply{}, err
	}
	return c.receive(5 * time.Second)
}

// newID returns a new id of a statement.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
