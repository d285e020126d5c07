package retry

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/outcome"
	. "github.com/onsi/gomega"
)

// A target that declined a request may be used again. It counts once towards the maximum number
// of targets.
func TestTargetsLeftAfterAttempts(t *testing.T) {
	declined := Result{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, ReachedTarget: true}
	lost := Result{Outcome: outcome.Unknown, Reason: outcome.ReasonLost, ReachedTarget: true}
	unreached := Result{Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable}
	noCapacity := Result{Outcome: outcome.NotRun, Reason: "too_long"}
	type attempt struct {
		node string
		end  Result
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
			g.Expect(keys(tried.AllowedTargets(2))).To(ConsistOf(tc.allowed))
			g.Expect(tried.CanContinue()).To(Equal(tc.canContinue))
		})
	}
}

func TestDeclinedAttemptsAreBounded(t *testing.T) {
	g := NewWithT(t)
	tried := New(false)
	for range maxDeclines {
		g.Expect(tried.CanContinue()).To(BeTrue())
		tried.Add("a", Result{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, ReachedTarget: true})
	}
	g.Expect(tried.CanContinue()).To(BeFalse())
}

func keys(set map[string]bool) (names []string) {
	for name := range set {
		names = append(names, name)
	}
	return names
}

func TestDecide(t *testing.T) {
	idempotent := Request{Replayable: true, Idempotent: true, MaxTargets: 3}
	with := func(change func(r *Request)) Request {
		r := idempotent
		change(&r)
		return r
	}
	nonIdempotent := with(func(r *Request) { r.Idempotent = false })
	lost := Result{Outcome: outcome.Unknown, Reason: outcome.ReasonLost, ReachedTarget: true}
	crashed := Result{Outcome: outcome.Unknown, Reason: outcome.ReasonTargetEnded, ReachedTarget: true}
	declined := Result{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, ReachedTarget: true}
	unreached := Result{Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable}
	for _, tc := range []struct {
		name    string
		request Request
		before  []Result
		last    Result
		want    Decision
	}{
		{"no target reached", idempotent, nil, unreached, RetryTransparent},
		{"no target reached, not idempotent", nonIdempotent, nil, unreached, RetryTransparent},
		{"body not replayable", with(func(r *Request) { r.Replayable = false }), nil, unreached, GiveUp},
		{"quarantined", idempotent, nil, Result{Outcome: outcome.NotRun, Reason: outcome.ReasonEndsTargets}, GiveUp},
		{"response lost", idempotent, nil, lost, RetryFromBudget},
		{"response lost, not idempotent", nonIdempotent, nil, lost, GiveUp},
		{"declined, not idempotent", nonIdempotent, nil, declined, RetryFromBudget},
		{"already a retry", with(func(r *Request) { r.IsRetry = true }), nil, lost, GiveUp},
		{"retries disabled", with(func(r *Request) { r.NoRetries = true }), nil, lost, GiveUp},
		{"all targets reached", idempotent, []Result{lost, lost}, lost, GiveUp},
		{"all targets reached, one declined", idempotent, []Result{lost, lost}, declined, RetryFromBudget},
		{"target crashed", idempotent, nil, crashed, RetryFromBudget},
		{"two targets crashed", idempotent, []Result{crashed}, crashed, GiveUp},
		{"two targets crashed, quarantine disabled", with(func(r *Request) { r.NoQuarantine = true }), []Result{crashed}, crashed, RetryFromBudget},
		{"target crashed during a probe", with(func(r *Request) { r.Trial = true }), nil, crashed, GiveUp},
		{"response lost during a probe", with(func(r *Request) { r.Trial = true }), nil, lost, RetryFromBudget},
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
