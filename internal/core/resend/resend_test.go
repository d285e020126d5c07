package resend

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/outcome"
	. "github.com/onsi/gomega"
)

// A target that declined a request may be used again. It counts once towards the maximum number
// of targets.
func TestTargetsLeftAfterAttempts(t *testing.T) {
	declined := End{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, Arrived: true}
	lost := End{Outcome: outcome.Unknown, Reason: outcome.ReasonLost, Arrived: true}
	unreached := End{Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable}
	noCapacity := End{Outcome: outcome.NotRun, Reason: "too_long"}
	type attempt struct {
		node string
		end  End
	}
	for _, tc := range []struct {
		name        string
		noReuse     bool
		attempts    []attempt
		excluded    []string
		allowed     []string // with a maximum of two targets; nil: any
		canContinue bool
	}{
		{"no attempt", false, nil, nil, nil, true},
		{"declined once", false, []attempt{{"a", declined}}, nil, nil, true},
		{"declined by two", false, []attempt{{"a", declined}, {"b", declined}}, nil, []string{"a", "b"}, true},
		{"declined twice by one", false, []attempt{{"a", declined}, {"a", declined}}, nil, nil, true},
		{"declined, then lost by another", false, []attempt{{"a", declined}, {"b", lost}}, []string{"b"}, []string{"a"}, true},
		{"declined, then lost by the same", false, []attempt{{"a", declined}, {"a", lost}}, []string{"a"}, nil, true},
		{"declined, mechanism off", true, []attempt{{"a", declined}}, []string{"a"}, nil, true},
		{"unreachable", false, []attempt{{"a", unreached}}, []string{"a"}, nil, true},
		{"no capacity at three", false, []attempt{{"a", noCapacity}, {"b", noCapacity}, {"c", noCapacity}}, []string{"a", "b", "c"}, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tried := New(tc.noReuse)
			for _, one := range tc.attempts {
				tried.Add(one.node, one.end)
			}
			g.Expect(keys(tried.Excluded())).To(ConsistOf(tc.excluded))
			g.Expect(keys(tried.Only(2))).To(ConsistOf(tc.allowed))
			g.Expect(tried.MayGoOn()).To(Equal(tc.canContinue))
		})
	}
}

func TestDeclinedAttemptsAreBounded(t *testing.T) {
	g := NewWithT(t)
	tried := New(false)
	for range maxDeclines {
		g.Expect(tried.MayGoOn()).To(BeTrue())
		tried.Add("a", End{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, Arrived: true})
	}
	g.Expect(tried.MayGoOn()).To(BeFalse())
}

func keys(set map[string]bool) (names []string) {
	for name := range set {
		names = append(names, name)
	}
	return names
}

func TestDecide(t *testing.T) {
	idempotent := Request{Replayable: true, Repeatable: true, MostTargets: 3}
	with := func(change func(r *Request)) Request {
		r := idempotent
		change(&r)
		return r
	}
	nonIdempotent := with(func(r *Request) { r.Repeatable = false })
	lost := End{Outcome: outcome.Unknown, Reason: outcome.ReasonLost, Arrived: true}
	crashed := End{Outcome: outcome.Unknown, Reason: outcome.ReasonTargetEnded, Arrived: true}
	declined := End{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, Arrived: true}
	unreached := End{Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable}
	for _, tc := range []struct {
		name    string
		request Request
		before  []End
		last    End
		want    Decision
	}{
		{"no target reached", idempotent, nil, unreached, Again},
		{"no target reached, not idempotent", nonIdempotent, nil, unreached, Again},
		{"body not replayable", with(func(r *Request) { r.Replayable = false }), nil, unreached, GiveUp},
		{"quarantined", idempotent, nil, End{Outcome: outcome.NotRun, Reason: outcome.ReasonEndsTargets}, GiveUp},
		{"response lost", idempotent, nil, lost, FromBudget},
		{"response lost, not idempotent", nonIdempotent, nil, lost, GiveUp},
		{"declined, not idempotent", nonIdempotent, nil, declined, FromBudget},
		{"already a retry", with(func(r *Request) { r.Repeat = true }), nil, lost, GiveUp},
		{"retries disabled", with(func(r *Request) { r.NoRepeats = true }), nil, lost, GiveUp},
		{"all targets reached", idempotent, []End{lost, lost}, lost, GiveUp},
		{"all targets reached, one declined", idempotent, []End{lost, lost}, declined, FromBudget},
		{"target crashed", idempotent, nil, crashed, FromBudget},
		{"two targets crashed", idempotent, []End{crashed}, crashed, GiveUp},
		{"two targets crashed, quarantine disabled", with(func(r *Request) { r.NoHoldBack = true }), []End{crashed}, crashed, FromBudget},
		{"target crashed during a probe", with(func(r *Request) { r.Trial = true }), nil, crashed, GiveUp},
		{"response lost during a probe", with(func(r *Request) { r.Trial = true }), nil, lost, FromBudget},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tried := New(false)
			for index, end := range append(tc.before, tc.last) {
				tried.Add(string(rune('a'+index)), end)
			}
			g.Expect(tried.Decide(tc.last, tc.request)).To(Equal(tc.want))
		})
	}
}
