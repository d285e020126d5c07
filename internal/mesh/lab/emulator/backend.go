package emulator

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
)

// backend models a back end: slots, a first-in first-out queue that sheds when it
// is long, service times with a tail, a cold start, cancellation.
type backend struct {
	world   *world
	service *deployment.Service
	slots   int
	busy    int
	waiting []*job
	fault   backendFault
	warmAt  time.Duration

	shedDebt time.Duration // processor time of refusals that no request has paid yet
}

// backendFault is how a back end misbehaves now.
type backendFault struct {
	slowdown float64 // factor on service times; 0 is 1
	dead     bool    // connections are refused
	reset    float64 // share of requests that end with a reset
}

// job is one request at a back end.
type job struct {
	call      *call
	route     *deployment.Route
	started   time.Duration
	work      time.Duration // service time spent so far
	running   bool
	over      bool
	deeper    int
	failed    bool
	finish    func(result backendResult)
	cancelled bool
}

type backendResult int

const (
	backendAnswered backendResult = iota
	backendFailed                 // answered with an error, because a deeper call failed
	backendShed
	backendRefused // connection refused
	backendReset
)

// Behaviour of the stand-in back ends, the same as in internal/mesh/lab/standin.
const (
	coldFor        = 2 * time.Second
	coldFactor     = 2.0
	shedCost       = 500 * time.Microsecond // what it costs a back end to refuse a request
	connectionMax  = 130
	maxShedPayment = 10 * time.Millisecond
)

func (b *backend) receive(j *job) {
	switch {
	case b.fault.dead:
		b.world.clock.After(0, func() { j.end(backendRefused) })
	case len(b.waiting) >= b.service.Connections-b.slots:
		b.shedDebt += shedCost
		b.world.clock.After(0, func() { j.end(backendShed) })
	default:
		b.waiting = append(b.waiting, j)
		b.start()
	}
}

func (j *job) end(result backendResult) {
	if !j.over {
		j.over = true
		j.finish(result)
	}
}

// start gives free slots to the requests that wait, in the order they came.
func (b *backend) start() {
	for b.busy < b.slots && len(b.waiting) > 0 {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		if next.cancelled {
			continue
		}
		b.busy++
		next.running = true
		next.started = b.world.clock.Now()
		b.work(next)
	}
}

// work takes the service time; the deeper calls follow it.
func (b *backend) work(j *job) {
	span := standin.ServiceTime(j.route.Mean, b.world.random.NormFloat64())
	if b.fault.slowdown > 0 {
		span = time.Duration(float64(span) * b.fault.slowdown)
	}
	if b.world.clock.Now() < b.warmAt {
		span = time.Duration(float64(span) * coldFactor)
	}
	span += b.payShedDebt()
	reset := b.fault.reset > 0 && b.world.random.Float64() < b.fault.reset
	b.world.clock.After(span, func() {
		if j.cancelled {
			return
		}
		j.work += span
		if reset {
			b.release(j, backendReset)
			return
		}
		b.callDeeper(j, 0)
	})
}

// payShedDebt charges the refusals since the last request to the next one, at most
// doubling a typical service time: refusing takes processor time from work.
func (b *backend) payShedDebt() time.Duration {
	paid := min(b.shedDebt, maxShedPayment)
	b.shedDebt -= paid
	return paid
}

// callDeeper makes the deeper calls, one after the other or all at once.
func (b *backend) callDeeper(j *job, next int) {
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
	if !j.route.AtOnce {
		b.world.outbound(j.call.node, j.call, calls[next], func(ok bool) {
			if !ok {
				j.failed = true
				b.callDeeper(j, len(calls))
				return
			}
			b.callDeeper(j, next+1)
		})
		return
	}
	j.deeper = len(calls)
	for _, one := range calls {
		b.world.outbound(j.call.node, j.call, one, func(ok bool) {
			j.failed = j.failed || !ok
			j.deeper--
			if j.deeper == 0 {
				b.callDeeper(j, len(calls))
			}
		})
	}
}

// release frees the slot.
func (b *backend) release(j *job, result backendResult) {
	if !j.running {
		return
	}
	j.running = false
	b.busy--
	b.world.spend(j)
	j.end(result)
	b.start()
}

// cancel ends a request that nobody waits for. What was not begun is dropped;
// running work stops at once.
func (b *backend) cancel(j *job) {
	if j.cancelled || j.over {
		return
	}
	j.cancelled = true
	if j.running {
		j.work = b.world.clock.Now() - j.started
		b.release(j, backendReset)
		return
	}
	j.end(backendReset)
}
