// Package pricing decides at the start of a call chain whether to admit a request while a service
// that the chain needs is offered more load than it can serve.
//
// Each node keeps a congestion price for each service: a leaky integral of the load offered to the
// service, as its targets report it in the results of calls. Nodes that call the same service see
// the same load and arrive at the same price without exchanging it. A request is admitted with a
// probability that falls as the price passes its merit: routes are refused in order of priority and,
// within a priority, those that need most of the service per request first, since more requests are
// served completely from the same capacity that way. A minimum share of each route stays admitted.
//
// The package does no locking and uses no clock or randomness. docs/design/shared-capacity.md
// compares it with a window moved by waits and with credits granted by one node.
package pricing

import (
	"math"
	"time"
)

// Config configures a Controller.
type Config struct {
	// Setpoint is the offered load that the prices steer to. It is below 1 so that queues stay short.
	Setpoint float64
	// Rise and Fall are the change of a price per second for each unit of offered load above and
	// below the setpoint.
	Rise, Fall float64
	// Surcharge is added to the price for each unit of offered load above the setpoint, so that a burst
	// is answered before the integral has followed it.
	Surcharge float64
	// Leak is the time constant with which a price decays. It makes the prices of nodes that saw
	// different samples converge.
	Leak time.Duration
	// Smoothing is the time constant of the moving average over the reports of targets.
	Smoothing time.Duration
	// Expiry is the age at which the samples of a service are no longer used. Its price then decays
	// with the time constant Decay.
	Expiry, Decay time.Duration
	// MinShare is the admission probability of a route whose merit the price has passed.
	MinShare float64
}

// DefaultConfig returns the default configuration. A sample shows an admission of about a second ago:
// the integral rises slowly, so that it does not overshoot meanwhile, and the surcharge answers bursts.
// It falls faster, since refusing with free slots costs callers more than a short queue.
func DefaultConfig() Config {
	return Config{
		Setpoint: 0.95, Rise: 0.5, Fall: 3, Surcharge: 3, Leak: 15 * time.Second, Smoothing: 200 * time.Millisecond,
		Expiry: 2 * time.Second, Decay: 2 * time.Second, MinShare: 0.25,
	}
}

// Usage is what one request took of a service, including all calls further downstream.
type Usage struct {
	Service  string
	SlotTime time.Duration // of all calls together
	Offered  float64       // mean offered load of the targets that were called; 0: unknown
}

// Route identifies a route and its rank.
type Route struct {
	Name string
	// Rank is the number of priorities between the least important one and that of the route. At a
	// service the ranks count whose routes need it, and those of which no request was seen.
	Rank int
}

// Request is a client's request at the start of its chain.
type Request struct {
	Route
	// Deadline is how long the client still waits, as it states; 0: unknown.
	Deadline time.Duration
	Tenant   string // empty: none
}

// Decision is an admission probability and its reason.
type Decision struct {
	Probability float64
	Service     string  // with the price that decides; empty: no price applies
	Price       float64 // of that service
	Merit       float64 // of the route there
	Offered     float64 // offered load of that service
	// RelativeNeed is the need of the route relative to the largest one of its rank, on a logarithmic
	// scale from 0 for the smallest distinguished need to 1 for the largest one. It is that for Service
	// or, without a price, for the service with the highest load. Valid if NeedKnown.
	RelativeNeed float64
	NeedKnown    bool // a service that the route needs has a price or an offered load of needOrderLoad
	Returning    bool // the request was refused before
	// TenantRatio is the slot time that the tenant asks of Service relative to its fair share, if that
	// is above 1 and lowers the merit; 0: it does not. ShareWithout is the Probability without it.
	TenantRatio  float64
	ShareWithout float64
}

// Controller holds the prices of one node. It is not safe for concurrent use.
type Controller struct {
	config    Config
	services  map[string]*service
	routes    map[string]*route
	starting  startingDeadlines
	standings map[needKey]standing
	sortedAt  time.Duration // when standings were computed
}

// needKey identifies the routes of one rank that call a service.
type needKey struct {
	service string
	rank    int
}

// standing is what the order at a service takes from the other routes.
type standing struct {
	largest    float64 // largest need among the routes of the rank, in ns
	rank       int     // rank among the routes that need the service
	above      int     // ranks among them that are more important
	negligible float64 // rare needs below it do not count, in ns
	needed     bool    // a need of the rank counts
}

// route holds what is known of the requests of one route.
type route struct {
	rank     int
	needs    map[string]*need // by service
	requests int              // observed
	served   bool             // a request was served, so needs are complete
	seenAt   time.Duration
}

// need is what a request of a route takes of a service.
type need struct {
	slotTime  float64 // mean, in ns
	served    int     // requests of the route served since the first one that called the service
	frequency float64 // share of the requests that call the service
	calling   float64 // mean slot time of those, in ns
	seenAt    time.Duration
	standing  standing // as of the last refresh
	ranked    bool     // standing is set
}

// counts reports whether a need is regular, or not below negligible, in ns. The mean over all requests is
// not exact enough for it: between two rare calls it decays to a small part.
func (n *need) counts(negligible float64) bool {
	return n.frequency >= rareFrequency || n.frequency*n.calling >= negligible
}

// weight returns the weight of a served request in slotTime. The first ones weigh more, so that the need of
// a service that is new to the route is known soon.
func (n *need) weight() float64 { return max(needWeight, 1/float64(n.served)) }

// called records a request that called the service. One that was not served may have made only some of
// its calls.
func (n *need) called(slotTime, frequencyWeight float64, served bool) {
	n.frequency = min(n.frequency+frequencyWeight, 1)
	switch {
	case n.calling == 0:
		n.calling = slotTime
	case served || slotTime > n.calling:
		n.calling += needWeight * (slotTime - n.calling)
	}
}

// New returns a Controller without prices.
func New(config Config) *Controller {
	return &Controller{config: config, services: map[string]*service{}, routes: map[string]*route{}, starting: startingDeadlines{routes: map[string]*startingDeadline{}}}
}

const (
	// needWeight is the weight of one request in the mean needs of its route, after the first ones.
	needWeight = 0.05
	// frequencyWeight is the weight of one request in the share of requests that call a service. With it
	// the standard deviation of a share of 0.01 is 0.007, well below rareFrequency.
	frequencyWeight = 0.01
	// rareFrequency and negligibleNeed are the share of requests and the part of the largest need at a
	// service below both of which a need does not count: refusing 20 requests and more to spare one call
	// costs callers more than the others gain by it.
	rareFrequency  = 0.05
	negligibleNeed = 0.05
	// rankingInterval is how often the standings are computed anew.
	rankingInterval = 500 * time.Millisecond
	// routeExpiry is how long a route without requests takes part in the order, and how long a route
	// needs a service that its requests do not call any more.
	routeExpiry = 30 * time.Second
)

// Observe records what a request of a route took. A request that was not served may have made only
// some of its calls, so it can raise the means but not lower them.
func (c *Controller) Observe(now time.Duration, r Route, usages []Usage, served bool) {
	c.sample(now, usages)
	known := c.routes[r.Name]
	if known == nil {
		known = &route{needs: map[string]*need{}}
		c.routes[r.Name] = known
	}
	known.rank, known.seenAt, known.served = r.Rank, now, known.served || served
	known.observe(now, usages, served)
	c.refresh(now)
}

// ObserveCall records the loads that a call of a running request met. Calls are not admitted by price:
// their routes take no part in the order.
func (c *Controller) ObserveCall(now time.Duration, usages []Usage) {
	c.sample(now, usages)
	c.refresh(now)
}

func (c *Controller) sample(now time.Duration, usages []Usage) {
	for _, usage := range usages {
		if usage.Offered > 0 {
			c.service(usage.Service).sample(now, usage.Offered, &c.config)
		}
	}
}

func (r *route) observe(now time.Duration, usages []Usage, served bool) {
	r.requests++
	frequencyWeight := max(frequencyWeight, 1/float64(r.requests))
	if served {
		for _, n := range r.needs {
			n.served++
			n.slotTime *= 1 - n.weight()
			n.frequency *= 1 - frequencyWeight
		}
	}
	for _, usage := range usages {
		if usage.SlotTime <= 0 {
			continue
		}
		slotTime := float64(usage.SlotTime)
		n := r.needs[usage.Service]
		if n == nil {
			n = &need{}
			r.needs[usage.Service] = n
			if served {
				n.served = 1
			}
		}
		n.seenAt = now
		n.called(slotTime, frequencyWeight, served)
		switch {
		case n.slotTime == 0 && !served:
			n.slotTime = slotTime
		case served:
			n.slotTime += n.weight() * slotTime
		default:
			n.slotTime += needWeight * max(slotTime-n.slotTime, 0)
		}
	}
}

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{}
		c.services[name] = s
	}
	return s
}

// Admit returns the probability with which to admit a request. The service with the least
// probability decides; among equals the one whose price exceeds the merit most, or falls short of it least.
// Without a price above 0 the probability is 1 and the decision names no service.
func (c *Controller) Admit(now time.Duration, r Request) Decision {
	decision := Decision{Probability: 1, Returning: c.starting.returning(now, r.Name, r.Deadline)}
	known := c.routes[r.Name]
	if known == nil {
		return decision
	}
	c.refresh(now)
	highest, without := needOrderLoad, 1.0
	for name, n := range known.needs {
		s := c.services[name]
		if s == nil || n.slotTime <= 0 {
			continue
		}
		price := s.current(now, &c.config)
		if price <= 0 && s.offered < highest {
			continue
		}
		standing := n.standingOf(r.Rank)
		if price <= 0 || !n.counts(standing.negligible) {
			if decision.Service == "" && s.offered >= highest {
				highest, decision.NeedKnown = s.offered, true
				decision.RelativeNeed = 1 - standing.needMerit(n.slotTime)/maxNeedMerit
			}
			continue
		}
		merit := standing.merit(n.slotTime)
		if decision.Returning {
			merit += returningMerit
		}
		ratio := 1.0
		if r.Tenant != "" {
			without = min(without, c.share(price, merit, c.config.MinShare, standing.above))
			if ratio = s.tenantRatio(now, r.Tenant, &c.config); ratio > 1 {
				merit = c.tenantMerit(name, r.Rank, merit, ratio, decision.Returning)
			}
		}
		share := c.share(price, merit, c.config.MinShare/ratio, standing.above)
		if decision.Service == "" || share < decision.Probability || share == decision.Probability && price-merit > decision.Price-decision.Merit {
			decision.Service, decision.Price, decision.Merit, decision.Offered = name, price, merit, s.offered
			decision.Probability, decision.TenantRatio = share, 0
			if ratio > 1 {
				decision.TenantRatio = ratio
			}
			decision.RelativeNeed, decision.NeedKnown = 1-standing.needMerit(n.slotTime)/maxNeedMerit, true
		}
	}
	if decision.TenantRatio > 0 {
		decision.ShareWithout = without
	}
	return decision
}

// standingOf returns the standing of a need of a route of a rank.
func (n *need) standingOf(rank int) standing {
	if !n.ranked {
		return standing{largest: n.slotTime, rank: rank}
	}
	return n.standing
}

// merit returns the price up to which all new requests with a need are admitted.
func (s standing) merit(need float64) float64 { return rankStep*float64(s.rank) + s.needMerit(need) }

// needMerit returns the part of the merit that grows the less of the service a request needs. The other
// part is rankStep for each rank, so that a route is refused after all less important ones.
func (s standing) needMerit(need float64) float64 {
	return min(needScale*math.Log(max(s.largest, need)/need), maxNeedMerit)
}

// needOrderLoad is the offered load of a service from which on the needs of its chains are determined.
// It lies below the setpoint: nodes come to a price at different times, and a target that orders its
// queue by need must know the need of the requests of all of them. The last load counts, however old: a
// node that refuses nearly all requests of a route gets no reports.
const needOrderLoad = 0.7

const (
	// rankStep is the merit of a rank. The advantages of small needs and of returning requests add up to it
	// at most, so that neither lets a request go before those of a more important route.
	rankStep = 2.0
	// needScale is the merit of a need of 1/e of the largest one, maxNeedMerit the most for small needs.
	needScale    = 0.7
	maxNeedMerit = 1.2
	// returningMerit is added for a request that was refused before: its client has waited already, and
	// a second refusal leaves it no time for a third attempt.
	returningMerit = 0.8
)

// share returns the admission probability at a price: 1 up to the merit, falling to minShare within a
// band of 1. Beyond it the remaining requests are thinned out slowly, so that an overload by minimum
// shares alone ends too. above is the number of more important ranks at the service.
func (c *Controller) share(price, merit, minShare float64, above int) float64 {
	excess := price - merit
	switch {
	case excess <= 0:
		return 1
	case excess < 1:
		return 1 - (1-minShare)*excess
	default:
		return minShare * math.Exp(-max(excess-thinAfter(above), 0))
	}
}

// minThinRanks is the least number of ranks that are reduced before a route gets less than its minimum share.
const minThinRanks = 2

// thinAfter is how far a price must have passed a merit before a route gets less than its minimum
// share: far enough that the routes of all more important ranks are reduced first, those of the highest
// one unless their needs are small.
func thinAfter(above int) float64 { return rankStep * float64(max(above, minThinRanks)+1) }

// refresh computes the standings anew if they are too old, and removes routes, needs and services that
// were not seen lately, since a new configuration may not have them any more.
func (c *Controller) refresh(now time.Duration) {
	if c.standings != nil && now-c.sortedAt < rankingInterval {
		return
	}
	c.standings, c.sortedAt = map[needKey]standing{}, now
	c.removeUnseen(now)
	largest := map[string]float64{} // need of a service among all routes
	for _, r := range c.routes {
		for service, n := range r.needs {
			largest[service] = max(largest[service], n.slotTime)
		}
	}
	for _, r := range c.routes {
		for service, n := range r.needs {
			key := needKey{service, r.rank}
			s := c.standings[key]
			s.negligible = negligibleNeed * largest[service]
			s.largest = max(s.largest, n.slotTime)
			s.needed = s.needed || n.counts(s.negligible)
			c.standings[key] = s
		}
	}
	c.rankRoutes()
	for _, r := range c.routes {
		for service, n := range r.needs {
			n.standing, n.ranked = c.standings[needKey{service, r.rank}], true
		}
	}
}

// rankRoutes counts the ranks below each standing. A rank does not count if its routes have been served
// here without the service: refusing them would yield nothing there, and a price could not come up to
// the merits above them. A rank that was not seen counts, since its routes may need the service at other
// nodes and all nodes must keep one order.
func (c *Controller) rankRoutes() {
	served := map[int]bool{}
	for _, r := range c.routes {
		if r.served {
			served[r.rank] = true
		}
	}
	for key, s := range c.standings {
		s.rank = key.rank
		for rank := range served {
			if rank < key.rank && !c.standings[needKey{key.service, rank}].needed {
				s.rank--
			}
		}
		c.standings[key] = s
	}
	highest := map[string]int{} // rank at each service
	for key, s := range c.standings {
		if s.needed {
			highest[key.service] = max(highest[key.service], s.rank)
		}
	}
	for key, s := range c.standings {
		s.above = max(highest[key.service]-s.rank, 0)
		c.standings[key] = s
	}
}

func (c *Controller) removeUnseen(now time.Duration) {
	for name, r := range c.routes {
		if now-r.seenAt > routeExpiry {
			delete(c.routes, name)
			continue
		}
		for service, n := range r.needs {
			if now-n.seenAt > routeExpiry {
				delete(r.needs, service)
			}
		}
	}
	for name, s := range c.services {
		if now-s.sampledAt > routeExpiry {
			delete(c.services, name) // its price has decayed
		}
	}
}

// Price returns the current price of a service and its offered load; 0 if there are none.
func (c *Controller) Price(now time.Duration, name string) (price, offered float64) {
	s := c.services[name]
	if s == nil {
		return 0, 0
	}
	return s.current(now, &c.config), s.offered
}

// ForEachService calls f for each service with a price above 0.
func (c *Controller) ForEachService(now time.Duration, f func(name string, price, offered float64)) {
	for name, s := range c.services {
		if price := s.current(now, &c.config); price > 0 {
			f(name, price, s.offered)
		}
	}
}
