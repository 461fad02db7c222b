// Package boottime reads the clock that goes on while a VM is suspended.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM started, suspensions included. Changes of
// the time of day don't affect it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, so the call fails only on
		// systems that the product doesn't run on.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
