// Command cranberrystage-proxy is the database proxy that runs on each entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/logging"
	"github.com/cranberrystage/cranberrystage/internal/proxy"
	"github.com/cranberrystage/cranberrystage/internal/settings"
)

// Exit codes.
const (
	// exitFailed means that the proxy could not start or failed while running.
	exitFailed = 1
	// exitSettings means invalid arguments or settings.
	exitSettings = 2
)

func main() {
	app := kingpin.New("cranberrystage-proxy", "Database proxy with session consistency.")
	path := app.Arg("settings", "Settings file, JSON with comments.").Required().ExistingFile()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "cranberrystage-proxy: %v, try --help\n", err)
		os.Exit(exitSettings)
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if *check {
		return
	}
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func serve(s settings.Proxy) error {
	log := logging.New(os.Stderr, s.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	platform, err := proxy.ConnectPlatform(s)
	if err != nil {
		return err
	}
	p, err := proxy.New(s, platform, log)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
