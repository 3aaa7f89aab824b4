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

// drawing is one invocation of the command picture.
type drawing struct {
	Env
	logs    []string
	samples []string
	width   time.Duration
	out     string
}

func (d *drawing) declare(cmd *kingpin.CmdClause) {
	cmd.Flag("samples", "Sample file of metrics, or directory of them; may be repeated.").StringsVar(&d.samples)
	cmd.Flag("span", "Length of time that one bar stands for.").Default("1s").DurationVar(&d.width)
	cmd.Flag("out", "File to write instead of standard output.").StringVar(&d.out)
	cmd.Arg("log", "Log file of one proxy or of several.").Required().StringsVar(&d.logs)
}

func (d *drawing) run() error {
	if d.width <= 0 {
		return errors.New("span: must be more than 0")
	}
	var lines []logread.Line
	for _, name := range d.logs {
		more, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	r, err := runplot.Collect(lines, d.width)
	if err != nil {
		return err
	}
	h := &burn.History{}
	for _, name := range d.samples {
		if err := readFiles(h, name); err != nil {
			return err
		}
	}
	r.Measure(h)
	return writeTo(d.out, d.Stdout, func(w io.Writer) error { return r.WriteSVG(w) })
}

func readLog(name string) ([]logread.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }() // it was only read
	return logread.Read(name, f)
}
