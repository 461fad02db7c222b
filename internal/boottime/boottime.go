// Package boottime reads the monotonic clock that keeps running while a VM is
// suspended. `ryecourse gateway` uses it.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including the time it was suspended.
// Changes of the wall clock don't affect it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has CLOCK_BOOTTIME since 2.6.39, so the call fails only on
		// unsupported systems.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
