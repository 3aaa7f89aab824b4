package benchcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/pkg/errors"
)

// costCommand compares direct access, the proxy and a naive proxy.
type costCommand struct {
	command *kingpin.CmdClause
	options bench.CostOptions
	json    bool
}

func newCost(app *kingpin.Application) *costCommand {
	c := &costCommand{command: app.Command("cost", "Compare direct access, the proxy and a naive proxy.")}
	c.command.Flag("direct", "IP:port of a server of the group; repeat for each server, the primary is measured.").Required().StringsVar(&c.options.Direct)
	c.command.Flag("direct-database", "Database at the primary.").Default("bench").StringVar(&c.options.DirectDatabase)
	c.command.Flag("direct-user", "User at the primary.").Default("bench").StringVar(&c.options.DirectUser)
	c.command.Flag("proxy", "IP:port of a proxy.").Required().StringVar(&c.options.Proxy)
	c.command.Flag("database", "Database at the proxy, as service/database.").Required().StringVar(&c.options.Database)
	c.command.Flag("user", "User at the proxy.").Required().StringVar(&c.options.User)
	c.command.Flag("password", "Password of the user.").Envar(passwordVariable).StringVar(&c.options.Password)
	c.command.Flag("connections", "Number of concurrent callers.").Default("4").IntVar(&c.options.Connections)
	c.command.Flag("duration", "Length of one measurement.").Default("2s").DurationVar(&c.options.Duration)
	c.command.Flag("rounds", "Number of rounds; each runs every measurement once.").Default("3").IntVar(&c.options.Rounds)
	c.command.Flag("json", "Print JSON lines.").BoolVar(&c.json)
	return c
}

func (c *costCommand) clause() *kingpin.CmdClause { return c.command }

func (c *costCommand) run(ctx context.Context, out, _ io.Writer) error {
	co := c.options
	rows, err := bench.Cost(ctx, co)
	if err != nil {
		return err
	}
	if c.json {
		return bench.WriteCostJSON(out, rows)
	}
	if err := bench.WriteCostText(out, rows); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d rounds of %s, %d connections\n", co.Rounds, co.Duration, co.Connections)
	return errors.Wrap(err, "write table")
}
