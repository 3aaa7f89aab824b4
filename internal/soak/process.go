package soak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/platform/emulator"
	"github.com/pkg/errors"
)

// proxy is one real proxy process and the links through which it is reached and
// reaches the platform.
type proxy struct {
	soak     *Soak
	number   int
	settings string
	// front is the link from callers.
	front *link
	// store and promotion are the links to the platform's store and promotion
	// service.
	store, promotion *link

	mu      sync.Mutex
	command *exec.Cmd
	exited  <-chan struct{}
	// exitExpected means that the process was ordered to exit.
	exitExpected bool
	log          *os.File
}

// newProxy creates the links, settings and log file of a proxy; start runs it.
func (s *Soak) newProxy(i int) (*proxy, error) {
	front, ready, peers := ports(i)
	p := &proxy{soak: s, number: i, settings: filepath.Join(s.Directory, vmName(i)+".yaml")}
	var err error
	if p.front, err = newLink(front); err != nil {
		return nil, err
	}
	if p.store, err = newLink(s.storeAddress); err != nil {
		return nil, err
	}
	if p.promotion, err = newLink(s.promotionAddress); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(s.Directory, vmName(i)+".log")); err != nil {
		return nil, errors.Wrap(err, "create a log")
	}
	return p, emulator.WriteSettings(p.settings, emulator.Settings{
		VM: tables.VMID(vmName(i)), DataCentre: dataCentre(i), Host: host(), Callers: front, Ready: ready,
		PeerPort: portOf(peers), Store: p.store.address(), Duty: p.promotion.address(),
	})
}

func (p *proxy) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startLocked()
}

func (p *proxy) startLocked() error {
	c := exec.Command(p.soak.Binary, "--metrics-port", "0", "--settings", p.settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start a proxy")
	}
	exited := make(chan struct{})
	p.command, p.exited, p.exitExpected = c, (<-chan struct{})(exited), false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		unexpectedExit := p.exited == (<-chan struct{})(exited) && !p.exitExpected
		p.mu.Unlock()
		if unexpectedExit {
			p.soak.fail("%s exited unexpectedly: %v", vmName(p.number), err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process; exits means that the process is expected
// to exit. The returned channel is closed when the process has exited, or if it was
// never started.
func (p *proxy) signal(sig syscall.Signal, exits bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		exited := make(chan struct{})
		close(exited)
		return exited
	}
	p.exitExpected = p.exitExpected || exits
	_ = p.command.Process.Signal(sig) // it may have exited
	return p.exited
}

// waitForExit reports whether a process exits within exitTimeout.
func waitForExit(exited <-chan struct{}) bool {
	select {
	case <-exited:
		return true
	case <-time.After(exitTimeout):
		return false
	}
}

// restart waits for the exit of the process that was ordered to exit and starts a
// new one, unless the end of another fault has already started one.
func (p *proxy) restart(exited <-chan struct{}) {
	if !waitForExit(exited) {
		p.soak.fail("%s has not exited within %s of the signal", vmName(p.number), exitTimeout)
		p.signal(syscall.SIGKILL, true)
		waitForExit(exited)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != exited {
		return
	}
	if err := p.startLocked(); err != nil {
		p.soak.fail("%s: %v", vmName(p.number), err)
	}
}

// stop kills the process and closes its links.
func (p *proxy) stop() {
	p.signal(syscall.SIGCONT, true)
	waitForExit(p.signal(syscall.SIGKILL, true))
	p.front.close()
	p.store.close()
	p.promotion.close()
	_ = p.log.Close() // nothing writes to it any more
}

// checkLog searches the process's output for a panic and for callers' keys.
func (p *proxy) checkLog() {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		p.soak.fail("log of %s: %v", vmName(p.number), err)
		return
	}
	if i := bytes.Index(data, []byte("panic:")); i >= 0 {
		line, _, _ := strings.Cut(string(data[i:]), "\n")
		p.soak.fail("%s: %s", vmName(p.number), line)
	}
	if line := keyIn(string(data)); line != "" {
		p.soak.fail("%s logged a key: %s", vmName(p.number), line)
	}
}
