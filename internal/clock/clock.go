// Package clock provides the clocks by which leases, grants and deadlines expire. While a machine
// is suspended, the monotonic clock used by Go stops, whereas CLOCK_BOOTTIME and the wall clock
// continue. Expiry that must hold in real time is measured with Boot.
package clock

import "time"

// Source reads two clocks, both relative to an arbitrary start. It is safe for concurrent use.
type Source interface {
	// Monotonic returns the elapsed time, excluding time during which the machine was suspended.
	Monotonic() time.Duration
	// Boot returns the elapsed time, including suspensions. It never decreases.
	Boot() time.Duration
}
