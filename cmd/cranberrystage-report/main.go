// Command cranberrystage-report reports how fast services use up the error
// budgets of their objectives, and draws a run from logs and metrics.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/reportcmd"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return reportcmd.Run(ctx, os.Args[1:], reportcmd.Env{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Now:    time.Now,
		Wait:   sleep.For,
	})
}
