// Package reportcmd is the command line of the service-level burn report.
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
	// ExitOK means that the report was written.
	ExitOK = 0
	// ExitFailed means that it could not be made.
	ExitFailed = 1
	// ExitUsage means wrong arguments.
	ExitUsage = 2
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// fetchTimeout bounds reading the metrics of one proxy.
const fetchTimeout = 5 * time.Second

// Env is what the command uses of its surroundings.
type Env struct {
	// Stdout and Stderr are the standard streams.
	Stdout, Stderr io.Writer
	// Now returns the wall time of a sample.
	Now func() time.Time
	// Wait returns after the duration or when the context ends.
	Wait func(context.Context, time.Duration) error
}

// command is one invocation.
type command struct {
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

// Run parses args, writes the report and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	c := &command{Env: env}
	app := kingpin.New("cranberrystage-report", "Reports how fast services use up their error budgets, and draws runs.")
	app.UsageWriter(env.Stderr).ErrorWriter(env.Stderr)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	c.declare(app.Command("burn", "How fast services use up their error budgets.").Default())
	p := &drawing{Env: env}
	draw := app.Command("picture", "Draws a run from logs and metrics as an SVG picture.")
	p.declare(draw)
	chosen, err := app.Parse(args)
	if terminated {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, "cranberrystage-report:", err)
		return ExitUsage
	}
	if chosen == draw.FullCommand() {
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

func (c *command) declare(app *kingpin.CmdClause) {
	app.Flag("declarations", "Directory of declarations with the objectives; may be repeated.").Required().StringsVar(&c.declarations)
	app.Flag("short", "Length of the short window.").Default("5m").DurationVar(&c.options.Short)
	app.Flag("long", "Length of the long window.").Default("1h").DurationVar(&c.options.Long)
	app.Flag("format", "Output: text, json or html.").Default(formatText).EnumVar(&c.format, formatText, formatJSON, formatHTML)
	app.Flag("out", "File to write instead of standard output.").StringVar(&c.out)
	app.Flag("every", "Time between two samples of a URL.").Default("10s").DurationVar(&c.every)
	app.Flag("samples", "Number of samples of each URL.").Default("2").IntVar(&c.samples)
	app.Flag("save", "Directory in which to keep the samples of URLs as files; made if it doesn't exist.").StringVar(&c.saveTo)
	app.Arg("source", "URL of a proxy's metrics, sample file, or directory of sample files.").Required().StringsVar(&c.sources)
}

func (c *command) run(ctx context.Context) error {
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

func (c *command) collect(ctx context.Context) (*burn.History, error) {
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

func (c *command) write(r burn.Report) error {
	return writeTo(c.out, c.Stdout, func(w io.Writer) error { return c.encode(w, r) })
}

// writeTo lets encode write to the file called out, or to stdout if it is "".
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

func (c *command) encode(w io.Writer, r burn.Report) error {
	switch c.format {
	case formatJSON:
		return r.WriteJSON(w)
	case formatHTML:
		return r.WriteHTML(w)
	default:
		return r.WriteText(w)
	}
}
