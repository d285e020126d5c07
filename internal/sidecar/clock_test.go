package sidecar

import "time"

// steadyClock is the clock of a machine that is never suspended.
type steadyClock struct{}

var clockStart = time.Now()

// Monotonic implements clock.Source.
func (steadyClock) Monotonic() time.Duration { return time.Since(clockStart) }

// Boot implements clock.Source.
func (steadyClock) Boot() time.Duration { return time.Since(clockStart) }
