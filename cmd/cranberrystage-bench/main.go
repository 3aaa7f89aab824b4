// Command cranberrystage-bench loads proxies through an ordinary driver,
// checks the answers against the promises and measures what a proxy costs.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/pkg/errors"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout, os.Stderr); err != nil {
		slog.New(slog.NewTextHandler(os.Stderr, nil)).Error("bench: Run failed.", "error", err.Error())
		os.Exit(1)
	}
}

// shared are the flags of load and demo.
type shared struct {
	opts    bench.Options
	json    bool
	history string
}

func (s *shared) register(c *kingpin.CmdClause) {
	o := &s.opts
	c.Flag("proxy", "IP:port of a proxy; repeat for each.").Required().StringsVar(&o.Proxies)
	c.Flag("rate", "Operations per second, for each workload.").Default("200").Float64Var(&o.Rate)
	c.Flag("duration", "How long operations arrive.").Default("20s").DurationVar(&o.Duration)
	c.Flag("drain", "Bound of what follows the duration: operations under way and the final reads.").Default("20s").DurationVar(&o.Drain)
	c.Flag("connections", "Sessions, each with one connection, for each workload.").Default("30").IntVar(&o.Connections)
	c.Flag("timeout", "How long a caller waits for one operation.").Default("10s").DurationVar(&o.Timeout)
	c.Flag("roam", "Share of operations before which a session moves to a random proxy.").Default("0.05").Float64Var(&o.Roam)
	handover := []string{string(bench.HandoverToken), string(bench.HandoverName), string(bench.HandoverNothing)}
	c.Flag("handover", "What a session gives to the next proxy.").Default(handover[0]).EnumVar((*string)(&o.Handover), handover...)
	c.Flag("undeclared", "Let reads declare no age.").BoolVar(&o.Undeclared)
	c.Flag("gap-probe", "Pause between the writes that measure gaps, for each database; 0s for none.").Default("20ms").DurationVar(&o.GapProbe)
	c.Flag("seed", "Seed of arrivals and choices.").Default("1").Uint64Var(&o.Seed)
	c.Flag("json", "Print JSON lines.").BoolVar(&s.json)
	c.Flag("history", "File that receives the history as JSON lines.").StringVar(&s.history)
}

// runID keeps the keys of runs apart that use the same database.
func runID() string { return strconv.FormatInt(time.Now().UnixNano(), 36) }

func run(ctx context.Context, args []string, out, progress io.Writer) error {
	app := kingpin.New("cranberrystage-bench", "Loads proxies and checks their promises.")
	app.UsageWriter(progress)
	app.Terminate(nil)

	var ls shared
	load := app.Command("load", "Run one workload.")
	ls.register(load)
	load.Flag("user", "User to log in as.").Required().StringVar(&ls.opts.User)
	load.Flag("password", "Password of the user.").Envar("CRANBERRYSTAGE_PASSWORD").StringVar(&ls.opts.Password)
	workload := load.Flag("workload", "Mix of operations.").Default("agency").Enum("batbayar", "agency")
	databases := load.Flag("database", "Database as service/database; repeat for several.").Required().Strings()

	var ds shared
	demo := app.Command("demo", "Run both deployments' workloads, kill a process half-way and verify.")
	ds.register(demo)
	killPID := demo.Flag("kill-pid", "Process that gets SIGKILL half-way.").Int()
	killPrimary := demo.Flag("kill-primary-of", "IP:port=PID of a server; repeat for each of a group, the primary gets SIGKILL half-way.").Strings()
	logins := make([]login, len(bench.Workloads))
	for i, w := range bench.Workloads {
		logins[i].register(demo, w.Name)
	}

	ex := newExperiment(app)
	nv := newNaive(app)

	var co bench.CostOptions
	cost := app.Command("cost", "Compare direct access, the proxy and a naive proxy.")
	cost.Flag("direct", "IP:port of a server of the group; repeat for each, the primary is measured.").Required().StringsVar(&co.Direct)
	cost.Flag("direct-database", "Database at the primary.").Default("bench").StringVar(&co.DirectDatabase)
	cost.Flag("direct-user", "User at the primary.").Default("bench").StringVar(&co.DirectUser)
	cost.Flag("proxy", "IP:port of a proxy.").Required().StringVar(&co.Proxy)
	cost.Flag("database", "Database at the proxy, as service/database.").Required().StringVar(&co.Database)
	cost.Flag("user", "User at the proxy.").Required().StringVar(&co.User)
	cost.Flag("password", "Password of the user.").Envar("CRANBERRYSTAGE_PASSWORD").StringVar(&co.Password)
	cost.Flag("connections", "Callers at once.").Default("4").IntVar(&co.Connections)
	cost.Flag("duration", "Length of one measurement.").Default("2s").DurationVar(&co.Duration)
	cost.Flag("rounds", "How often all measurements take turns.").Default("3").IntVar(&co.Rounds)
	costJSON := cost.Flag("json", "Print JSON lines.").Bool()

	slopes := app.Command("slopes", "Measure in this process what control costs against size.")
	slopesJSON := slopes.Flag("json", "Print JSON lines.").Bool()

	command, err := app.Parse(args)
	if err != nil {
		return errors.Wrap(err, "command line")
	}
	switch command {
	case load.FullCommand():
		w, err := bench.FindWorkload(*workload)
		if err != nil {
			return err
		}
		return ls.run(ctx, out, bench.Demo{Loads: []bench.Options{ls.options(w, *databases, progress)}})
	case demo.FullCommand():
		d := ds.demo(*killPID, logins, progress)
		for _, text := range *killPrimary {
			server, err := bench.ParseServer(text)
			if err != nil {
				return err
			}
			d.KillPrimaryOf = append(d.KillPrimaryOf, server)
		}
		return ds.run(ctx, out, d)
	case ex.command.FullCommand():
		return ex.run(ctx, out, progress)
	case nv.command.FullCommand():
		return nv.run(ctx)
	case slopes.FullCommand():
		return runSlopes(ctx, out, *slopesJSON)
	default:
		return runCost(ctx, out, co, *costJSON)
	}
}

func (s *shared) options(w bench.Workload, databases []string, progress io.Writer) bench.Options {
	o := s.opts
	o.Workload, o.Databases, o.Progress = w, databases, progress
	o.RunID = w.Name + "-" + runID()
	return o
}

// login says where one workload of the demo runs and as whom.
type login struct {
	databases      []string
	user, password string
}

func (l *login) register(c *kingpin.CmdClause, workload string) {
	c.Flag(workload+"-database", "Database of the "+workload+" workload; repeat for several.").Required().StringsVar(&l.databases)
	c.Flag(workload+"-user", "User of the "+workload+" workload.").Required().StringVar(&l.user)
	c.Flag(workload+"-password", "Password of that user.").Required().StringVar(&l.password)
}

// demo returns the loads of all workloads, each with its login.
func (s *shared) demo(killPID int, logins []login, progress io.Writer) bench.Demo {
	d := bench.Demo{KillPID: killPID}
	for i, w := range bench.Workloads {
		o := s.options(w, logins[i].databases, progress)
		o.User, o.Password = logins[i].user, logins[i].password
		d.Loads = append(d.Loads, o)
	}
	return d
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

func runSlopes(ctx context.Context, out io.Writer, asJSON bool) error {
	slopes, err := bench.Slopes(ctx)
	if err != nil {
		return err
	}
	if asJSON {
		return bench.WriteSlopesJSON(out, slopes)
	}
	return bench.WriteSlopesText(out, slopes)
}

func runCost(ctx context.Context, out io.Writer, co bench.CostOptions, asJSON bool) error {
	rows, err := bench.Cost(ctx, co)
	if err != nil {
		return err
	}
	if asJSON {
		return bench.WriteCostJSON(out, rows)
	}
	if err := bench.WriteCostText(out, rows); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d rounds of %s, %d connections\n", co.Rounds, co.Duration, co.Connections)
	return errors.Wrap(err, "write table")
}
