package benchcmd

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/bench"
)

// loadCommand runs one workload.
type loadCommand struct {
	command   *kingpin.CmdClause
	shared    shared
	workload  string
	databases []string
}

func newLoad(app *kingpin.Application) *loadCommand {
	l := &loadCommand{command: app.Command("load", "Run one workload.")}
	l.shared.register(l.command)
	l.command.Flag("user", "User to log in as.").Required().StringVar(&l.shared.opts.User)
	l.command.Flag("password", "Password of the user.").Envar(passwordVariable).StringVar(&l.shared.opts.Password)
	l.command.Flag("workload", "Workload, a mix of operations.").Default("agency").EnumVar(&l.workload, "batbayar", "agency")
	l.command.Flag("database", "Database as service/database; repeat for several.").Required().StringsVar(&l.databases)
	return l
}

// passwordVariable is the environment variable for the password of a user.
const passwordVariable = "CRANBERRYSTAGE_PASSWORD"

func (l *loadCommand) clause() *kingpin.CmdClause { return l.command }

func (l *loadCommand) run(ctx context.Context, out, progress io.Writer) error {
	w, err := bench.FindWorkload(l.workload)
	if err != nil {
		return err
	}
	load := l.shared.options(w, l.databases, progress)
	return l.shared.run(ctx, out, bench.Demo{Loads: []bench.Options{load}})
}
