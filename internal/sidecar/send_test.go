package sidecar

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/reply"

	. "github.com/onsi/gomega"
)

// A target that declined a request may be asked again; it counts once against the most
// targets that the request may reach.
func TestTriedTargets(t *testing.T) {
	declined := &reply.Reply{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, Arrived: true}
	lost := &reply.Reply{Outcome: outcome.Unknown, Reason: outcome.ReasonLost, Arrived: true}
	unreached := &reply.Reply{Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable}
	full := &reply.Reply{Outcome: outcome.NotRun, Reason: "too_long"}
	type sending struct {
		node   string
		answer *reply.Reply
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
			tried := &triedTargets{excluded: map[string]bool{}, once: tc.once}
			for _, one := range tc.sendings {
				tried.add(one.node, one.answer)
			}
			g.Expect(keys(tried.excluded)).To(ConsistOf(tc.excluded))
			g.Expect(keys(tried.only(2))).To(ConsistOf(tc.only))
			g.Expect(tried.mayGoOn()).To(Equal(tc.goesOn))
		})
	}
}

func TestDeclinesEnd(t *testing.T) {
	g := NewWithT(t)
	tried := &triedTargets{excluded: map[string]bool{}}
	for range maxDeclines {
		g.Expect(tried.mayGoOn()).To(BeTrue())
		tried.add("a", &reply.Reply{Outcome: outcome.NotRun, Reason: outcome.ReasonTargetShed, Arrived: true})
	}
	g.Expect(tried.mayGoOn()).To(BeFalse())
}

func keys(set map[string]bool) (names []string) {
	for name := range set {
		names = append(names, name)
	}
	return names
}
