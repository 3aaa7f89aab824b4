//go:build review2

// Command review-standin-2 plays the cases of the second review that are scripts: it is
// the platform, the servers and the clients, and starts the proxies as processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	name := flag.String("case", "", "number of the case")
	dir := flag.String("dir", ".", "folder of the case")
	binary := flag.String("binary", "target/cranberrystage-entry", "the proxy's program")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.Bool("keep", false, "keep the proxies' logs")
	flag.Parse()
	play, ok := map[string]func(*world, bool) ([]string, error){"7": refusedReset, "8": failedPreparation}[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitFailed)
	}
	w, err := newWorld(*binary, *dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	broken, err := play(w, *trouble)
	for _, b := range broken {
		w.note("BROKEN: %s", b)
	}
	w.note("broken %d times, error %v, after %s", len(broken), err, time.Since(w.began).Round(time.Second))
	w.close(*keep)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	case len(broken) > 0:
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		os.Exit(exitBroken)
	}
	fmt.Println("held")
}
