package services

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/overload"
	"github.com/landingmast/landingmast/internal/core/retrybudget"
	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	. "github.com/onsi/gomega"
)

// chain is a node's view of a route whose requests reach downstream services.
type chain struct {
	*Services
	needs *overload.Controller
}

func newChain(allowance float64, first bool, members int) chain {
	c := chain{needs: overload.New(overload.DefaultConfig())}
	now := func() time.Duration { return 0 }
	c.Services = New(Options{
		Node: "me", Zone: "a", Now: now, Budget: retrybudget.Config{Ratio: 0.2, Allowance: allowance, Window: 10 * time.Second}, FirstStart: first,
	})
	if members > 0 {
		c.SetNodeCount(members)
	}
	return c
}

func (c chain) recordNeeds(needs ...overload.Need) { c.needs.ObserveCalls(0, "read", needs, true) }

func (c chain) recordRequest() float64 {
	return c.RecordRequest("front", 1, func(f func(name string, calls float64)) { c.needs.ForEachService("read", f) })
}

func (c chain) takeRetry() bool { return c.TakeRetry("front", c.needs.MeanCalls("read"), 0, false) }

// Guards against denied retries at the node where a call chain starts: it calls the downstream
// services only indirectly, and must still earn retry budget there.
func TestEntryNodeBudgetsDownstreamRetries(t *testing.T) {
	g := NewWithT(t)
	c := newChain(1, true, 1)
	c.recordNeeds(overload.Need{Service: "front", Calls: 1}, overload.Need{Service: "deep", Calls: 4})
	count := func() (left float64) {
		for range 100 {
			left = c.recordRequest()
		}
		return left
	}
	retries := func() (count int) {
		for c.takeRetry() {
			count++
		}
		return count
	}
	g.Expect(count()).To(BeNumerically("~", 0.9, 1e-9))
	g.Expect(retries()).To(Equal(2)) // (0.2 * 100 * 4 * 0.1 + 1) / 4
	g.Expect(count()).To(BeNumerically("~", 0.5, 1e-9), "after a denied retry")
	g.Expect(retries()).To(Equal(10)) // (0.2 * 100 * 4 * 0.5 + 1) / 4, including the remainder
}

func TestRetryTakesNothingWhenOneBudgetIsExhausted(t *testing.T) {
	g := NewWithT(t)
	c := newChain(2, true, 1)
	c.recordNeeds(overload.Need{Service: "front", Calls: 1}, overload.Need{Service: "deep", Calls: 4})
	g.Expect(c.takeRetry()).To(BeFalse())
	g.Expect(c.Get("front").allows(0, 2, 0.2, 2, false)).To(BeTrue())
}

// Guards against a restarted or isolated node claiming the whole retry allowance of the deployment.
func TestRestartedNodeHasNoRetryAllowance(t *testing.T) {
	for _, tc := range []struct {
		name    string
		first   bool
		members int
		want    bool
	}{
		{"first start", true, 4, true},
		{"first start, no other node known", true, 0, false},
		{"restart", false, 4, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(newChain(8, tc.first, tc.members).takeRetry()).To(Equal(tc.want))
		})
	}
}

// Only lost responses count against a target; timeouts do not.
func TestOnlyLostResponsesPenalizeTarget(t *testing.T) {
	load := slots.Load{Slots: 40, Running: 20, ServiceTime: 700 * time.Millisecond}
	for _, tc := range []struct {
		name      string
		reply     *reply.Reply // result of an attempt at the bad target
		penalized bool
	}{
		{"timed out", &reply.Reply{Outcome: outcome.Unknown, Reason: outcome.ReasonTimeout, Arrived: true, Load: load}, false},
		{"504 from the target", &reply.Reply{Outcome: outcome.Answered, Reason: outcome.ReasonNone, Arrived: true, Status: 504, Load: load}, false},
		{"response lost", &reply.Reply{Outcome: outcome.Unknown, Reason: outcome.ReasonLost, Arrived: true, Load: load}, true},
		{"client disconnected", &reply.Reply{Outcome: outcome.Unknown, Reason: outcome.ReasonCancelled, Arrived: true, Load: load}, false},
		{"complete response", &reply.Reply{Outcome: outcome.Answered, Reason: outcome.ReasonNone, Arrived: true, Status: 200, Load: load}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Duration(0)
			s := New(Options{Node: "me", Zone: "a", Now: func() time.Duration { return now }, Budget: retrybudget.Config{Window: 10 * time.Second}, FirstStart: true})
			s.SetTargets(map[string][]balancer.Target{"s": {
				{Node: "bad", Address: "bad:1", Zone: "a", Instance: "i-1", Slots: 40}, {Node: "other", Address: "other:1", Zone: "a", Instance: "i-2", Slots: 40},
			}})
			toBad := 0
			for range 400 {
				now += 20 * time.Millisecond
				picked := s.Get("s").Pick(now, balancer.Requirement{}, nil)
				if picked.Node == "bad" {
					toBad++
					picked.Done(now+load.ServiceTime, tc.reply)
					continue
				}
				const hold = 800 * time.Millisecond
				picked.Done(now+hold, &reply.Reply{Outcome: outcome.Answered, Reason: outcome.ReasonNone, Arrived: true, Status: 200, Load: slots.Load{Slots: 40, Running: 20, ServiceTime: hold}})
			}
			if tc.penalized {
				g.Expect(toBad).To(BeNumerically("<", 40))
			} else {
				g.Expect(toBad).To(BeNumerically(">", 200), "the faster target should be preferred")
			}
		})
	}
}
