// Package boottime reads a steady clock that also counts the time for which
// the machine was suspended, so that a lease ends while its holder sleeps.
package boottime

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, suspensions included.
func Now() tables.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; without it no lease can be kept.
		panic("boottime: " + err.Error())
	}
	return tables.Time(time.Duration(ts.Nano()))
}
