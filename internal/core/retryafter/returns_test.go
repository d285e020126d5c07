package retryafter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	testRoute     = "view"
	testTimeout   = 4 * time.Second
	testObjective = 1500 * time.Millisecond
	testLongest   = testObjective / objectiveDivisor
)

// admitAtRate admits requests of the route evenly for 10 s and returns the time after that.
func admitAtRate(returns *Returns, perSecond int) time.Duration {
	now := time.Duration(0)
	for range 10 * perSecond {
		now += time.Second / time.Duration(perSecond)
		returns.Admit(now, testRoute)
	}
	return now
}

// Refusals at the same time must not be told to return at the same time, and those beyond the room
// must be told the same as without time slots.
func TestPromisesFillTheRoomInOrder(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perSecond int
		promises  int // of 1,000 requests refused at once; the time slots from 0.1 to 0.75 s
	}{
		{"several for each time slot", 200, 60},
		{"about one", 40, 12},
		{"a part of one", 8, 3},
		{"one a second", 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			returns := NewReturns()
			now := admitAtRate(returns, tc.perSecond)
			promised, last := 0, time.Duration(0)
			for range 1000 {
				r := returns.Refuse(now, Refusal{Route: testRoute, Timeout: testTimeout, Objective: testObjective})
				if !r.Promised {
					g.Expect(r.Range).To(Equal(ShedByPrice(testTimeout, testObjective)))
					continue
				}
				promised++
				g.Expect(r.Range.Min).To(BeNumerically(">=", max(minReturn, last)))
				g.Expect(r.Range.Min + r.Range.Spread).To(BeNumerically("<=", testLongest))
				g.Expect((now + r.Range.Min) % returnSlot).To(BeZero())
				last = r.Range.Min
			}
			g.Expect(promised).To(BeNumerically("~", tc.promises, 0.1*float64(tc.promises)))
		})
	}
}

// A node that was restarted, or that admits nothing, knows of no room. A route whose requests were rare
// must not keep its room promised for longer than admittedWindow / returnShare once they are frequent.
func TestNoRoomIsPromisedWithoutAdmittedRequests(t *testing.T) {
	g := NewWithT(t)
	refusal := Refusal{Route: testRoute, Timeout: testTimeout, Objective: testObjective}
	returns := NewReturns()
	g.Expect(returns.Refuse(0, refusal)).To(Equal(Return{Range: ShedByPrice(testTimeout, testObjective)}))
	returns.Admit(time.Second, testRoute)
	g.Expect(returns.Refuse(time.Second, refusal).Promised).To(BeTrue())
	g.Expect(returns.Refuse(4*time.Second, refusal).Promised).To(BeFalse(), "long after the last admitted request")
	now := time.Second + time.Duration(float64(admittedWindow)/returnShare)
	for range 20 {
		returns.Admit(now, testRoute)
	}
	g.Expect(returns.Refuse(now, refusal).Promised).To(BeTrue())
}

// A client whose request was refused twice and has no time for a third attempt must learn it at once,
// and one that has must be told a time that leaves it enough.
func TestReturnLeavesTimeForAnotherAttempt(t *testing.T) {
	const meanTime = 600 * time.Millisecond
	for _, tc := range []struct {
		name      string
		returning bool
		left      time.Duration
		longest   time.Duration // 0: no Retry-After
	}{
		{"new", false, 600 * time.Millisecond, 200 * time.Millisecond},
		{"returning, time", true, 3 * time.Second, 750 * time.Millisecond},
		{"returning, little time", true, 850 * time.Millisecond, 250 * time.Millisecond},
		{"returning, just enough", true, 700 * time.Millisecond, 100 * time.Millisecond},
		{"returning, not enough", true, 699 * time.Millisecond, 0},
		{"returning, none", true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			returns := NewReturns()
			for range 100 {
				returns.Served(testRoute, meanTime)
			}
			refusal := Refusal{Route: testRoute, Timeout: tc.left, Objective: testObjective, Returning: tc.returning}
			g.Expect(returns.Refuse(0, refusal).Range).To(Equal(jittered(tc.longest / 2)))
			for range 1000 { // room for promises
				returns.Admit(0, testRoute)
			}
			r := returns.Refuse(0, refusal)
			g.Expect(r.Range.Min + r.Range.Spread).To(BeNumerically("<=", tc.longest))
			g.Expect(r.Range == Range{}).To(Equal(tc.longest == 0))
		})
	}
}

// Names of routes come from the configuration and may all change; the state must not grow with them.
func TestTrackedRoutesAreBounded(t *testing.T) {
	g := NewWithT(t)
	returns := NewReturns()
	for i := range 3 * maxReturnRoutes {
		returns.Admit(0, string(rune('a'+i%26))+time.Duration(i).String())
	}
	g.Expect(len(returns.routes)).To(BeNumerically("<=", maxReturnRoutes))
}
