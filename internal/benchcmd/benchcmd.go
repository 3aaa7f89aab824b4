// Package benchcmd implements the command line of cranberrystage-bench.
package benchcmd

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// subcommand is one command of the tool.
type subcommand interface {
	clause() *kingpin.CmdClause
	run(ctx context.Context, out, progress io.Writer) error
}

// Run parses args and runs the command that they name. It writes results to out,
// and usage and progress lines to progress.
func Run(ctx context.Context, args []string, out, progress io.Writer) error {
	app := kingpin.New("cranberrystage-bench", "Generates load on proxies and checks the consistency promises.")
	app.UsageWriter(progress)
	app.Terminate(nil)
	commands := []subcommand{
		newLoad(app),
		newDemo(app),
		newExperiment(app),
		newNaive(app),
		newCost(app),
		newSlopes(app),
	}
	name, err := app.Parse(args)
	if err != nil {
		return errors.Wrap(err, "command line")
	}
	for _, c := range commands {
		if c.clause().FullCommand() == name {
			return c.run(ctx, out, progress)
		}
	}
	return errors.Errorf("no command %q", name)
}
