package outcome

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/slots"
	. "github.com/onsi/gomega"
)

func TestClassifyTargetResponse(t *testing.T) {
	for _, tc := range []struct {
		name     string
		response TargetResponse
		outcome  Outcome
		reason   Reason
	}{
		{"signed success", TargetResponse{Status: 200, Signed: true}, Answered, ReasonNone},
		{"signed error", TargetResponse{Status: 500, Signed: true}, Answered, ReasonNone},
		{"unsigned error", TargetResponse{Status: 503}, Answered, ReasonNone},
		{"unsigned success", TargetResponse{Status: 200}, Unknown, ReasonInvalidResponse},
		{"unsigned redirect", TargetResponse{Status: 302}, Unknown, ReasonInvalidResponse},
		{"encoded body", TargetResponse{Status: 200, Signed: true, Encoded: true}, Unknown, ReasonInvalidResponse},
		{"encoded body of an error", TargetResponse{Status: 500, Encoded: true}, Unknown, ReasonInvalidResponse},
		{"declined", TargetResponse{Status: 503, NotRun: true}, NotRun, ReasonTargetShed},
		{"signed and declined", TargetResponse{Status: 200, NotRun: true, Signed: true}, NotRun, ReasonTargetShed},
		{"misdirected", TargetResponse{Status: 421}, NotRun, ReasonMisdirected},
		{"misdirected and declined", TargetResponse{Status: 421, NotRun: true}, NotRun, ReasonMisdirected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			outcome, reason := tc.response.Classify()
			g.Expect(outcome).To(Equal(tc.outcome))
			g.Expect(reason).To(Equal(tc.reason))
		})
	}
}

func TestFinalStatusOfUnansweredRequest(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		mayHaveRun, timedOut bool
		status               int
		reason               Reason
	}{
		{"not run", false, false, 503, ReasonLost},
		{"not run, timed out", false, true, 503, ReasonLost},
		{"may have run, timed out", true, true, 504, ReasonTimeout},
		{"may have run", true, false, 502, ReasonLost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			status, reason := FinalStatus(tc.mayHaveRun, tc.timedOut, ReasonLost)
			g.Expect(status).To(Equal(tc.status))
			g.Expect(reason).To(Equal(tc.reason))
		})
	}
}

func TestReasonPredicates(t *testing.T) {
	draining := Reason(slots.ReasonDraining)
	for _, tc := range []struct {
		outcome                                     Outcome
		reason                                      Reason
		wasted, declined, silent, takesNoWork, full bool
	}{
		{outcome: Answered, reason: ReasonNone},
		{outcome: Unknown, reason: ReasonLost, wasted: true},
		{outcome: Unknown, reason: ReasonTargetEnded, wasted: true},
		{outcome: Unknown, reason: ReasonInvalidResponse, wasted: true},
		{outcome: NotRun, reason: ReasonLost},
		{outcome: Unknown, reason: ReasonTimeout},
		{outcome: Unknown, reason: ReasonCancelled},
		{outcome: NotRun, reason: ReasonUnreachable, silent: true},
		{outcome: Unknown, reason: ReasonSilent, silent: true},
		{outcome: NotRun, reason: draining, takesNoWork: true},
		{outcome: NotRun, reason: ReasonNoTarget, takesNoWork: true},
		{outcome: NotRun, reason: ReasonWrongService, takesNoWork: true},
		{outcome: NotRun, reason: ReasonStopping, takesNoWork: true},
		{outcome: NotRun, reason: ReasonNodeRestarted, takesNoWork: true},
		{outcome: NotRun, reason: ReasonMisdirected, takesNoWork: true},
		{outcome: NotRun, reason: ReasonTargetShed, declined: true},
		{outcome: NotRun, reason: Reason(slots.ReasonFull), full: true},
		{outcome: NotRun, reason: Reason(slots.ReasonTooLong), full: true},
		{outcome: NotRun, reason: Reason(slots.ReasonExpired), full: true},
		{outcome: NotRun, reason: ReasonSuspectWaits, full: true},
		{outcome: NotRun, reason: ReasonRateLimited, full: true},
	} {
		t.Run(string(tc.outcome)+" "+string(tc.reason), func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(ResponseLost(tc.outcome, tc.reason)).To(Equal(tc.wasted))
			g.Expect(tc.reason.Declined()).To(Equal(tc.declined))
			g.Expect(tc.reason.NodeUnreachable()).To(Equal(tc.silent))
			g.Expect(tc.reason.TargetUnavailable()).To(Equal(tc.takesNoWork))
			g.Expect(tc.reason.NoCapacity()).To(Equal(tc.full))
		})
	}
}
