// Package ctl is the operators' command line: it validates declarations, makes
// and confirms plans, drains upstreams and VMs, and shows the state of proxies.
package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/confcheck"
	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/pkg/errors"
)

const (
	defaultSettings = "cranberrystage-ctl.jsonc"
	settingsEnvar   = "CRANBERRYSTAGE_CTL_SETTINGS"
)

// Env holds what the commands use of the process and its environment. Tests
// replace it.
type Env struct {
	// Stdin, Stdout and Stderr are the standard streams.
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Now returns the current time, which is recorded with a confirm.
	Now func() time.Time
	// Random is a source of random bytes for keys and salts.
	Random io.Reader
	// Connect opens the store that the settings name.
	Connect func(settings.Control) (plan.Store, error)
	// CheckPlatform checks a configuration of the platform and, unless against is nil,
	// compares it with that version; an error means that one is not readable.
	CheckPlatform func(value, against []byte) (*confcheck.Report, error)
	// Status reads the status of the proxy at an admin address.
	Status func(ctx context.Context, address string) (statusapi.Status, error)
}

// command is one invocation: its environment, flags and arguments.
type command struct {
	Env
	settingsPath string
	json         bool
	dirs         []string
	planID       string
	kind         string
	id           string
	confirmNow   bool
	keyOut       string
	userName     string
	files        []string
	group        string
	against      string
	platform     bool
}

// Run parses args, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	c := &command{Env: env}
	app := kingpin.New("cranberrystage-ctl", "Operates cranberrystage through declarations, plans and confirms.")
	app.UsageWriter(env.Stderr).ErrorWriter(env.Stderr)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	app.Flag("settings", "Settings file of this command.").Envar(settingsEnvar).Default(defaultSettings).StringVar(&c.settingsPath)
	app.Flag("json", "Print JSON.").BoolVar(&c.json)
	actions := c.declare(app)

	name, err := app.Parse(args)
	if terminated {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, "cranberrystage-ctl:", err)
		return ExitUsage
	}
	if err := actions[name](ctx); err != nil {
		if !errors.Is(err, errFindings) {
			fmt.Fprintln(env.Stderr, describe(err))
		}
		return exitCode(err)
	}
	return ExitOK
}

// declare adds the commands to app and returns their actions by full name.
func (c *command) declare(app *kingpin.Application) map[string]func(context.Context) error {
	actions := make(map[string]func(context.Context) error)
	add := func(cmd *kingpin.CmdClause, action func(context.Context) error) *kingpin.CmdClause {
		actions[cmd.FullCommand()] = action
		return cmd
	}
	dirs := func(cmd *kingpin.CmdClause) {
		cmd.Arg("dir", "Directory of declaration files.").Required().StringsVar(&c.dirs)
	}
	subject := func(cmd *kingpin.CmdClause) *kingpin.CmdClause {
		cmd.Arg("kind", "What to drain: upstream or vm.").Required().EnumVar(&c.kind, kindUpstream, kindVM)
		cmd.Arg("id", "Id of the upstream or VM.").Required().StringVar(&c.id)
		cmd.Flag("confirm", "Confirm the plan at once.").BoolVar(&c.confirmNow)
		return cmd
	}
	dirs(add(app.Command("validate", "Check declarations."), c.validate))
	check := add(app.Command("check", "Check declarations, or the platform's configuration, and compare two versions."), c.check)
	check.Arg("file", "File or directory of declarations, or the platform's configuration.").Required().StringVar(&c.id)
	check.Flag("against", "The other version.").StringVar(&c.against)
	check.Flag("platform", "The files are the platform's configuration.").BoolVar(&c.platform)
	dirs(add(app.Command("plan", "Show and store what declarations would change."), c.plan))
	dirs(add(app.Command("diff", "Show the drift between declarations and the configuration in force."), c.diff))
	add(app.Command("confirm", "Put a plan in force."), c.confirm).
		Arg("plan", "Id of the plan.").Required().StringVar(&c.planID)
	add(app.Command("status", "Show proxies, groups and refusals."), c.status)
	add(app.Command("history", "List all versions that have been in force."), c.history)
	subject(add(app.Command("drain", "Make a plan after which an upstream or VM receives no new work."), c.drain))
	subject(add(app.Command("undrain", "Make a plan after which an upstream or VM receives work again."), c.undrain))
	story := add(app.Command("story", "Print the log lines of one request, and those of its database group from shortly before."), c.story)
	story.Arg("request", "Id of the request.").Required().StringVar(&c.id)
	story.Arg("log", "Log files; standard input if none is given.").ExistingFilesVar(&c.files)
	timeline := add(app.Command("timeline", "Print the log lines about changes of primaries, configurations, servers and access to the store."), c.timeline)
	timeline.Flag("group", "Only this database group.").StringVar(&c.group)
	timeline.Arg("log", "Log files; standard input if none is given.").ExistingFilesVar(&c.files)
	key := app.Command("key", "Operators' keys.")
	add(key.Command("new", "Make a key pair."), c.keyNew).
		Flag("out", "New file for the private key.").Required().StringVar(&c.keyOut)
	add(app.Command("user", "Make the verifier of a caller's password, which is read from standard input."), c.user).
		Arg("name", "User name.").Required().StringVar(&c.userName)
	return actions
}

// connect reads the settings and opens the store.
func (c *command) connect() (settings.Control, plan.Store, error) {
	s, err := settings.LoadControl(c.settingsPath)
	if err != nil {
		return settings.Control{}, plan.Store{}, usageError{err}
	}
	store, err := c.Connect(s)
	return s, store, err
}
