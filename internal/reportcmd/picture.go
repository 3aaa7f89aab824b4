package reportcmd

import (
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/burn"
	"github.com/cranberrystage/cranberrystage/internal/logread"
	"github.com/cranberrystage/cranberrystage/internal/runplot"
	"github.com/pkg/errors"
)

// pictureCommand is one invocation of the command picture.
type pictureCommand struct {
	Env
	logs    []string
	samples []string
	span    time.Duration
	out     string
}

func (p *pictureCommand) declare(cmd *kingpin.CmdClause) {
	cmd.Flag("samples", "Sample file of metrics, or directory of sample files; may be repeated.").StringsVar(&p.samples)
	cmd.Flag("span", "Length of time that each bar covers.").Default("1s").DurationVar(&p.span)
	cmd.Flag("out", "File to write instead of standard output.").StringVar(&p.out)
	cmd.Arg("log", "Log file of one or more proxies.").Required().StringsVar(&p.logs)
}

func (p *pictureCommand) run() error {
	if p.span <= 0 {
		return errors.New("span: must be more than 0")
	}
	var lines []logread.Line
	for _, name := range p.logs {
		more, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	r, err := runplot.Collect(lines, p.span)
	if err != nil {
		return err
	}
	h := &burn.History{}
	for _, name := range p.samples {
		if err := readFiles(h, name); err != nil {
			return err
		}
	}
	r.AddMetrics(h)
	return writeTo(p.out, p.Stdout, func(w io.Writer) error { return r.WriteSVG(w) })
}

func readLog(name string) ([]logread.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }() // a failed close loses nothing of a file that was only read
	return logread.Read(name, f)
}
