// Package layout writes the settings files for a complete set-up on one machine:
// the emulated platform, one emulated database server per declared upstream, and
// proxies on consecutive ports.
package layout

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/cranberrystage/cranberrystage/internal/standin/run"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Ports of the set-up. Proxy n, counted from 0, uses the base ports plus n. A
// server's control port is its own port plus controlOffset.
const (
	platformPort  = 7001
	callerBase    = 6432
	peerBase      = 6532
	adminBase     = 6632
	controlOffset = 1000
)

// declarations is the subdirectory for the declarations.
const declarations = "declarations"

// Simulated durations of the emulated servers.
const (
	connectionSetUp = 10 * time.Millisecond
	crossLatency    = 500 * time.Microsecond
	statementTime   = 200 * time.Microsecond
)

// Options describe the set-up.
type Options struct {
	// Directory receives the files.
	Directory string
	// DataCentres lists the data centre of each proxy.
	DataCentres []tables.DataCentreID
	// LogLevel is the proxies' log level.
	LogLevel string
	// Operator is the name under which plans are confirmed.
	Operator string
	// KeyFile is the operator's key file.
	KeyFile string
	// PortOffset is added to every port so that several set-ups can run on one
	// machine.
	PortOffset int
}

// Write writes one settings file per process: platform.jsonc,
// server-ID.jsonc, proxy-N.jsonc with N from 1, and ctl.jsonc for operators. It
// writes the declarations, with PortOffset added to the ports, to
// declarations/all.jsonc.
func Write(doc config.Document, o Options) error {
	if err := os.MkdirAll(filepath.Join(o.Directory, declarations), 0o755); err != nil {
		return errors.Wrap(err, "make the directory")
	}
	doc, err := shiftPorts(doc, o.PortOffset)
	if err != nil {
		return err
	}
	if err := o.write(filepath.Join(declarations, "all"), doc); err != nil {
		return err
	}
	if err := o.writePlatform(); err != nil {
		return err
	}
	for _, g := range doc.Groups {
		if err := o.writeGroup(g); err != nil {
			return err
		}
	}
	for i := range o.DataCentres {
		if err := o.write(fmt.Sprintf("proxy-%d", i+1), o.proxy(i)); err != nil {
			return err
		}
	}
	return o.write("ctl", o.control())
}

func (o Options) write(name string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(o.Directory, name+".jsonc")
	return errors.Wrap(os.WriteFile(path, append(b, '\n'), 0o644), "write settings")
}

// local returns the local address with the shifted port.
func (o Options) local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port+o.PortOffset) }

// shiftPorts returns doc with offset added to the port of every upstream.
func shiftPorts(doc config.Document, offset int) (config.Document, error) {
	doc.Groups = slices.Clone(doc.Groups)
	for g := range doc.Groups {
		ups := slices.Clone(doc.Groups[g].Upstreams)
		doc.Groups[g].Upstreams = ups
		for i := range ups {
			var err error
			if ups[i].Address, err = shiftPort(ups[i].Address, offset); err != nil {
				return config.Document{}, err
			}
		}
	}
	return doc, nil
}

func vmID(i int) tables.VMID { return tables.VMID(fmt.Sprintf("vm-%d", i+1)) }

func (o Options) writePlatform() error {
	s := run.Settings{Platform: o.local(platformPort)}
	for i, dc := range o.DataCentres {
		s.VMs = append(s.VMs, platform.ListedVM{ID: string(vmID(i)), DataCentre: string(dc), PeerAddress: o.local(peerBase + i)})
	}
	return o.write("platform", s)
}

func (o Options) writeGroup(g config.Group) error {
	primary := g.Upstreams[0]
	for _, u := range g.Upstreams {
		if u.ID == g.FirstPrimary {
			primary = u
		}
	}
	for _, u := range g.Upstreams {
		control, err := controlAddress(u.Address)
		if err != nil {
			return err
		}
		s := run.Settings{Control: control, Servers: []dbserver.Config{server(u, primary)}}
		if err := o.write("server-"+string(u.ID), s); err != nil {
			return err
		}
	}
	return nil
}

// controlAddress returns the control address of the server at address, at which
// its faults are set and its counters read.
func controlAddress(address string) (string, error) { return shiftPort(address, controlOffset) }

// shiftPort returns address with offset added to its port.
func shiftPort(address string, offset int) (string, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", errors.Wrap(err, "address of a server")
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return "", errors.Errorf("address %q has no port number", address)
	}
	return net.JoinHostPort(host, strconv.Itoa(port+offset)), nil
}

func server(u, primary config.Upstream) dbserver.Config {
	return dbserver.Config{
		ID:             string(u.ID),
		DataCentre:     string(u.DataCentre),
		Listen:         u.Address,
		Primary:        u.ID == primary.ID,
		PrimaryID:      string(primary.ID),
		PrimaryAddress: primary.Address,
		Slots:          u.Slots,
		Connections:    u.Connections,
		SetUpTime:      config.Duration(connectionSetUp),
		CrossLatency:   config.Duration(crossLatency),
		StatementTime:  config.Duration(statementTime),
	}
}

// proxyFile holds the proxy settings that have no default.
type proxyFile struct {
	VM           tables.VMID           `json:"vm"`
	DataCentre   tables.DataCentreID   `json:"dataCentre"`
	Callers      proxyCallers          `json:"callers"`
	PeerAddress  string                `json:"peerAddress"`
	AdminAddress string                `json:"adminAddress"`
	SeedPeers    []string              `json:"seedPeers"`
	Platform     proxyPlatform         `json:"platform"`
	Objects      proxyObjects          `json:"objects"`
	Upstreams    map[string]credential `json:"upstreams"`
	LogLevel     string                `json:"logLevel"`
}

type proxyCallers struct {
	Addresses []string `json:"addresses"`
}

type proxyPlatform struct {
	URL string `json:"url"`
}

type proxyObjects struct {
	Endpoint  string `json:"endpoint"`
	Bucket    string `json:"bucket"`
	AccessKey string `json:"accessKey"`
	SecretKey string `json:"secretKey"`
}

func (o Options) objects() proxyObjects {
	return proxyObjects{
		Endpoint:  o.local(platformPort),
		Bucket:    settings.DefaultBucket,
		AccessKey: "demo",
		SecretKey: "demo-secret",
	}
}

// controlFile holds the settings of cranberrystage-ctl.
type controlFile struct {
	Platform proxyPlatform `json:"platform"`
	Objects  proxyObjects  `json:"objects"`
	Operator string        `json:"operator"`
	KeyFile  string        `json:"keyFile"`
	Proxies  []string      `json:"proxies"`
}

func (o Options) control() controlFile {
	c := controlFile{
		Platform: proxyPlatform{URL: "http://" + o.local(platformPort)},
		Objects:  o.objects(),
		Operator: o.Operator,
		KeyFile:  o.KeyFile,
	}
	for i := range o.DataCentres {
		c.Proxies = append(c.Proxies, o.local(adminBase+i))
	}
	return c
}

type credential struct {
	User string `json:"user"`
}

func (o Options) proxy(i int) proxyFile {
	p := proxyFile{
		VM:           vmID(i),
		DataCentre:   o.DataCentres[i],
		Callers:      proxyCallers{Addresses: []string{o.local(callerBase + i)}},
		PeerAddress:  o.local(peerBase + i),
		AdminAddress: o.local(adminBase + i),
		Platform:     proxyPlatform{URL: "http://" + o.local(platformPort)},
		Objects:      o.objects(),
		Upstreams:    map[string]credential{"control": {User: "control"}, "pool": {User: "pool"}},
		LogLevel:     o.LogLevel,
	}
	for j := range o.DataCentres {
		if j != i {
			p.SeedPeers = append(p.SeedPeers, o.local(peerBase+j))
		}
	}
	return p
}
