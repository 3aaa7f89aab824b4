package soak

import (
	"flag"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/dbgroup"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

var (
	seeds = flag.Uint64("soak-seeds", 1, "Number of seeds of the soak.")
	first = flag.Uint64("soak-first", 1, "First seed of the soak.")
)

// Seeds that failed once, with their cause:
//
//	100  the soak waited for a process that another fault's end had started
//	101  two soaks drew the same port; each has a loopback address of its own now
//	112  a paused proxy ran a write whose caller had given up, over newer ones: allowed
const shortRun = 4 * time.Second

func TestSeededRun(t *testing.T) {
	if testing.Short() {
		t.Skip("it runs processes for some fifteen seconds")
	}
	binary := filepath.Join(t.TempDir(), "entry")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/cranberrystage-entry").CombinedOutput()
	assert.NilError(t, err, string(out))
	for seed := *first; seed < *first+*seeds; seed++ {
		s := &Soak{Binary: binary, Directory: t.TempDir(), Seed: seed, Proxies: 3, Writers: 3, Lasts: shortRun}
		assert.NilError(t, s.Run(t.Context()))
		t.Log(s.Report())
		assert.Equal(t, len(s.Failures), 0)
		assert.Assert(t, s.Served > 100)
	}
}

// checked returns a soak over a group of two servers, for its checks.
func checked() *Soak {
	s := &Soak{history: &history{kept: make(map[string][]keptValue), refused: make(map[string]bool)}}
	s.group = dbgroup.New(group, tables.Entry{ID: "s0", Group: group}, tables.Entry{ID: "s1", Group: group})
	return s
}

// commit writes at the primary, past the proxies.
func (s *Soak) commit(t *testing.T, write string) {
	t.Helper()
	session, _, err := s.group.Open(t.Context(), tables.Entry{ID: "s0", Group: group})
	assert.NilError(t, err)
	assert.NilError(t, session.Send(statement.Statement{ID: "1", Kind: statement.Write, Arguments: write}))
	r, err := session.Receive()
	assert.NilError(t, err)
	assert.Equal(t, r.Code, statement.OK)
}

func TestChecksFindWhatIsBroken(t *testing.T) {
	for name, c := range map[string]struct {
		told func(s *Soak)
		log  []string
		want int
	}{
		"kept":                 {func(s *Soak) { s.history.keep("a", 1) }, []string{"a 1"}, 0},
		"lost":                 {func(s *Soak) { s.history.keep("a", 1) }, nil, 1},
		"doubled":              {func(s *Soak) {}, []string{"a 1", "a 1"}, 1},
		"kept though refused":  {func(s *Soak) { s.history.refuse("a", 1) }, []string{"a 1"}, 1},
		"refused and not kept": {func(s *Soak) { s.history.refuse("a", 2) }, []string{"a 1"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := checked()
			c.told(s)
			for _, write := range c.log {
				s.commit(t, write)
			}
			s.checkLogs()
			assert.Equal(t, len(s.Failures), c.want, "%v", s.Failures)
		})
	}
}

// echo returns a link before a server that sends back what it gets.
func echo(t *testing.T) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(nc, nc) }()
		}
	}()
	k, err := newLink(l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		k.close()
		_ = l.Close()
	})
	return k
}

// passes reports whether a byte comes back over a connection in time.
func passes(t *testing.T, nc net.Conn, within time.Duration) bool {
	t.Helper()
	assert.NilError(t, nc.SetDeadline(time.Now().Add(within)))
	if _, err := nc.Write([]byte{1}); err != nil {
		return false
	}
	_, err := io.ReadFull(nc, make([]byte, 1))
	return err == nil
}

func dial(t *testing.T, k *link) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", k.address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	return nc
}

const (
	soon = 5 * time.Second
	// never is long enough to see that nothing comes.
	never = 100 * time.Millisecond
)

func TestLinkFaults(t *testing.T) {
	k := echo(t)
	nc := dial(t, k)
	assert.Assert(t, passes(t, nc, soon))
	for _, d := range []direction{forth, back} {
		k.setCut(d, true)
		assert.Assert(t, !passes(t, nc, never))
		k.setCut(d, false)
		_, err := io.ReadFull(deadlined(t, nc), make([]byte, 1))
		assert.NilError(t, err, "what was cut comes later")
	}
	k.silence()
	assert.Assert(t, !passes(t, nc, never))
	other := dial(t, k)
	assert.Assert(t, passes(t, other, soon), "new connections work")
	k.reset()
	assert.Assert(t, !passes(t, other, soon))
	k.refuse(true)
	assert.Assert(t, !passes(t, dial(t, k), soon))
	k.refuse(false)
	assert.Assert(t, passes(t, dial(t, k), soon))
}

func deadlined(t *testing.T, nc net.Conn) net.Conn {
	t.Helper()
	assert.NilError(t, nc.SetDeadline(time.Now().Add(soon)))
	return nc
}
