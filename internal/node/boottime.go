package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the reading of CLOCK_BOOTTIME, which keeps counting while the VM is suspended.
func bootTime() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// Every Linux since 2.6.39 has this clock. The fallback differs only in that it doesn't count suspensions.
		return time.Since(processStart)
	}
	return time.Duration(reading.Nano())
}

var processStart = time.Now()
