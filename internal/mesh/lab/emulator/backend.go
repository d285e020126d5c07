package emulator

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
)

// backend models a back end: slots, a bounded FIFO queue, service times with a
// long tail, cold starts and cancellation.
type backend struct {
	sim     *simulation
	service *deployment.Service
	slots   int
	busy    int
	queue   []*job
	fault   backendFault
	warmAt  time.Duration

	shedDebt time.Duration // CPU time of refusals not yet charged to a request
}

// backendFault holds the active faults of a back end.
type backendFault struct {
	slowdown float64 // factor on service times; 0 means 1
	dead     bool    // connections are refused
	reset    float64 // share of requests whose connection is reset
}

// job is a request at a back end.
type job struct {
	call         *call
	route        *deployment.Route
	started      time.Duration
	work         time.Duration // service time spent so far
	running      bool
	ended        bool
	pendingCalls int
	failed       bool
	finish       func(result backendResult)
	cancelled    bool
}

type backendResult int

const (
	backendAnswered backendResult = iota
	backendFailed                 // answered with an error because a downstream call failed
	backendShed
	backendRefused // connection refused
	backendReset
)

// Parameters of the back-end model, the same as in internal/mesh/lab/standin.
const (
	coldStartDuration = 2 * time.Second
	coldStartFactor   = 2.0
	shedCost          = 500 * time.Microsecond // CPU time of a refused request
	maxConnections    = 130
	maxShedPayment    = 10 * time.Millisecond
)

func (b *backend) receive(j *job) {
	switch {
	case b.fault.dead:
		b.sim.clock.After(0, func() { j.end(backendRefused) })
	case len(b.queue) >= b.service.Connections-b.slots:
		b.shedDebt += shedCost
		b.sim.clock.After(0, func() { j.end(backendShed) })
	default:
		b.queue = append(b.queue, j)
		b.startQueued()
	}
}

func (j *job) end(result backendResult) {
	if !j.ended {
		j.ended = true
		j.finish(result)
	}
}

// startQueued assigns free slots to queued requests in FIFO order.
func (b *backend) startQueued() {
	for b.busy < b.slots && len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if next.cancelled {
			continue
		}
		b.busy++
		next.running = true
		next.started = b.sim.clock.Now()
		b.serve(next)
	}
}

// serve spends the service time of a request, then makes its downstream calls.
func (b *backend) serve(j *job) {
	span := standin.ServiceTime(j.route.Mean, b.sim.random.NormFloat64())
	if b.fault.slowdown > 0 {
		span = time.Duration(float64(span) * b.fault.slowdown)
	}
	if b.sim.clock.Now() < b.warmAt {
		span = time.Duration(float64(span) * coldStartFactor)
	}
	span += b.payShedDebt()
	reset := b.fault.reset > 0 && b.sim.random.Float64() < b.fault.reset
	b.sim.clock.After(span, func() {
		if j.cancelled {
			return
		}
		j.work += span
		if reset {
			b.release(j, backendReset)
			return
		}
		b.callDownstream(j, 0)
	})
}

// payShedDebt returns the CPU time of earlier refusals to charge to the next
// request, up to maxShedPayment.
func (b *backend) payShedDebt() time.Duration {
	paid := min(b.shedDebt, maxShedPayment)
	b.shedDebt -= paid
	return paid
}

// callDownstream makes the downstream calls of a route from index next on,
// sequentially or concurrently.
func (b *backend) callDownstream(j *job, next int) {
	if j.cancelled {
		return
	}
	calls := j.route.Calls
	if next >= len(calls) {
		result := backendAnswered
		if j.failed {
			result = backendFailed
		}
		b.release(j, result)
		return
	}
	if !j.route.Concurrent {
		b.sim.outbound(j.call.node, j.call, calls[next], func(ok bool) {
			if !ok {
				j.failed = true
				b.callDownstream(j, len(calls))
				return
			}
			b.callDownstream(j, next+1)
		})
		return
	}
	j.pendingCalls = len(calls)
	for _, one := range calls {
		b.sim.outbound(j.call.node, j.call, one, func(ok bool) {
			j.failed = j.failed || !ok
			j.pendingCalls--
			if j.pendingCalls == 0 {
				b.callDownstream(j, len(calls))
			}
		})
	}
}

// release frees the slot of a request and starts queued ones.
func (b *backend) release(j *job, result backendResult) {
	if !j.running {
		return
	}
	j.running = false
	b.busy--
	b.sim.recordWork(j)
	j.end(result)
	b.startQueued()
}

// cancel drops a queued request or stops a running one.
func (b *backend) cancel(j *job) {
	if j.cancelled || j.ended {
		return
	}
	j.cancelled = true
	if j.running {
		j.work = b.sim.clock.Now() - j.started
		b.release(j, backendReset)
		return
	}
	j.end(backendReset)
}
