// Package roster decides which target stands beside a node. Heartbeats come
// late, from targets that are gone, and from a new target on the same address;
// once a target said that it is leaving, nothing brings it back. It is a state
// machine without clocks or locks.
package roster

import "time"

// Report is one heartbeat of a target.
type Report struct {
	Instance string // one start of the target
	Service  string
	Address  string // IP:port
	Zone     string
	Version  string // of the target's software
	Slots    int
	Draining bool
	Sequence int64         // rises with each heartbeat of an instance
	Cold     time.Duration // how much longer it is slow
}

// Verdict says what a heartbeat changed.
type Verdict int

// The verdicts.
const (
	// Known means that nothing changed that others have to learn.
	Known Verdict = iota + 1
	// Changed means that the target beside the node, or its state, is another now.
	Changed
	// Stale means that the heartbeat came late and counts for nothing.
	Stale
	// Doubtful means that another instance holds the address: ask the target itself.
	Doubtful
)

// Roster is what a node knows of the target beside it. It is not safe for
// concurrent use.
type Roster struct {
	current Report
	gone    map[string]bool
	order   []string // of gone, oldest first
}

// maxGone bounds the memory of targets that are gone.
const maxGone = 256

// New makes an empty roster.
func New() *Roster { return &Roster{gone: map[string]bool{}} }

// Current gives the last report of the target beside the node; its Instance is
// empty when none is known.
func (r *Roster) Current() Report { return r.current }

// Gone tells whether an instance has left for good.
func (r *Roster) Gone(instance string) bool { return r.gone[instance] }

// Empty tells that a target was here and left, and that no other has come.
func (r *Roster) Empty() bool { return r.current.Instance == "" && len(r.gone) > 0 }

// Heartbeat takes in a report.
func (r *Roster) Heartbeat(report Report) Verdict {
	if r.gone[report.Instance] {
		return Stale
	}
	if r.current.Instance == "" {
		r.current = report
		return Changed
	}
	if r.current.Instance != report.Instance {
		return Doubtful
	}
	return r.advance(report)
}

func (r *Roster) advance(report Report) Verdict {
	if report.Sequence <= r.current.Sequence && r.current.Sequence > 0 {
		return Stale
	}
	report.Draining = report.Draining || r.current.Draining
	changed := report.Draining != r.current.Draining || report.Slots != r.current.Slots || report.Service != r.current.Service
	r.current = report
	if changed {
		return Changed
	}
	return Known
}

// Replace puts another instance in the place of the current one, which is gone.
func (r *Roster) Replace(report Report) {
	if r.current.Instance != "" && r.current.Instance != report.Instance {
		r.bury(r.current.Instance)
	}
	r.current = report
}

// Left notes that an instance has left for good. It gives true when it was the
// target beside the node.
func (r *Roster) Left(instance string) bool {
	r.bury(instance)
	if r.current.Instance != instance {
		return false
	}
	r.current = Report{}
	return true
}

func (r *Roster) bury(instance string) {
	if r.gone[instance] {
		return
	}
	r.gone[instance] = true
	r.order = append(r.order, instance)
	if len(r.order) > maxGone {
		delete(r.gone, r.order[0])
		r.order = r.order[1:]
	}
}
