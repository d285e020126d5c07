// Package roster tracks which target instance runs next to a node. Heartbeats may be late or come
// from an earlier or a new instance at the same address; an instance that has announced that it
// leaves is never ready again, and one that has left is never admitted again. The package uses no
// clocks or locks.
package roster

import "time"

// Report is a heartbeat of a target.
type Report struct {
	Instance        string // process incarnation of the target
	Service         string
	Address         string // IP:port
	Zone            string
	Version         string // of the target's software
	Slots           int
	Draining        bool
	Sequence        int64         // increases with each heartbeat of an instance
	WarmupRemaining time.Duration // remaining warm-up time
}

// Result is the outcome of a heartbeat.
type Result int

// Outcomes of a heartbeat.
const (
	// Unchanged means that other nodes have nothing to learn.
	Unchanged Result = iota + 1
	// Changed means that the target or its state is different.
	Changed
	// Stale means that the heartbeat was late and was ignored.
	Stale
	// Conflict means that another instance is registered: ask the target itself.
	Conflict
)

// Roster is the state of the target next to a node. It is not safe for concurrent use.
type Roster struct {
	current  Report
	leaving  instanceSet // have announced that they leave
	departed instanceSet // have left for good
}

// New returns an empty roster.
func New() *Roster { return &Roster{leaving: newInstanceSet(), departed: newInstanceSet()} }

// Current returns the latest report of the current target; its Instance is empty if there is none.
func (r *Roster) Current() Report { return r.current }

// HasDeparted reports whether an instance has left for good.
func (r *Roster) HasDeparted(instance string) bool { return r.departed.has(instance) }

// Vacated reports that the last target has left and no other has arrived.
func (r *Roster) Vacated() bool { return r.current.Instance == "" && !r.departed.empty() }

// Heartbeat applies a heartbeat and returns its outcome.
func (r *Roster) Heartbeat(report Report) Result {
	if r.departed.has(report.Instance) {
		return Stale
	}
	if report.Draining {
		r.leaving.add(report.Instance)
	}
	report.Draining = r.leaving.has(report.Instance)
	if r.current.Instance == "" {
		r.current = report
		return Changed
	}
	if r.current.Instance != report.Instance {
		return Conflict
	}
	return r.update(report)
}

func (r *Roster) update(report Report) Result {
	if report.Sequence <= r.current.Sequence && r.current.Sequence > 0 {
		if report.Draining && r.MarkLeaving(report.Instance) {
			return Changed // draining is final, whenever it arrives
		}
		return Stale
	}
	report.Draining = report.Draining || r.current.Draining
	changed := report.Draining != r.current.Draining || report.Slots != r.current.Slots || report.Service != r.current.Service
	r.current = report
	if changed {
		return Changed
	}
	return Unchanged
}

// MarkLeaving records that an instance has announced that it leaves, whether it is the current one or
// not, and reports whether the state of the current one changes.
func (r *Roster) MarkLeaving(instance string) bool {
	r.leaving.add(instance)
	if instance == "" || r.current.Instance != instance || r.current.Draining {
		return false
	}
	r.current.Draining = true
	return true
}

// Replace makes another instance the current one; the previous one has departed. It returns false and
// changes nothing if the instance has departed itself.
func (r *Roster) Replace(report Report) bool {
	if r.departed.has(report.Instance) {
		return false
	}
	report.Draining = report.Draining || r.leaving.has(report.Instance)
	if r.current.Instance == report.Instance {
		r.update(report)
		return true
	}
	r.departed.add(r.current.Instance)
	r.current = report
	return true
}

// Depart records that an instance has left for good and reports whether it was the current one.
func (r *Roster) Depart(instance string) bool {
	r.departed.add(instance)
	if r.current.Instance != instance {
		return false
	}
	r.current = Report{}
	return true
}
