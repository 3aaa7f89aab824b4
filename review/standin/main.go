//go:build review

// Command standin runs one case of the review: it plays the platform, the servers and
// the clients, starts the project's program and judges what they saw.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name.
var cases = map[string]func(*world) error{}

func main() {
	// The processes end with the thread that started them, which is this one.
	runtime.LockOSThread()
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD WORKDIR")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Args[4])
	if err == nil {
		err = play(w)
	}
	if w != nil {
		w.close()
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	}
	if len(w.broken) > 0 {
		for _, b := range w.broken {
			fmt.Println("BROKEN:", b)
		}
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}
