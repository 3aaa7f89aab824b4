package benchcmd

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/naive"
)

// naiveCommand runs the naive proxy, the baseline of measurements.
type naiveCommand struct {
	command         *kingpin.CmdClause
	listen, primary string
}

func newNaive(app *kingpin.Application) *naiveCommand {
	c := app.Command("naive", "Run a naive proxy for one server until interrupted.")
	n := &naiveCommand{command: c}
	c.Flag("listen", "IP:port for callers.").Required().StringVar(&n.listen)
	c.Flag("primary", "IP:port of the server.").Required().StringVar(&n.primary)
	return n
}

func (n *naiveCommand) clause() *kingpin.CmdClause { return n.command }

func (n *naiveCommand) run(ctx context.Context, _, _ io.Writer) error {
	p, err := naive.New(n.listen, n.primary)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
