// Package reportcmd is the command line of the report on error budgets and of the
// picture of a run.
package reportcmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/burn"
	"github.com/cranberrystage/cranberrystage/internal/declare"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	// ExitOK means that the report or picture was written.
	ExitOK = 0
	// ExitFailed means that it could not be made or written.
	ExitFailed = 1
	// ExitUsage means invalid arguments.
	ExitUsage = 2
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// fetchTimeout is the timeout for reading the metrics of one proxy.
const fetchTimeout = 5 * time.Second

// Env holds the output streams, the clock and the timer that the commands use, so
// that tests can replace them.
type Env struct {
	// Stdout and Stderr are the standard streams.
	Stdout, Stderr io.Writer
	// Now returns the current time, which is recorded with a sample.
	Now func() time.Time
	// Wait returns after the duration, or with an error once the context is done.
	Wait func(context.Context, time.Duration) error
}

// burnCommand is one invocation of the command burn.
type burnCommand struct {
	Env
	declarations []string
	sources      []string
	options      burn.Options
	format       string
	out          string
	every        time.Duration
	samples      int
	saveTo       string
}

// Run parses args, writes the report or picture and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	c := &burnCommand{Env: env}
	app := kingpin.New("cranberrystage-report", "Reports how fast services use up their error budgets, and draws runs.")
	app.UsageWriter(env.Stderr).ErrorWriter(env.Stderr)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	c.declare(app.Command("burn", "Reports how fast services use up their error budgets.").Default())
	p := &pictureCommand{Env: env}
	picture := app.Command("picture", "Draws a run from logs and metrics as an SVG picture.")
	p.declare(picture)
	name, err := app.Parse(args)
	if terminated {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, "cranberrystage-report:", err)
		return ExitUsage
	}
	if name == picture.FullCommand() {
		err = p.run()
	} else {
		err = c.run(ctx)
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, err)
		return ExitFailed
	}
	return ExitOK
}

func (c *burnCommand) declare(app *kingpin.CmdClause) {
	app.Flag("declarations", "Directory of declarations with the objectives; may be repeated.").Required().StringsVar(&c.declarations)
	app.Flag("short", "Length of the short window.").Default("5m").DurationVar(&c.options.Short)
	app.Flag("long", "Length of the long window.").Default("1h").DurationVar(&c.options.Long)
	app.Flag("format", "Output: text, json or html.").Default(formatText).EnumVar(&c.format, formatText, formatJSON, formatHTML)
	app.Flag("out", "File to write instead of standard output.").StringVar(&c.out)
	app.Flag("every", "Interval between samples of each URL.").Default("10s").DurationVar(&c.every)
	app.Flag("samples", "Number of samples of each URL.").Default("2").IntVar(&c.samples)
	app.Flag("save", "Directory in which samples of URLs are saved as files; created if it doesn't exist.").StringVar(&c.saveTo)
	app.Arg("source", "URL of a proxy's metrics, sample file, or directory of sample files.").Required().StringsVar(&c.sources)
}

func (c *burnCommand) run(ctx context.Context) error {
	doc, err := declare.Load(c.declarations...)
	if err != nil {
		return err
	}
	h, err := c.collect(ctx)
	if err != nil {
		return err
	}
	r, err := burn.Make(h, doc, c.options)
	if err != nil {
		return err
	}
	return c.write(r)
}

func (c *burnCommand) collect(ctx context.Context) (*burn.History, error) {
	h := &burn.History{}
	var urls []string
	for _, s := range c.sources {
		if isURL(s) {
			urls = append(urls, s)
			continue
		}
		if err := readFiles(h, s); err != nil {
			return nil, err
		}
	}
	if len(urls) == 0 {
		return h, nil
	}
	p := poller{
		client: &http.Client{Timeout: fetchTimeout},
		now:    c.Now, wait: c.Wait, saveTo: c.saveTo, stderr: c.Stderr,
	}
	return h, p.poll(ctx, h, urls, c.every, c.samples)
}

func (c *burnCommand) write(r burn.Report) error {
	return writeTo(c.out, c.Stdout, func(w io.Writer) error { return c.encode(w, r) })
}

// writeTo calls encode with the file at path out, or with stdout if out is empty.
func writeTo(out string, stdout io.Writer, encode func(io.Writer) error) error {
	if out == "" {
		return encode(stdout)
	}
	f, err := os.Create(out)
	if err != nil {
		return errors.Wrap(err, "report file")
	}
	if err := encode(f); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "report file")
}

func (c *burnCommand) encode(w io.Writer, r burn.Report) error {
	switch c.format {
	case formatJSON:
		return r.WriteJSON(w)
	case formatHTML:
		return r.WriteHTML(w)
	default:
		return r.WriteText(w)
	}
}
