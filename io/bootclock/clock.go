package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"tarragonwalk/core/fault"
)

// Now returns the time since the start of the machine as a time after the Unix epoch; it is comparable with other results of Now only.
// Go's monotonic clock stands still while the machine is suspended, and its wall clock may be stepped. This one does neither.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Check has succeeded at the start. Any time that is returned here could make old state look new.
		panic(fault.Wrap(err, fault.CodeInternal, "cannot read the boot clock"))
	}

	return time.Unix(t.Unix())
}

// Check returns why the clock cannot be read, nil if it can.
func Check() error {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return fault.Wrap(err, fault.CodeUnavailable, "this system has no boot clock")
	}

	return nil
}
