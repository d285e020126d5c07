package clock

import "time"

// System reads the clocks of the machine.
type System struct{ started time.Time }

// NewSystem makes a source that begins now.
func NewSystem() *System { return &System{started: time.Now()} }

// Steady implements Source.
func (s *System) Steady() time.Duration { return time.Since(s.started) }

// Boot implements Source.
func (s *System) Boot() time.Duration { return time.Since(s.started) }
