package benchcmd

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/bench"
)

// slopesCommand measures how the costs of a proxy's control systems grow with
// the sizes of the deployment and of its configuration.
type slopesCommand struct {
	command *kingpin.CmdClause
	json    bool
}

func newSlopes(app *kingpin.Application) *slopesCommand {
	s := &slopesCommand{command: app.Command("slopes", "Measure, in this process, how the costs of a proxy's control systems grow with the size of the deployment.")}
	s.command.Flag("json", "Print JSON lines.").BoolVar(&s.json)
	return s
}

func (s *slopesCommand) clause() *kingpin.CmdClause { return s.command }

func (s *slopesCommand) run(ctx context.Context, out, _ io.Writer) error {
	slopes, err := bench.Slopes(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return bench.WriteSlopesJSON(out, slopes)
	}
	return bench.WriteSlopesText(out, slopes)
}
