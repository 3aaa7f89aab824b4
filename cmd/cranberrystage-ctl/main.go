// Command cranberrystage-ctl is the tool for operators: it validates declarations,
// makes and confirms plans, drains upstreams and VMs, and shows the state of the
// proxies.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/ctl"
	"github.com/cranberrystage/cranberrystage/platform/routes"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return ctl.Run(ctx, os.Args[1:], ctl.Env{
		Stdin:   os.Stdin,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Now:     time.Now,
		Random:  rand.Reader,
		Connect: ctl.ConnectPlatform,
		Status:  ctl.FetchStatus,

		CheckPlatform: routes.Check,
	})
}
