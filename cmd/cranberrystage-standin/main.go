// Command cranberrystage-standin emulates the platform and database servers for
// tests, the demonstration and measurements.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/standin/run"
)

func main() {
	app := kingpin.New("cranberrystage-standin", "Emulator of the platform and of database servers.")
	path := app.Arg("settings", "Settings file, JSON with comments.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, *path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, path string) error {
	s, err := run.Load(path)
	if err != nil {
		return err
	}
	return run.Serve(ctx, s, logging.New(os.Stderr, slog.LevelInfo))
}
