package planlease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since boot, including time spent suspended. The monotonic part of
// time.Now stops while a virtual machine is suspended: a holder resumed after an hour would
// consider its lease valid and act concurrently with its successor.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every supported kernel (2.6.39 and later).
		panic(err)
	}
	return time.Duration(ts.Nano())
}
