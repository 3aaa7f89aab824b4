// Command cranberrystage-soak runs the randomized fault test with a range of
// seeds and prints the failed checks.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cranberrystage/cranberrystage/internal/soak"
)

func main() {
	if soak.RunTicker() {
		return
	}
	app := kingpin.New("cranberrystage-soak", "Runs proxies as processes under random faults and checks the consistency promises.")
	binary := app.Flag("proxy", "Path of the proxy's program.").Default("bin/cranberrystage-entry").String()
	first := app.Flag("seed", "First seed; 0 for a random one.").Default("0").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Uint64()
	faultTime := app.Flag("time", "Duration of the faults for each seed.").Default("20s").Duration()
	proxies := app.Flag("proxies", "Number of proxies.").Default("5").Int()
	writers := app.Flag("writers", "Number of writing callers.").Default("8").Int()
	rate := app.Flag("rate", "Limit of each team in operations per second; 0 for none.").Default("0").Float64()
	all := app.Flag("all", "Print faults, pauses and the last check also of runs without a failure.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "cranberrystage-soak: %v, try --help\n", err)
		os.Exit(2)
	}
	if *first == 0 {
		*first = uint64(rand.Uint32())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := false
	for seed := *first; seed < *first+*seeds && ctx.Err() == nil; seed++ {
		dir, err := soak.TemporaryDirectory()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		s := &soak.Soak{Binary: *binary, Directory: dir, Seed: seed, Proxies: *proxies, Writers: *writers, FaultDuration: *faultTime, Rate: *rate}
		if err := s.Run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Print(s.Report(*all))
		if len(s.Failures) > 0 {
			failed = true
			fmt.Printf("logs: %s\n", dir)
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	if failed {
		os.Exit(1)
	}
}
