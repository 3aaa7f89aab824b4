package benchcmd

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/cranberrystage/cranberrystage/internal/experiment"
	"github.com/pkg/errors"
)

// experimentCommand injects one fault under load.
type experimentCommand struct {
	command          *kingpin.CmdClause
	shared           shared
	logins           []login
	name             string
	servers, proxies []string
	setUp            experiment.SetUp
}

func newExperiment(app *kingpin.Application) *experimentCommand {
	c := app.Command("experiment", "Inject one fault under the workloads of both deployments and verify the results.")
	e := &experimentCommand{command: c, logins: make([]login, len(bench.Workloads))}
	e.shared.register(c)
	for i, w := range bench.Workloads {
		e.logins[i].register(c, w.Name)
	}
	c.Flag("server", "GROUP/ID=ADDRESS,CONTROL,PID of a database server; repeat for each server.").Required().StringsVar(&e.servers)
	c.Flag("proxy-process", "CALLERS,ADMIN,PID of a proxy; repeat for each proxy, faults of proxies are injected on the last one.").Required().StringsVar(&e.proxies)
	c.Flag("late-admin", "Admin IP:port of a proxy that is started during the load.").StringVar(&e.setUp.LateAdmin)
	c.Flag("platform", "IP:port of the platform.").Required().StringVar(&e.setUp.Platform)
	c.Flag("control-settings", "Settings file of the operators' tool.").Required().StringVar(&e.setUp.ControlSettings)
	c.Arg("name", "Name of the experiment.").Required().EnumVar(&e.name, experiment.Names()...)
	return e
}

func (e *experimentCommand) clause() *kingpin.CmdClause { return e.command }

func (e *experimentCommand) run(ctx context.Context, out, progress io.Writer) error {
	ex, err := experiment.Find(e.name)
	if err != nil {
		return err
	}
	for _, text := range e.servers {
		s, err := experiment.ParseServer(text)
		if err != nil {
			return err
		}
		e.setUp.Servers = append(e.setUp.Servers, s)
	}
	for _, text := range e.proxies {
		p, err := experiment.ParseProxy(text)
		if err != nil {
			return err
		}
		e.setUp.Proxies = append(e.setUp.Proxies, p)
	}
	rep, err := experiment.Run(ctx, ex, &e.setUp, e.shared.demo(0, e.logins, progress).Loads)
	if err != nil {
		return err
	}
	if err := e.shared.saveHistory(rep.Results); err != nil {
		return err
	}
	failed, err := experiment.Write(out, rep)
	if err == nil && failed > 0 {
		err = errors.Errorf("%d checks failed", failed)
	}
	return err
}
