package slots

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/ratelimit"
	. "github.com/onsi/gomega"
)

// outcomes maps the decisions to the ids that are sent and those that are refused, with reasons.
func outcomes(decisions []Decision) (sent []uint64, refused map[uint64]Reason) {
	refused = map[uint64]Reason{}
	for _, decision := range decisions {
		if decision.Send {
			sent = append(sent, decision.ID)
			continue
		}
		refused[decision.ID] = decision.Reason
	}
	return sent, refused
}

func TestRequestsWaitForTokensByImportance(t *testing.T) {
	g := NewWithT(t)
	gate := New(20)
	gate.SetRateLimit(0, 4)
	submit := func(id uint64, importance int) ([]uint64, map[uint64]Reason) {
		return outcomes(gate.Submit(0, Request{ID: id, Importance: importance, Deadline: time.Minute}))
	}
	for id := range uint64(2) {
		sent, refused := submit(id, 5)
		g.Expect(sent).To(BeEmpty())
		g.Expect(refused).To(BeEmpty())
	}
	_, refused := submit(2, 5)
	g.Expect(refused).To(HaveKeyWithValue(uint64(2), ReasonRateLimited), "its token would take longer than maxTokenWait")
	_, refused = submit(3, 1)
	g.Expect(refused).To(HaveKeyWithValue(uint64(1), ReasonRateLimited), "displaced by a more important one")
	sent, _ := outcomes(gate.Expire(260 * time.Millisecond))
	g.Expect(sent).To(Equal([]uint64{3}))
	sent, _ = outcomes(gate.Expire(510 * time.Millisecond))
	g.Expect(sent).To(Equal([]uint64{0}))
}

func TestNoRequestWaitsForATokenPastItsDeadline(t *testing.T) {
	g := NewWithT(t)
	gate := New(20)
	gate.SetRateLimit(0, 4)
	_, refused := outcomes(gate.Submit(0, Request{ID: 1, Deadline: 200 * time.Millisecond}))
	g.Expect(refused).To(HaveKeyWithValue(uint64(1), ReasonTooLong))
}

func TestLoadOfRateLimitedTarget(t *testing.T) {
	for _, tc := range []struct {
		name           string
		rate           float64
		at             time.Duration
		slots, running int
	}{
		{"no limit", ratelimit.Unlimited, 0, 19, 0},
		{"limit far above the demand", 10000, time.Second, 19, 0},
		{"limit of more requests than slots", 100, 500 * time.Millisecond, 19, 9},
		{"all tokens", 3.6, time.Second, 4, 0},
		{"some tokens", 3.6, 700 * time.Millisecond, 4, 1},
		{"part of a token", 3.6, 200 * time.Millisecond, 4, 4},
		{"a request in two seconds", 0.5, 2 * time.Second, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(20)
			gate.SetRateLimit(0, tc.rate)
			load := gate.Load(tc.at)
			g.Expect(load.Slots).To(Equal(tc.slots))
			g.Expect(load.Running).To(Equal(tc.running))
		})
	}
}

func TestLiftedLimitAdmitsWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	gate := New(20)
	gate.SetRateLimit(0, 4)
	gate.Submit(0, Request{ID: 1, Deadline: time.Minute})
	sent, _ := outcomes(gate.SetRateLimit(0, ratelimit.Unlimited))
	g.Expect(sent).To(Equal([]uint64{1}))
}

func TestProbationAdmitsFewRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(g *Gate) []Decision
	}{
		{"until the first response", func(g *Gate) []Decision { return g.SetRateLimit(0, ratelimit.Unlimited) }},
		{"until the target had time to respond", func(g *Gate) []Decision { return g.Expire(maxProbation) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(20)
			gate.StartProbation(0)
			total := 0
			for id := range uint64(10) {
				sent, refused := outcomes(gate.Submit(0, Request{ID: id, Deadline: time.Minute}))
				g.Expect(refused).To(BeEmpty())
				total += len(sent)
			}
			g.Expect(total).To(Equal(probationRequests))
			sent, _ := outcomes(tc.end(gate))
			g.Expect(sent).To(HaveLen(10 - probationRequests))
		})
	}
}
