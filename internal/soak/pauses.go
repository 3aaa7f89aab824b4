package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// tickInterval is the interval at which pauses are looked for, minPause the
	// shortest pause that is recorded. On a machine that is merely busy, gaps stay
	// below it.
	tickInterval = 20 * time.Millisecond
	minPause     = 200 * time.Millisecond
	// tickerVariable is set in the environment of the process that only ticks.
	tickerVariable = "CRANBERRYSTAGE_SOAK_TICKER"
	// tickerStarted is the first line that this process writes.
	tickerStarted = "ticking"
)

// RunTicker looks for pauses of this process until its input is closed, and writes
// them to its output, if the process was started for that by a run. It reports
// whether it was. Programs that use Soak call it first.
func RunTicker() bool {
	if os.Getenv(tickerVariable) == "" {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // it ends with the run's process
		cancel()
	}()
	last := time.Now()
	fmt.Println(tickerStarted)
	tick(ctx, last, func(line string) { fmt.Println(line) })
	return true
}

// tick reports each gap of at least minPause between two ticks, the first of them
// counted from last. A line holds the CPU time that the process used in the gap: none if
// it was stopped or did not get a core.
func tick(ctx context.Context, last time.Time, report func(line string)) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	used := cpuTime()
	for {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		now, usedNow := time.Now(), cpuTime()
		// A suspended machine may stop the monotonic clock.
		gap := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
		if gap >= minPause {
			report(fmt.Sprintf("%s no tick for %s, used %s of CPU time", last.Format(clockFormat),
				gap.Round(time.Millisecond), (usedNow - used).Round(time.Millisecond)))
		}
		if ctx.Err() != nil {
			return
		}
		last, used = now, usedNow
	}
}

// cpuTime returns the CPU time that the process has used; 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// clockFormat is the format of times in the report, as in the proxies' logs.
const clockFormat = "15:04:05.000"

// pauses records the pauses of a run. A pause of the process that only ticks is one
// of the machine; one of the soak's own process alone is not.
type pauses struct {
	mu   sync.Mutex
	list []string
}

func (p *pauses) add(whose, line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, whose+" "+line)
}

// String returns the pauses, one a line.
func (p *pauses) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.list) == 0 {
		return "no pause of " + minPause.String()
	}
	return strings.Join(p.list, "\n")
}

// watchPauses records the pauses of a process that only ticks, and of this one, until
// the returned function is called.
func (s *Soak) watchPauses(ctx context.Context) (stop func(), err error) {
	_, stopTicker, err := s.startTicker()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		tick(ctx, time.Now(), func(line string) { s.pauses.add("soak:", line) })
	})
	return func() {
		cancel()
		wg.Wait()
		stopTicker()
	}, nil
}

// startTicker starts the process that only ticks and returns once it does. stop ends
// the process.
func (s *Soak) startTicker() (ticker *exec.Cmd, stop func(), err error) {
	program, err := os.Executable()
	if err != nil {
		return nil, nil, errors.Wrap(err, "find the soak's program")
	}
	c := exec.Command(program)
	c.Env = append(os.Environ(), tickerVariable+"=1")
	input, err := c.StdinPipe()
	if err != nil {
		return nil, nil, errors.Wrap(err, "start the ticking process")
	}
	output, err := c.StdoutPipe()
	if err != nil {
		return nil, nil, errors.Wrap(err, "start the ticking process")
	}
	if err := c.Start(); err != nil {
		return nil, nil, errors.Wrap(err, "start the ticking process")
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() || lines.Text() != tickerStarted {
		_, _ = input.Close(), c.Wait() // there is nothing to end
		return nil, nil, errors.New("the ticking process has not started")
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for lines.Scan() {
			s.pauses.add("machine:", lines.Text())
		}
	})
	return c, func() {
		_ = input.Close() // the process ends
		wg.Wait()
		if err := c.Wait(); err != nil {
			s.pauses.add("machine:", "the ticking process failed: "+err.Error())
		}
	}, nil
}
