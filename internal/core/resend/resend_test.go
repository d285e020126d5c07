package resend

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/outcome"
	. "github.com/onsi/gomega"
)

// A target that declined a request may be asked again; it counts once against the most
// targets that the request may reach.
func TestTriedTargets(t *testing.T) {
	declined := End{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, Arrived: true}
	lost := End{Outcome: outcome.Unknown, Reason: outcome.ReasonLost, Arrived: true}
	unreached := End{Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable}
	full := End{Outcome: outcome.NotRun, Reason: "too_long"}
	type sending struct {
		node   string
		answer End
	}
	for _, tc := range []struct {
		name     string
		once     bool
		sendings []sending
		excluded []string
		only     []string // of two targets at most; nil: any
		goesOn   bool
	}{
		{"none yet", false, nil, nil, nil, true},
		{"declined once", false, []sending{{"a", declined}}, nil, nil, true},
		{"declined by two", false, []sending{{"a", declined}, {"b", declined}}, nil, []string{"a", "b"}, true},
		{"declined twice by one", false, []sending{{"a", declined}, {"a", declined}}, nil, nil, true},
		{"declined, then lost by another", false, []sending{{"a", declined}, {"b", lost}}, []string{"b"}, []string{"a"}, true},
		{"declined, then lost by the same", false, []sending{{"a", declined}, {"a", lost}}, []string{"a"}, nil, true},
		{"declined, mechanism off", true, []sending{{"a", declined}}, []string{"a"}, nil, true},
		{"not reached", false, []sending{{"a", unreached}}, []string{"a"}, nil, true},
		{"no room in three", false, []sending{{"a", full}, {"b", full}, {"c", full}}, []string{"a", "b", "c"}, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tried := New(tc.once)
			for _, one := range tc.sendings {
				tried.Add(one.node, one.answer)
			}
			g.Expect(keys(tried.Excluded())).To(ConsistOf(tc.excluded))
			g.Expect(keys(tried.Only(2))).To(ConsistOf(tc.only))
			g.Expect(tried.MayGoOn()).To(Equal(tc.goesOn))
		})
	}
}

func TestDeclinesEnd(t *testing.T) {
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

func TestWhetherARequestIsSentAgain(t *testing.T) {
	whole := Request{Replayable: true, Repeatable: true, MostTargets: 3}
	with := func(change func(r *Request)) Request {
		r := whole
		change(&r)
		return r
	}
	once := with(func(r *Request) { r.Repeatable = false })
	lost := End{Outcome: outcome.Unknown, Reason: outcome.ReasonLost, Arrived: true}
	ended := End{Outcome: outcome.Unknown, Reason: outcome.ReasonTargetEnded, Arrived: true}
	declined := End{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, Arrived: true}
	unreached := End{Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable}
	for _, tc := range []struct {
		name    string
		request Request
		before  []End
		last    End
		want    Verdict
	}{
		{"no target saw it", whole, nil, unreached, Again},
		{"no target saw it, may not run twice", once, nil, unreached, Again},
		{"its body is gone", with(func(r *Request) { r.Replayable = false }), nil, unreached, Stop},
		{"held back", whole, nil, End{Outcome: outcome.NotRun, Reason: outcome.ReasonEndsTargets}, Stop},
		{"answer lost", whole, nil, lost, FromBudget},
		{"answer lost, may not run twice", once, nil, lost, Stop},
		{"declined, may not run twice", once, nil, declined, FromBudget},
		{"a repeat already", with(func(r *Request) { r.Repeat = true }), nil, lost, Stop},
		{"repeats switched off", with(func(r *Request) { r.NoRepeats = true }), nil, lost, Stop},
		{"all targets reached", whole, []End{lost, lost}, lost, Stop},
		{"all targets reached, one declined", whole, []End{lost, lost}, declined, FromBudget},
		{"its target ended", whole, nil, ended, FromBudget},
		{"two targets ended", whole, []End{ended}, ended, Stop},
		{"two targets ended, holding back switched off", with(func(r *Request) { r.NoHoldBack = true }), []End{ended}, ended, FromBudget},
		{"its target ended at a trial", with(func(r *Request) { r.Trial = true }), nil, ended, Stop},
		{"answer lost at a trial", with(func(r *Request) { r.Trial = true }), nil, lost, FromBudget},
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
