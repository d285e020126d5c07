package slots

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/ratelimit"
	. "github.com/onsi/gomega"
)

// Guards against decisions that differ because the queue is scanned only after the earliest deadline.
func TestDecisionsEqualThoseOfAScanAtEachCall(t *testing.T) {
	g, expired := NewWithT(t), 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		gate, scanning := New(8), New(8)
		now, id := time.Second, uint64(0)
		compare := func(call func(gate *Gate) []Decision) {
			scanning.earliestDeadline = 0 // scans the queue
			decisions := call(gate)
			g.Expect(decisions).To(Equal(call(scanning)))
			for _, decision := range decisions {
				if decision.Reason == ReasonExpired && decision.Waited > 0 {
					expired++
				}
			}
			due, needed := gate.NextExpiry(now)
			g.Expect(needed).To(Equal(len(gate.queue) > 0))
			for _, item := range gate.queue {
				g.Expect(due).To(BeNumerically("<=", max(item.request.Deadline, now)))
			}
		}
		for range 2000 {
			now += time.Duration(random.IntN(4000)) * time.Microsecond
			switch random.IntN(8) {
			case 0, 1, 2, 3:
				id++
				request := Request{ID: id, Importance: random.IntN(3), Deadline: now + time.Duration(random.IntN(300))*time.Millisecond}
				compare(func(gate *Gate) []Decision { return gate.Submit(now, request) })
			case 4, 5:
				for running := range gate.running {
					answered := random.IntN(2) == 0
					compare(func(gate *Gate) []Decision { return gate.Finish(now, running, answered) })
					break
				}
			case 6:
				compare(func(gate *Gate) []Decision { return gate.Expire(now) })
			case 7:
				switch random.IntN(20) {
				case 0:
					slots := 1 + random.IntN(10)
					compare(func(gate *Gate) []Decision { return gate.SetSlots(now, slots) })
				case 1:
					rate := []float64{20, 200, ratelimit.Unlimited}[random.IntN(3)]
					compare(func(gate *Gate) []Decision { return gate.SetRateLimit(now, rate) })
				default:
					if len(gate.queue) > 0 {
						cancelled := gate.queue[random.IntN(len(gate.queue))].request.ID
						g.Expect(gate.Cancel(cancelled)).To(Equal(scanning.Cancel(cancelled)))
					}
				}
			}
		}
	}
	g.Expect(expired).To(BeNumerically(">", 500), "the random calls let deadlines pass")
}
