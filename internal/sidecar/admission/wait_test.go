package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/overload"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

const (
	readTimeout = 800 * time.Millisecond
	readWait    = 100 * time.Millisecond
)

// lateCompletion makes the window of a route effective.
var lateCompletion = overload.Completion{Overloaded: true}

var (
	readRoute  = &intent.Route{Name: "read"}
	readLimits = Limits{Left: readTimeout, MaxWait: readWait}
)

// newShortControl returns a Control whose route needs a service that is offered a load. The first limit of
// its window has expired.
func newShortControl(offered float64) *Control {
	start := time.Now()
	c := New(Options{Now: func() time.Duration { return time.Since(start) }, Configuration: fixedConfiguration{&intent.Intent{}}})
	for range 60 {
		time.Sleep(50 * time.Millisecond)
		c.observeLoad(offered)
	}
	return c
}

func (c *Control) observeLoad(offered float64) {
	c.RecordNeeds(readRoute, []wire.Need{{Service: "deep", Calls: 1, SlotTime: 100 * time.Millisecond, Offered: offered}}, true, false)
}

// result is the result of AdmitOrWait.
type result struct {
	admitted bool
	decision Decision
	took     time.Duration
}

func (c *Control) admitRead(ctx context.Context) result {
	began := time.Now()
	admitted, decision := c.AdmitOrWait(ctx, readRoute, "", 0, readLimits)
	return result{admitted, decision, time.Since(began)}
}

// inFlight returns the requests in flight that the window counts.
func (c *Control) inFlight() int {
	inFlight, _ := c.Window(readRoute)
	return inFlight
}

// Guards against a wait beyond its bound: a request must be decided by the timer when no other arrives.
func TestWaitEndsWithoutArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newShortControl(2)
		waited, admitted := 0, 0
		for range 20 {
			r := c.admitRead(t.Context())
			g.Expect(r.decision.Price).To(BeNumerically(">", 0))
			g.Expect(r.took).To(BeNumerically("<=", readWait))
			g.Expect(r.took).To(Equal(r.decision.StartWait))
			if r.took > 0 {
				waited++
				g.Expect(r.admitted).To(BeFalse(), "no credit came")
			}
			if r.admitted {
				admitted++
			}
		}
		g.Expect(waited).To(BeNumerically(">", 3))
		g.Expect(admitted).To(BeNumerically(">", 0))
		g.Expect(c.inFlight()).To(Equal(admitted))
		count, _ := c.Waiting()
		g.Expect(count).To(BeZero())
	})
}

// A waiting request must be woken by the arrival that brings its credit, at that time.
func TestWaitingRequestIsWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newShortControl(2)
		var mutex sync.Mutex
		var results []result
		var group sync.WaitGroup
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			group.Go(func() {
				r := c.admitRead(t.Context())
				mutex.Lock()
				defer mutex.Unlock()
				results = append(results, r)
			})
		}
		group.Wait()
		afterWait, sum, admitted := 0, 0.0, 0
		for _, r := range results {
			sum += r.decision.Probability
			if r.admitted {
				admitted++
			}
			if r.admitted && r.took > 0 {
				afterWait++
				g.Expect(r.took%(10*time.Millisecond)).To(BeZero(), "woken by an arrival")
			}
		}
		g.Expect(afterWait).To(BeNumerically(">", 10))
		g.Expect(float64(admitted)).To(BeNumerically("~", sum, 2), "the share of the price")
		g.Expect(c.inFlight()).To(Equal(admitted))
	})
}

// A request whose client disconnects must leave the queue at once, not be admitted, and leave nothing
// behind in the window.
func TestEndOfContextEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newShortControl(2)
		waited := 0
		for range 20 {
			before := c.inFlight()
			ctx, cancel := context.WithTimeout(t.Context(), readWait/10)
			r := c.admitRead(ctx)
			cancel()
			if r.took == 0 {
				continue
			}
			waited++
			g.Expect(r.admitted).To(BeFalse())
			g.Expect(r.took).To(BeNumerically("<=", readWait/10))
			g.Expect(c.inFlight()).To(Equal(before))
			count, _ := c.Waiting()
			g.Expect(count).To(BeZero())
		}
		g.Expect(waited).To(BeNumerically(">", 3))
	})
}

// Without a price nothing may wait: the window decides at once, as it does without the queue.
func TestNothingWaitsWithoutAPrice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tc := range []struct {
			name     string
			inFlight int // one of them ends late
			admitted bool
		}{
			{"room", 0, true},
			{"window full", 20, false},
		} {
			g := NewWithT(t)
			c := newShortControl(0.5)
			for range tc.inFlight {
				c.core.Begin(c.now(), readRoute.Name)
			}
			if tc.inFlight > 0 {
				c.core.End(c.now(), readRoute.Name, lateCompletion)
			}
			r := c.admitRead(t.Context())
			g.Expect(r.admitted).To(Equal(tc.admitted), tc.name)
			g.Expect(r.took).To(BeZero(), tc.name)
			g.Expect(r.decision.WindowSize > 0).To(Equal(!tc.admitted), tc.name)
			g.Expect(c.start.lastID).To(BeZero(), tc.name)
		}
	})
}

// The window must decide before the queue, and a wait of 0 must disable the queue.
func TestQueueIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newShortControl(2)
		for range 20 {
			c.AdmitOrWait(t.Context(), readRoute, "", 0, Limits{Left: readTimeout})
		}
		g.Expect(c.start.lastID).To(BeZero(), "a wait of 0")
		for range 20 {
			c.core.Begin(c.now(), readRoute.Name)
		}
		c.core.End(c.now(), readRoute.Name, lateCompletion)
		r := c.admitRead(t.Context())
		g.Expect(r.admitted).To(BeFalse())
		g.Expect(r.decision.Price).To(BeZero())
		g.Expect(c.start.lastID).To(BeZero(), "the window is full")
	})
}

// When the price is gone, requests that wait must not hold up new ones, and must be decided.
func TestWaitingRequestsAreDecidedAfterTheShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newShortControl(2)
		var group sync.WaitGroup
		for range 30 {
			group.Go(func() { g.Expect(c.admitRead(t.Context()).took).To(BeNumerically("<=", readWait)) })
		}
		synctest.Wait()
		count, _ := c.Waiting()
		g.Expect(count).To(BeNumerically(">", 0))
		c.pricesDisabled = true
		for range 5 {
			r := c.admitRead(t.Context())
			g.Expect(r.admitted).To(BeTrue())
			g.Expect(r.took).To(BeZero())
		}
		group.Wait()
		count, oldest := c.Waiting()
		g.Expect(count).To(BeZero())
		g.Expect(oldest).To(BeZero())
	})
}
