package emulator

import (
	"strings"
)

// Mechanisms are the parts of landingmast that can be switched off to measure
// what each brings.
type Mechanisms struct {
	Limit     bool // concurrency limit and queue ordered by importance before each target
	Cursor    bool // refusal by rank
	Feedback  bool // cursors travel back with answers
	Credits   bool // retries bounded over the chain; without: three at each hop
	Outlier   bool // ejection of failing targets
	Cancel    bool // useless work is cancelled down the chain
	Preempt   bool // running bulk work gives way
	Deadlines bool // expired work is dropped
	UserOrder bool // the same users' requests are shed at every hop
}

// Landingmast is everything on.
func Landingmast() Mechanisms {
	return Mechanisms{Limit: true, Cursor: true, Feedback: true, Credits: true, Outlier: true, Cancel: true, Preempt: true, Deadlines: true, UserOrder: true}
}

// Baseline forwards round-robin with three retries at each hop.
func Baseline() Mechanisms { return Mechanisms{} }

// Variant is a named choice of mechanisms.
type Variant struct {
	Name       string
	Mechanisms Mechanisms
}

// Variants are landingmast, the baseline, and landingmast without each mechanism.
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

// isBaseline tells whether nothing is on.
func (m Mechanisms) isBaseline() bool { return m == Mechanisms{} }

// VariantNamed gives the variant of that name.
func VariantNamed(name string) (Variant, bool) {
	for _, variant := range Variants() {
		if strings.EqualFold(variant.Name, name) {
			return variant, true
		}
	}
	return Variant{}, false
}
