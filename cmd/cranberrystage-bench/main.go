// Command cranberrystage-bench generates load on proxies through an ordinary
// PostgreSQL driver, checks that the responses keep the consistency promises and
// measures what a proxy costs.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberrystage/cranberrystage/internal/benchcmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := benchcmd.Run(ctx, os.Args[1:], os.Stdout, os.Stderr); err != nil {
		slog.New(slog.NewTextHandler(os.Stderr, nil)).Error("bench: Run failed.", "error", err.Error())
		os.Exit(1)
	}
}
