package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the reading of a clock that goes on while the VM is suspended.
func bootTime() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// The clock exists on every Linux since 2.6.39; the steady clock only misses suspensions.
		return time.Since(processStart)
	}
	return time.Duration(reading.Nano())
}

var processStart = time.Now()
