package benchcmd

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/bench"
)

// demoCommand runs the workloads of both deployments and kills a process.
type demoCommand struct {
	command     *kingpin.CmdClause
	shared      shared
	killPID     int
	killPrimary []string
	logins      []login
}

func newDemo(app *kingpin.Application) *demoCommand {
	c := app.Command("demo", "Run the workloads of both deployments, kill a process half-way and verify the results.")
	d := &demoCommand{command: c, logins: make([]login, len(bench.Workloads))}
	d.shared.register(c)
	c.Flag("kill-pid", "Process that gets SIGKILL half-way.").IntVar(&d.killPID)
	c.Flag("kill-primary-of", "IP:port=PID of a server; repeat for each server of a group, the primary gets SIGKILL half-way.").StringsVar(&d.killPrimary)
	for i, w := range bench.Workloads {
		d.logins[i].register(c, w.Name)
	}
	return d
}

func (d *demoCommand) clause() *kingpin.CmdClause { return d.command }

func (d *demoCommand) run(ctx context.Context, out, progress io.Writer) error {
	demo := d.shared.demo(d.killPID, d.logins, progress)
	for _, text := range d.killPrimary {
		server, err := bench.ParseServer(text)
		if err != nil {
			return err
		}
		demo.KillPrimaryOf = append(demo.KillPrimaryOf, server)
	}
	return d.shared.run(ctx, out, demo)
}

// login holds the databases and the user of one workload.
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
