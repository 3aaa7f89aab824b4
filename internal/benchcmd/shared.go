package benchcmd

import (
	"context"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/pkg/errors"
)

// shared holds the flags that load, demo and experiment have in common.
type shared struct {
	opts    bench.Options
	json    bool
	history string
}

func (s *shared) register(c *kingpin.CmdClause) {
	o := &s.opts
	c.Flag("proxy", "IP:port of a proxy; repeat for each proxy.").Required().StringsVar(&o.Proxies)
	c.Flag("rate", "Operations per second, for each workload.").Default("200").Float64Var(&o.Rate)
	c.Flag("duration", "Time during which operations arrive.").Default("20s").DurationVar(&o.Duration)
	c.Flag("drain", "Maximum time after the duration for operations in progress and the final reads.").Default("20s").DurationVar(&o.Drain)
	c.Flag("connections", "Sessions, each with one connection, for each workload.").Default("30").IntVar(&o.Connections)
	c.Flag("timeout", "Timeout of one operation.").Default("10s").DurationVar(&o.Timeout)
	c.Flag("roam", "Share of operations before which a session moves to a random proxy.").Default("0.05").Float64Var(&o.Roam)
	handover := []string{string(bench.HandoverToken), string(bench.HandoverName), string(bench.HandoverNothing)}
	c.Flag("handover", "How a session that moves identifies itself at the next proxy.").Default(handover[0]).EnumVar((*string)(&o.Handover), handover...)
	c.Flag("undeclared", "Let reads declare no maximum age, so that they go to the primary.").BoolVar(&o.Undeclared)
	c.Flag("gap-probe", "Interval of the writes that measure, for each database, the longest time without a successful write; 0s for none.").Default("20ms").DurationVar(&o.GapProbe)
	c.Flag("seed", "Seed of the random arrivals and operations.").Default("1").Uint64Var(&o.Seed)
	c.Flag("json", "Print JSON lines.").BoolVar(&s.json)
	c.Flag("history", "File that receives the history as JSON lines.").StringVar(&s.history)
}

// runID returns a prefix that makes a run's keys differ from those of other runs
// on the same database.
func runID() string { return strconv.FormatInt(time.Now().UnixNano(), 36) }

func (s *shared) options(w bench.Workload, databases []string, progress io.Writer) bench.Options {
	o := s.opts
	o.Workload, o.Databases, o.Progress = w, databases, progress
	o.RunID = w.Name + "-" + runID()
	return o
}

func (s *shared) run(ctx context.Context, out io.Writer, d bench.Demo) error {
	results, err := d.Run(ctx)
	if err != nil {
		return err
	}
	if err := s.saveHistory(results); err != nil {
		return err
	}
	write := bench.WriteText
	if s.json {
		write = bench.WriteJSON
	}
	failed, err := write(out, results)
	if err == nil && failed > 0 {
		err = errors.Errorf("%d checks failed", failed)
	}
	return err
}

func (s *shared) saveHistory(results []*bench.Result) error {
	if s.history == "" {
		return nil
	}
	f, err := os.Create(s.history)
	if err != nil {
		return errors.Wrap(err, "create history")
	}
	for _, r := range results {
		if err := history.Write(f, r.Ops); err != nil {
			_ = f.Close()
			return err
		}
	}
	return errors.Wrap(f.Close(), "close history")
}
