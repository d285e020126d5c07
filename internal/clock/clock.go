// Package clock gives nodes the time by which rights, leases and deadlines run out. A machine
// may be suspended: the monotonic clock that Go reads stands still then, CLOCK_BOOTTIME and
// the time of day go on. What must not outlive real time is measured by Boot.
package clock

import "time"

// Source gives two readings of the time since a moment of its own. It is safe for concurrent
// use.
type Source interface {
	// Steady does not count the time for which the machine was suspended.
	Steady() time.Duration
	// Boot counts it. It never goes back.
	Boot() time.Duration
}
