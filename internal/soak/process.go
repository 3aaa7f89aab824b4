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

// proxy is one real proxy process and the links around it.
type proxy struct {
	soak     *Soak
	number   int
	settings string
	// front is the link from callers.
	front *link
	// store and duty are the links to the platform.
	store, duty *link

	mu      sync.Mutex
	command *exec.Cmd
	ended   <-chan struct{}
	// expected says that the process was told to end.
	expected bool
	log      *os.File
}

// newProxy lays out a proxy; start runs it.
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
	if p.duty, err = newLink(s.dutyAddress); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(s.Directory, vmName(i)+".log")); err != nil {
		return nil, errors.Wrap(err, "create a log")
	}
	return p, emulator.WriteSettings(p.settings, emulator.Settings{
		VM: tables.VMID(vmName(i)), DataCentre: dataCentre(i), Host: host(), Callers: front, Ready: ready,
		PeerPort: portOf(peers), Store: p.store.address(), Duty: p.duty.address(),
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
	ended := make(chan struct{})
	p.command, p.ended, p.expected = c, (<-chan struct{})(ended), false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		unexpected := p.ended == (<-chan struct{})(ended) && !p.expected
		p.mu.Unlock()
		if unexpected {
			p.soak.fail("%s ended by itself: %v", vmName(p.number), err)
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process; ends says that it is to end of it. The
// channel is closed when that process has ended.
func (p *proxy) signal(sig syscall.Signal, ends bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = p.expected || ends
	_ = p.command.Process.Signal(sig) // it may have ended
	return p.ended
}

// endedWithin reports whether a process ends within endTime.
func endedWithin(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-time.After(endTime):
		return false
	}
}

// again starts the process once the one that was told to end has ended, unless
// another fault's end has started it.
func (p *proxy) again(ended <-chan struct{}) {
	if !endedWithin(ended) {
		p.soak.fail("%s has not ended %s after it was told to", vmName(p.number), endTime)
		p.signal(syscall.SIGKILL, true)
		endedWithin(ended)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != ended {
		return
	}
	if err := p.startLocked(); err != nil {
		p.soak.fail("%s: %v", vmName(p.number), err)
	}
}

// stop ends the process and its links.
func (p *proxy) stop() {
	p.signal(syscall.SIGCONT, true)
	endedWithin(p.signal(syscall.SIGKILL, true))
	p.front.close()
	p.store.close()
	p.duty.close()
	_ = p.log.Close() // nothing writes to it any more
}

// checkLog looks for a panic in what the process wrote.
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
}
