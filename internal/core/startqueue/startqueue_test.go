package startqueue

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	timeout = time.Second
	maxWait = 200 * time.Millisecond
)

// newcomer returns a request that arrives now, without first credit.
func newcomer(now time.Duration, id uint64, probability float64) Request {
	return Request{ID: id, Route: "browse", Probability: probability, Deadline: now + timeout, WaitUntil: now + maxWait}
}

// ids returns the requests of the decisions that have the given outcome.
func ids(decisions []Decision, admitted bool) []uint64 {
	found := []uint64{}
	for _, decision := range decisions {
		if decision.Admitted == admitted {
			found = append(found, decision.ID)
		}
	}
	return found
}

// Guards against credit that goes to new requests before returning ones, which have no time for another
// attempt, to tenants above their share first, or to requests that have more time left.
func TestOrderOfWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	q := New()
	for _, request := range []Request{
		{ID: 1, Deadline: 900 * time.Millisecond, OverShare: true},
		{ID: 2, Deadline: 900 * time.Millisecond},
		{ID: 3, Deadline: 800 * time.Millisecond},
		{ID: 4, Deadline: 900 * time.Millisecond, Returning: true},
		{ID: 5, Deadline: 700 * time.Millisecond, Returning: true, OverShare: true},
		{ID: 6, Deadline: 900 * time.Millisecond},
	} {
		request.Route, request.WaitUntil = "browse", maxWait
		g.Expect(q.Arrive(0, request)).To(BeEmpty())
	}
	order := []uint64{}
	for id := uint64(10); len(order) < 6; id++ {
		late := newcomer(0, id, 0.5)
		late.Deadline, late.OverShare = time.Hour, true
		order = append(order, ids(q.Arrive(0, late), true)...)
	}
	g.Expect(order).To(Equal([]uint64{4, 5, 3, 2, 6, 1}))
}

// A request whose turn cannot come must be refused at its arrival, not held until its time to wait ends.
func TestRefusedAtOnceWhenItsTurnCannotCome(t *testing.T) {
	g := NewWithT(t)
	q, id := New(), uint64(0)
	now := time.Duration(0)
	for ; now < 2*time.Second; now += 100 * time.Millisecond { // 3 credits a second
		id++
		q.Arrive(now, newcomer(now, id, 0.3))
	}
	g.Expect(q.Waiting()).To(BeNumerically("<=", 1), "0.6 of a credit comes in 200 ms")
	refused := []uint64{}
	for range 3 { // in the time of one, of which one at most finds a place
		id++
		refused = append(refused, ids(q.Arrive(now, newcomer(now, id, 0.3)), false)...)
	}
	g.Expect(len(refused)).To(BeNumerically(">=", 2))
}

// Guards against a request that keeps waiting until its bound, or beyond it, when arrivals cease: the timer
// must refuse it.
func TestRefusedByTimer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before int           // arrivals, 10 ms apart
		latest time.Duration // after the last arrival
	}{
		{"rate not known", 1, maxWait},
		{"rate known", 200, maxWait - 10*time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			q := New()
			now := time.Duration(0)
			for id := range tc.before {
				now += 10 * time.Millisecond
				q.Arrive(now, newcomer(now, uint64(id), 0.5))
			}
			last := now
			for q.Waiting() > 0 {
				at, waiting := q.NextDecision()
				g.Expect(waiting).To(BeTrue())
				now = max(at, now+1)
				g.Expect(ids(q.Expire(now), true)).To(BeEmpty())
			}
			g.Expect(now - last).To(BeNumerically("<=", tc.latest))
			_, waiting := q.NextDecision()
			g.Expect(waiting).To(BeFalse())
		})
	}
}

// A machine that was suspended must not admit requests whose clients have given up meanwhile.
func TestExpiredRequestGetsNoCredit(t *testing.T) {
	g := NewWithT(t)
	q := New()
	g.Expect(q.Arrive(0, newcomer(0, 1, 0.9))).To(BeEmpty())
	decisions := q.Arrive(time.Minute, newcomer(time.Minute, 2, 0.9))
	g.Expect(decisions).To(Equal([]Decision{{1, false}, {2, true}}))
	late := newcomer(time.Minute, 3, 0.9)
	late.Deadline = time.Minute
	g.Expect(q.Arrive(time.Minute, late)).To(Equal([]Decision{{3, false}}), "its own time is over")
}

// Guards against a queue that grows with the load of a node.
func TestBoundedSize(t *testing.T) {
	g := NewWithT(t)
	q, refused := New(), 0
	for id := range uint64(1000) {
		request := newcomer(0, id, 0)
		request.Route = []string{"browse", "book", "view"}[id%3]
		refused += len(ids(q.Arrive(0, request), false))
		g.Expect(q.Waiting()).To(BeNumerically("<=", MaxWaiting))
	}
	g.Expect(q.Waiting()).To(Equal(MaxWaiting))
	g.Expect(refused).To(Equal(1000 - MaxWaiting))
}

// A request of a route of which everything is admitted must not wait. Those that wait must not all be
// admitted with it: the price may pass the merit of the route again at once.
func TestRequestsAdmittedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name        string
		probability float64 // of two waiting requests
		first       bool    // whether the first of them is admitted
	}{
		{"less than half of the credit", 0.2, false},
		{"half of it", 0.3, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			for _, unrestricted := range []func(q *Queue) []Decision{
				func(q *Queue) []Decision { return q.ArriveUnrestricted(0, "browse") },
				func(q *Queue) []Decision { return q.Arrive(0, newcomer(0, 3, 1)) },
			} {
				q := New()
				g.Expect(q.Arrive(0, newcomer(0, 1, tc.probability))).To(BeEmpty())
				g.Expect(q.Arrive(0, newcomer(0, 2, tc.probability))).To(BeEmpty())
				for _, want := range []bool{tc.first, false} {
					admitted := ids(unrestricted(q), true)
					g.Expect(admitted).NotTo(ContainElement(uint64(2)))
					if want {
						g.Expect(admitted).To(ContainElement(uint64(1)))
					}
				}
			}
			g.Expect(New().ArriveUnrestricted(0, "unknown")).To(BeEmpty())
		})
	}
}

// A request whose client has disconnected must get no credit that another one waits for.
func TestRemovedRequestGetsNoCredit(t *testing.T) {
	g := NewWithT(t)
	q := New()
	q.Arrive(0, newcomer(0, 1, 0.4))
	q.Arrive(0, newcomer(0, 2, 0.4))
	g.Expect(q.Remove(0, "browse", 1)).To(BeTrue())
	g.Expect(q.Remove(0, "browse", 1)).To(BeFalse())
	g.Expect(q.Remove(0, "unknown", 2)).To(BeFalse())
	g.Expect(q.Waiting()).To(Equal(1))
	g.Expect(q.Arrive(0, newcomer(0, 3, 0.4))).To(Equal([]Decision{{2, true}}))
}

// Guards against state that grows with the routes of past configurations.
func TestRoutesWithoutArrivalsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	q := New()
	for id := range uint64(100) {
		request := newcomer(0, id, 1)
		request.Route = string(rune('a' + id))
		q.Arrive(0, request)
	}
	now := 2 * stateExpiry
	q.Arrive(now, newcomer(now, 200, 1))
	g.Expect(q.routes).To(HaveLen(1))
}
