package emulator

import (
	"strings"
)

// Mechanisms selects the features of landingmast that are enabled, for ablation
// runs.
type Mechanisms struct {
	Limit     bool // concurrency limit and priority queue in front of each target
	Cursor    bool // admission by rank
	Feedback  bool // cursors are propagated upstream with answers
	Credits   bool // retry budget for the whole call chain; otherwise baselineRetries per hop
	Outlier   bool // ejection of failing targets
	Cancel    bool // cancellation is propagated downstream
	Preempt   bool // running bulk requests can be preempted
	Deadlines bool // downstream calls inherit the deadline
	UserOrder bool // all hops shed requests of the same users first
}

// Landingmast returns all mechanisms enabled.
func Landingmast() Mechanisms {
	return Mechanisms{Limit: true, Cursor: true, Feedback: true, Credits: true, Outlier: true, Cancel: true, Preempt: true, Deadlines: true, UserOrder: true}
}

// Baseline returns all mechanisms disabled: round-robin balancing with
// baselineRetries per hop.
func Baseline() Mechanisms { return Mechanisms{} }

// Variant is a named set of mechanisms.
type Variant struct {
	Name       string
	Mechanisms Mechanisms
}

// Variants returns landingmast, the baseline, and landingmast with single
// mechanisms disabled.
func Variants() []Variant {
	without := func(name string, change func(*Mechanisms)) Variant {
		mechanisms := Landingmast()
		change(&mechanisms)
		return Variant{"without " + name, mechanisms}
	}
	return []Variant{
		{"landingmast", Landingmast()},
		{"baseline", Baseline()},
		without("limit", func(m *Mechanisms) { m.Limit = false }),
		without("cursor", func(m *Mechanisms) { m.Cursor, m.Feedback = false, false }),
		without("feedback", func(m *Mechanisms) { m.Feedback = false }),
		without("credits", func(m *Mechanisms) { m.Credits = false }),
		without("outlier", func(m *Mechanisms) { m.Outlier = false }),
		without("cancel", func(m *Mechanisms) { m.Cancel = false }),
		without("preempt", func(m *Mechanisms) { m.Preempt = false }),
		without("user order", func(m *Mechanisms) { m.UserOrder = false }),
	}
}

// isBaseline reports whether all mechanisms are disabled.
func (m Mechanisms) isBaseline() bool { return m == Mechanisms{} }

// VariantNamed returns the variant with a name, ignoring case.
func VariantNamed(name string) (Variant, bool) {
	for _, variant := range Variants() {
		if strings.EqualFold(variant.Name, name) {
			return variant, true
		}
	}
	return Variant{}, false
}
