// Command cranberrystage-standin emulates the platform and database servers for
// tests, the demonstration and measurements.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/declare"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/standin/layout"
	"github.com/cranberrystage/cranberrystage/internal/standin/run"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

func main() {
	app := kingpin.New("cranberrystage-standin", "Emulates the platform and database servers.")
	serveCmd := app.Command("serve", "Run the emulators that a settings file describes.")
	path := serveCmd.Arg("settings", "Settings file, JSON with comments.").Required().ExistingFile()
	layoutCmd := app.Command("layout", "Write the settings files of a complete set-up on this machine.")
	out := layoutCmd.Flag("out", "Directory for the files.").Required().String()
	dcs := layoutCmd.Flag("data-centres", "Data centres, separated by commas; one proxy for each.").Default("ub-east,tunis,ub-east").String()
	level := layoutCmd.Flag("log-level", "Log level of the proxies.").Default("INFO").String()
	operator := layoutCmd.Flag("operator", "Operator who confirms plans.").Default("batbayar-demo").String()
	key := layoutCmd.Flag("key", "Key file of the operator.").Default("deploy/demo-keys/demo-operator-key.pem").String()
	offset := layoutCmd.Flag("port-offset", "Number added to every port.").Default("0").Int()
	dirs := layoutCmd.Arg("declarations", "Directories of declarations.").Required().ExistingDirs()

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case serveCmd.FullCommand():
		err = serve(*path)
	case layoutCmd.FullCommand():
		err = writeLayout(*dirs, *dcs, layout.Options{Directory: *out, LogLevel: *level, Operator: *operator, KeyFile: *key, PortOffset: *offset})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(path string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := run.Load(path)
	if err != nil {
		return err
	}
	return run.Serve(ctx, s, logging.New(os.Stderr, slog.LevelInfo))
}

func writeLayout(dirs []string, dataCentres string, o layout.Options) error {
	doc, err := declare.Load(dirs...)
	if err != nil {
		return err
	}
	for _, dc := range strings.Split(dataCentres, ",") {
		o.DataCentres = append(o.DataCentres, tables.DataCentreID(strings.TrimSpace(dc)))
	}
	return layout.Write(doc, o)
}
