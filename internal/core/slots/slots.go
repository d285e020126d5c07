// Package slots implements the gate in front of a target: a concurrency limiter with a queue.
// The gate admits no more requests than the target has slots and queues the rest by importance
// and arrival. If the target states a rate, a request needs a token as well as a slot. The gate
// refuses requests that cannot be answered by their deadline. A draining gate refuses all requests
// that were not sent. The gate does no locking and uses no clock; all
// times are on the caller's clock.
package slots

import (
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/core/pace"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
)

// Reason is why a request was refused.
type Reason string

// Reasons for a refusal. The refused request was not sent to the target.
const (
	ReasonDraining Reason = "draining"  // the target is shutting down or gone
	ReasonExpired  Reason = "expired"   // the deadline passed in the queue
	ReasonTooLong  Reason = "too_long"  // the request would still be queued at its deadline
	ReasonFull     Reason = "full"      // the queue is full of requests of at least the same importance
	ReasonNoTarget Reason = "no_target" // the node has no target
	// ReasonWithdrawn: the node that sent the request stops, and took it back while it was queued.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonRateLimited: the target takes no more requests for now than it was sent.
	ReasonRateLimited Reason = "rate_limited"
)

// Request is a request for a slot.
type Request struct {
	ID         uint64
	Importance int           // lower is served first
	Priority   int           // the part of Importance that is strict at a scarce target
	NeedDelay  time.Duration // at a scarce target: how long requests of the Priority that arrive later go first at most
	NeedKnown  bool          // whether the sender knows the need of the request
	Deadline   time.Duration // time by which the response is needed
	Class      string        // groups requests with similar service time; empty: none
	Tenant     string        // of the call chain; empty: none
}

// Decision tells the caller to send a request or to refuse it.
type Decision struct {
	ID     uint64
	Send   bool
	Reason Reason
	Waited time.Duration
}

// Load is the load that a gate reports to senders.
type Load struct {
	Slots   int
	Running int
	Waiting int
	// ServiceTime is the mean service time of a request, as expected now; 0: not enough samples.
	ServiceTime time.Duration
	// Pace is the factor of package pace that ServiceTime contains; 0: none is known.
	Pace float64
	// Offered is the offered load of the target, see Gate.OfferedLoadBesides; 0: unknown. Gate.Load does
	// not set it.
	Offered float64
}

// Occupancy returns the running and queued requests per slot.
func (l Load) Occupancy() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.Running+l.Waiting) / float64(l.Slots)
}

// activeRequest is a request that was sent to the target.
type activeRequest struct {
	class     string
	tenant    string
	startedAt time.Duration
	pace      float64 // when the request was sent
	paceShare float64 // part of its time that depends on the pace
}

// meanTime is a moving average of service times at the usual pace of the target.
type meanTime struct {
	mean      float64 // ns
	paceShare float64 // mean part that depends on the pace
	count     int
}

// newMeanTime returns an average that starts at mean (ns).
func newMeanTime(mean float64) meanTime { return meanTime{mean: mean, paceShare: 1} }

// add adds a sample in ns, of which a share depends on the pace.
func (m *meanTime) add(sample, paceShare float64) {
	m.count++
	weight := max(serviceTimeWeight, 1/float64(m.count))
	m.mean += weight * (sample - m.mean)
	m.paceShare += weight * (paceShare - m.paceShare)
}

// at returns the time in ns that is expected at a pace.
func (m *meanTime) at(factor float64) float64 { return m.mean * pace.Scale(factor, m.paceShare) }

// reliable reports whether there are enough samples to use the mean.
func (m *meanTime) reliable() bool { return m.count >= minSamples }

type queuedRequest struct {
	request  Request
	arrived  time.Duration
	expected meanTime // of its class
}

// Gate is the gate of one target. It is not safe for concurrent use.
type Gate struct {
	slots             int
	running           map[uint64]activeRequest
	queue             []queuedRequest
	earliestDeadline  time.Duration        // no request in the queue has an earlier one
	serviceTime       meanTime             // over all requests
	classes           map[string]*meanTime // by class
	rate              *ratelimit.Bucket    // nil: the target states no rate
	offered           offeredLoad
	pace              pace.Latest
	probationEndsAt   time.Duration // until then few requests are admitted at the same time
	draining          bool
	skipDeadlineCheck bool
	scarcity          scarcity
}

// serviceTimeWeight is the weight of one sample in a mean service time. The first samples
// weigh more, since the average starts from them.
const serviceTimeWeight = 0.05

// minSamples is the number of samples before the mean is reported. The first requests to finish
// are the shortest ones, so an earlier mean is too low.
const minSamples = 10

// initialServiceTime is assumed until a request has finished.
const initialServiceTime = 20 * time.Millisecond

// queueFactor is the queue capacity as a multiple of the slots.
const queueFactor = 8

// usableFraction is the part of a target's slots to use, because some targets slow down near
// full concurrency.
const usableFraction = 0.95

func usableSlots(slots int) int { return max(int(float64(slots)*usableFraction), 1) }

// New returns a gate for a target with the given number of slots.
func New(slots int) *Gate {
	return &Gate{slots: usableSlots(slots), running: map[uint64]activeRequest{}, serviceTime: newMeanTime(float64(initialServiceTime)), classes: map[string]*meanTime{}}
}

// SkipDeadlineCheck disables the check that a request has enough time left to finish.
func (g *Gate) SkipDeadlineCheck() { g.skipDeadlineCheck = true }

// SetSlots changes the number of slots and dispatches queued requests.
func (g *Gate) SetSlots(now time.Duration, slots int) []Decision {
	g.slots = usableSlots(slots)
	return g.dispatch(now, nil)
}

// ObservePace records how long work takes at the target now, as a factor of package pace.
func (g *Gate) ObservePace(now time.Duration, factor float64) { g.pace.Observe(now, factor) }

// Pace returns the factor in force, or 0 if none is known.
func (g *Gate) Pace(now time.Duration) float64 { return g.pace.Known(now) }

// SetPaceShare records which part of the time of a request that was sent depends on the pace of the
// target; the rest is that of downstream calls. Without it, all of the time does.
func (g *Gate) SetPaceShare(id uint64, share float64) {
	if request, present := g.running[id]; present {
		request.paceShare = share
		g.running[id] = request
	}
}

// Load returns the current load.
func (g *Gate) Load(now time.Duration) Load {
	load := Load{Slots: g.slots, Running: len(g.running), Waiting: len(g.queue), Pace: g.pace.Known(now)}
	if g.serviceTime.reliable() {
		load.ServiceTime = time.Duration(g.serviceTime.mean * g.pace.Now(now))
	}
	if g.rate != nil {
		load.Slots, load.Running = g.rateLimitedLoad(now)
	}
	return load
}

// Draining reports whether the gate is draining.
func (g *Gate) Draining() bool { return g.draining }

// Submit submits a request. The decisions may include other requests that it displaces.
func (g *Gate) Submit(now time.Duration, request Request) []Decision {
	if g.draining {
		return []Decision{{ID: request.ID, Reason: ReasonDraining}}
	}
	expected := g.expectedSlotTime(request.Class)
	g.updateScarcity(now, request)
	g.offered.add(now, expected.at(g.pace.Now(now)))
	request.Deadline -= g.minTimeLeft(now, request.Class)
	if now >= request.Deadline {
		return []Decision{{ID: request.ID, Reason: ReasonExpired}}
	}
	if len(g.queue) == 0 && g.tryAdmit(now) {
		g.running[request.ID] = activeRequest{class: request.Class, tenant: request.Tenant, startedAt: now, pace: g.pace.Now(now), paceShare: 1}
		return []Decision{{ID: request.ID, Send: true}}
	}
	item := queuedRequest{request: request, arrived: now, expected: *expected}
	position := g.queuePosition(item)
	wait := max(g.expectedWait(now, position), g.tokenWait(now, position+1))
	if now+wait >= request.Deadline {
		return []Decision{{ID: request.ID, Reason: ReasonTooLong}}
	}
	if g.tokenWait(now, position+1) > maxTokenWait {
		return []Decision{{ID: request.ID, Reason: ReasonRateLimited}}
	}
	g.queue = append(g.queue, queuedRequest{})
	copy(g.queue[position+1:], g.queue[position:])
	g.queue[position] = item
	if len(g.queue) == 1 || request.Deadline < g.earliestDeadline {
		g.earliestDeadline = request.Deadline
	}
	decisions := g.dispatch(now, nil)
	switch {
	case g.tokenWait(now, len(g.queue)) > maxTokenWait:
		decisions = g.refuseLast(now, decisions, ReasonRateLimited)
	case len(g.queue) > queueFactor*g.slots:
		decisions = g.refuseLast(now, decisions, ReasonFull)
	}
	return decisions
}

// refuseLast refuses the last request of the queue.
func (g *Gate) refuseLast(now time.Duration, decisions []Decision, reason Reason) []Decision {
	last := g.queue[len(g.queue)-1]
	g.queue = g.queue[:len(g.queue)-1]
	return append(decisions, Decision{ID: last.request.ID, Reason: reason, Waited: now - last.arrived})
}

// queuePosition returns the insertion index: after all requests that are not served later.
func (g *Gate) queuePosition(item queuedRequest) int {
	return sort.Search(len(g.queue), func(i int) bool { return g.compare(g.queue[i], item) > 0 })
}

func (g *Gate) expectedWait(now time.Duration, position int) time.Duration {
	return time.Duration(g.serviceTime.at(g.pace.Now(now)) * float64(position+1) / float64(g.slots))
}

const (
	// A request is refused if it has less time left than this fraction of the mean service time of
	// its class or, without a class, of all requests. The latter vary more, so their fraction is
	// lower.
	minClassFraction   = 0.7
	minOverallFraction = 0.5
)

// minTimeLeft returns the time that a request of a class must have left to be dispatched. A target
// that is slow now may be fast again before the request ends, so that its pace only shortens this time.
func (g *Gate) minTimeLeft(now time.Duration, class string) time.Duration {
	if g.skipDeadlineCheck {
		return 0
	}
	factor := min(g.pace.Now(now), pace.Usual)
	if classTime := g.classes[class]; classTime != nil && classTime.reliable() {
		return time.Duration(minClassFraction * classTime.at(factor))
	}
	if g.serviceTime.reliable() && class == "" {
		return time.Duration(minOverallFraction * g.serviceTime.at(factor))
	}
	return 0
}

// Finish releases the slot of a request. answered reports a complete response, whose service
// time is a valid sample. The time of an aborted request is a lower bound and counts only if it
// exceeds the mean; otherwise a target too slow for all deadlines would never appear slow. Samples are
// at the usual pace of the target.
func (g *Gate) Finish(now time.Duration, id uint64, answered bool) []Decision {
	request, present := g.running[id]
	if !present {
		return nil
	}
	delete(g.running, id)
	elapsed := float64(now-request.startedAt) / pace.Scale(pace.During(request.pace, g.pace.Now(now)), request.paceShare)
	if answered || elapsed > g.serviceTime.mean {
		g.serviceTime.add(elapsed, request.paceShare)
	}
	if class := g.class(request.class); class != nil && (answered || class.reliable() && elapsed > class.mean) {
		class.add(elapsed, request.paceShare)
	}
	return g.dispatch(now, nil)
}

// maxClasses limits the number of tracked classes.
const maxClasses = 64

// class returns the mean service time of a class, or nil for the empty class and if too many
// classes are tracked.
func (g *Gate) class(name string) *meanTime {
	classTime := g.classes[name]
	if classTime == nil && name != "" && len(g.classes) < maxClasses {
		added := newMeanTime(0)
		classTime = &added
		g.classes[name] = classTime
	}
	return classTime
}

// Cancel removes a request from the queue. It returns false if the request is not queued.
func (g *Gate) Cancel(id uint64) bool {
	for index, item := range g.queue {
		if item.request.ID == id {
			g.queue = append(g.queue[:index], g.queue[index+1:]...)
			return true
		}
	}
	return false
}

// Withdraw refuses the queued requests that matches selects and that are expected to wait longer than
// maxWait, with a reason.
func (g *Gate) Withdraw(now, maxWait time.Duration, reason Reason, matches func(id uint64) bool) []Decision {
	var decisions []Decision
	kept := g.queue[:0]
	for position, item := range g.queue {
		if matches(item.request.ID) && (maxWait <= 0 || g.expectedWait(now, position) > maxWait) {
			decisions = append(decisions, Decision{ID: item.request.ID, Reason: reason, Waited: now - item.arrived})
			continue
		}
		kept = append(kept, item)
	}
	g.queue = kept
	return decisions
}

// Expire refuses requests whose deadline passed in the queue, and sends those that a token or the end
// of the probation allows. While requests are queued, it must be called at NextExpiry.
func (g *Gate) Expire(now time.Duration) []Decision { return g.dispatch(now, nil) }

// NextExpiry returns when Expire may yield decisions next, or false if no request is queued. It is now
// if that depends on more than deadlines.
func (g *Gate) NextExpiry(now time.Duration) (time.Duration, bool) {
	if g.rate != nil || now < g.probationEndsAt {
		return now, len(g.queue) > 0
	}
	return g.earliestDeadline, len(g.queue) > 0
}

// Drain refuses all queued and future requests. Requests at the target continue.
func (g *Gate) Drain(now time.Duration) []Decision {
	g.draining = true
	var decisions []Decision
	for _, item := range g.queue {
		decisions = append(decisions, Decision{ID: item.request.ID, Reason: ReasonDraining, Waited: now - item.arrived})
	}
	g.queue = nil
	return decisions
}

// dispatch refuses expired requests and assigns free slots to queued ones.
func (g *Gate) dispatch(now time.Duration, decisions []Decision) []Decision {
	if len(g.queue) > 0 && now >= g.earliestDeadline {
		decisions = g.refuseExpired(now, decisions)
	}
	for len(g.queue) > 0 && g.tryAdmit(now) {
		next := g.queue[0]
		g.queue = g.queue[1:]
		g.running[next.request.ID] = activeRequest{class: next.request.Class, tenant: next.request.Tenant, startedAt: now, pace: g.pace.Now(now), paceShare: 1}
		decisions = append(decisions, Decision{ID: next.request.ID, Send: true, Waited: now - next.arrived})
	}
	return decisions
}

// refuseExpired refuses the queued requests whose deadline has passed.
func (g *Gate) refuseExpired(now time.Duration, decisions []Decision) []Decision {
	kept := g.queue[:0]
	for _, item := range g.queue {
		if now >= item.request.Deadline {
			decisions = append(decisions, Decision{ID: item.request.ID, Reason: ReasonExpired, Waited: now - item.arrived})
			continue
		}
		if len(kept) == 0 || item.request.Deadline < g.earliestDeadline {
			g.earliestDeadline = item.request.Deadline
		}
		kept = append(kept, item)
	}
	g.queue = kept
	return decisions
}
