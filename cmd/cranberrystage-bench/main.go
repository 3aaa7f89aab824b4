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
		slog.New(slog.NewTextHandler(os.Stderr, nil)).Error("bench: run failed", "error", err)
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
	c.Flag("connections", "Sessions, each with one connection, for each workload.").Default("30").IntVar(&o.Connections)
	c.Flag("timeout", "How long a caller waits for one operation.").Default("10s").DurationVar(&o.Timeout)
	c.Flag("roam", "Share of operations before which a session moves to a random proxy.").Default("0.05").Float64Var(&o.Roam)
	c.Flag("named-sessions", "Hand over session names in place of tokens.").BoolVar(&o.NamedSessions)
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
	workload := load.Flag("workload", "Mix of operations.").Default("agency").Enum("batbayar", "agency")
	var as access
	load.Flag("database", "Database as service/database; repeat for several.").Required().StringsVar(&as.databases)
	load.Flag("user", "User to log in as.").Required().StringVar(&as.user)
	load.Flag("password", "Password of the user.").Envar("CRANBERRYSTAGE_PASSWORD").StringVar(&as.password)

	var ds shared
	demo := app.Command("demo", "Run both deployments' workloads, kill a process half-way and verify.")
	ds.register(demo)
	killPID := demo.Flag("kill-pid", "Process that gets SIGKILL half-way.").Int()
	batbayar := registerAccess(demo, "batbayar", "shop", "stock-ledger/stock")
	agency := registerAccess(demo, "agency", "crew", "chantiers-db/chantiers")

	var co bench.CostOptions
	cost := app.Command("cost", "Compare direct access, the proxy and a naive proxy.")
	cost.Flag("direct", "IP:port of the primary.").Required().StringVar(&co.Direct)
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
		return ls.run(ctx, out, bench.Demo{Loads: []bench.Options{ls.options(w, &as, progress)}})
	case demo.FullCommand():
		return ds.run(ctx, out, ds.demo(*killPID, batbayar, agency, progress))
	default:
		return runCost(ctx, out, co, *costJSON)
	}
}

// access is how one workload reaches its databases.
type access struct {
	user, password string
	databases      []string
}

// registerAccess adds the flags of one deployment. Its databases are called
// database1 to database3 by default.
func registerAccess(c *kingpin.CmdClause, deployment, user, database string) *access {
	a := &access{}
	c.Flag(deployment+"-user", "User of the "+deployment+" workload.").Default(user).StringVar(&a.user)
	c.Flag(deployment+"-password", "Password of that user.").StringVar(&a.password)
	c.Flag(deployment+"-database", "Database of the "+deployment+" workload; repeat for several.").
		Default(database+"1", database+"2", database+"3").StringsVar(&a.databases)
	return a
}

func (s *shared) options(w bench.Workload, a *access, progress io.Writer) bench.Options {
	o := s.opts
	o.Workload, o.Progress = w, progress
	o.User, o.Password, o.Databases = a.user, a.password, a.databases
	o.RunID = w.Name + "-" + runID()
	return o
}

func (s *shared) demo(killPID int, batbayar, agency *access, progress io.Writer) bench.Demo {
	d := bench.Demo{KillPID: killPID}
	for _, w := range bench.Workloads {
		a := agency
		if w.Name == "batbayar" {
			a = batbayar
		}
		d.Loads = append(d.Loads, s.options(w, a, progress))
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
