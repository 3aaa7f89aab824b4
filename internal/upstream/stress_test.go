package upstream

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/group"
	"github.com/cranberrystage/cranberrystage/internal/standin/dbserver"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// TestStress lets callers of four proxies use, cancel and discard connections
// and time out in Acquire, while connections lose their path or are terminated.
// Every response must belong to the caller's own request, and the server's
// limits of slots and connections must hold.
func TestStress(t *testing.T) {
	const (
		proxies     = 4
		callers     = 5
		slots       = 3
		connections = 14
	)
	s := startServer(t, dbserver.Config{Slots: slots, Connections: connections, StatementTime: config.Duration(100 * time.Microsecond)})
	var pools []*Pool
	for i := range proxies {
		pools = append(pools, startPool(t, s.Addr(), "vm-"+strconv.Itoa(i), Limits{Connections: 3, Slots: slots}))
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, p := range pools {
		for j := range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				stressCaller(t, p, rand.New(rand.NewPCG(uint64(i), uint64(j))), stop)
			}()
		}
	}
	control := group.NewClient(s.Addr(), "control", "", "control@dc")
	defer control.Close()
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 15 {
		before := s.Stats().Statements
		await(t, func() bool { return s.Stats().Statements > before+100 })
		victim := random.IntN(proxies)
		if round%2 == 0 {
			_, err := control.TerminateVM(context.Background(), tables.VMID("vm-"+strconv.Itoa(victim)))
			assert.NilError(t, err)
			continue
		}
		pools[victim].CloseSilent(10 * time.Millisecond)
		pools[victim].CloseIdle()
	}
	close(stop)
	wg.Wait()
	st := s.Stats()
	assert.Equal(t, st.OverSlots, int64(0))
	assert.Assert(t, st.MaxConnections <= connections)
	for _, p := range pools {
		c := acquire(t, p, 1)
		p.Release(c)
		p.Close()
		await(t, func() bool { return p.Open() == 0 })
	}
	await(t, func() bool { return s.Stats().Connections <= 1 })
}

// stressCaller acquires and uses connections of p until stop closes.
func stressCaller(t *testing.T, p *Pool, random *rand.Rand, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		timeout := time.Duration(1+random.IntN(30)) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		c, err := p.Acquire(ctx, tables.Term(random.IntN(2)))
		cancel()
		if err != nil {
			continue
		}
		stressUse(t, p, c, random, n)
	}
}

func stressUse(t *testing.T, p *Pool, c *Conn, random *rand.Rand, n int) {
	c.SetDeadline(time.Now().Add(time.Second))
	if random.IntN(10) == 0 {
		_ = c.Cancel(context.Background())
	}
	want := strconv.Itoa(random.IntN(1_000_000) + n)
	got, err := c.queryValue("SELECT " + want)
	if err != nil || random.IntN(20) == 0 {
		p.Discard(c)
		return
	}
	if got != want {
		t.Errorf("got the response %s to %s", got, want)
	}
	p.Release(c)
}
