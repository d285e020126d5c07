package clock

import (
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"golang.org/x/sys/unix"
)

// Limits of how often CLOCK_BOOTTIME is read. It is a system call, unlike the other clocks.
const (
	// bootReadInterval bounds how long a suspension goes undetected if a simultaneous step of the
	// wall clock cancels it out.
	bootReadInterval = 100 * time.Millisecond
	// driftThreshold is the change of the offset between wall clock and steady clock that triggers
	// a reading. An NTP client slews the wall clock by at most 0.5 ms per second.
	driftThreshold = 5 * time.Millisecond
)

// System is a Source that reads the clocks of the machine. A suspension appears as a jump of the
// wall clock relative to the steady clock, both of which time.Now returns. CLOCK_BOOTTIME
// distinguishes it from a step of the wall clock.
type System struct {
	started time.Time
	boot    int64 // CLOCK_BOOTTIME at started, in ns

	suspended atomic.Int64 // total time of suspensions, in ns
	drift     atomic.Int64 // wall clock minus steady clock at the last reading of CLOCK_BOOTTIME, in ns
	readAt    atomic.Int64 // steady clock at that reading, in ns
}

// NewSystem returns a source that starts now. It fails if CLOCK_BOOTTIME is unavailable, since
// leases could then not be expired correctly after a suspension.
func NewSystem() (*System, error) {
	boot, err := bootTime()
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "run on Linux 2.6.39 or later and allow the clock_gettime system call", "cannot read CLOCK_BOOTTIME")
	}
	s := &System{started: time.Now(), boot: boot}
	s.drift.Store(s.started.UnixNano())
	return s, nil
}

func bootTime() (int64, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return ts.Nano(), nil
}

// Monotonic implements Source.
func (s *System) Monotonic() time.Duration { return time.Since(s.started) }

// Boot implements Source. It reads CLOCK_BOOTTIME only if the drift changed or the last reading is
// too old.
func (s *System) Boot() time.Duration {
	now := time.Now()
	steady := now.Sub(s.started)
	drift := now.UnixNano() - int64(steady)
	if change := time.Duration(drift - s.drift.Load()); change > driftThreshold || change < -driftThreshold || int64(steady)-s.readAt.Load() > int64(bootReadInterval) {
		s.updateSuspended(drift)
	}
	return steady + time.Duration(s.suspended.Load())
}

// updateSuspended updates the total time of suspensions. The total only grows, so that Boot never
// decreases, and increases below driftThreshold are ignored as the delay between the readings. If
// the process was preempted between them, they are discarded and the next call reads again.
func (s *System) updateSuspended(drift int64) {
	before := time.Since(s.started)
	boot, err := bootTime()
	if err != nil || time.Since(s.started)-before > driftThreshold {
		return // the next call retries; the clock could be read in NewSystem
	}
	s.drift.Store(drift)
	s.readAt.Store(int64(before))
	for total := boot - s.boot - int64(before); ; {
		known := s.suspended.Load()
		if total < known+int64(driftThreshold) || s.suspended.CompareAndSwap(known, total) {
			return
		}
	}
}
