package pricing

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/landingmast/landingmast/internal/core/fairshare"
)

// tenantLoad divides the load of a simulation among tenants. A nil one has no tenants.
type tenantLoad struct {
	shares   []float64     // of the usual rate; also the weights
	factors  []float64     // on the usual rate
	noShares bool          // nodes know nothing of the tenants
	late     time.Duration // by which the reports on tenants are later than the others
	restart  time.Duration // when the gates lose what they measured; 0: never

	requests, done []map[int]int // by tenant and second of arrival
}

// zipfTenants returns tenants whose rates follow Zipf's law, of which one sends factor times its rate.
func zipfTenants(count, hot int, factor float64) *tenantLoad {
	const exponent = 1.2
	l, total := &tenantLoad{}, 0.0
	for index := range count {
		l.shares = append(l.shares, math.Pow(float64(index+1), -exponent))
		l.factors = append(l.factors, 1)
		l.requests = append(l.requests, map[int]int{})
		l.done = append(l.done, map[int]int{})
		total += l.shares[index]
	}
	for index := range l.shares {
		l.shares[index] /= total
	}
	l.factors[hot] = factor
	return l
}

// rate returns the load relative to the usual one.
func (l *tenantLoad) rate() float64 {
	if l == nil {
		return 1
	}
	sum := 0.0
	for index, share := range l.shares {
		sum += share * l.factors[index]
	}
	return sum
}

// request draws the tenant of a request.
func (l *tenantLoad) request(random *rand.Rand, second int) *tenantRequest {
	if l == nil {
		return nil
	}
	at := random.Float64() * l.rate()
	tenant := 0
	for ; tenant < len(l.shares)-1; tenant++ {
		if at -= l.shares[tenant] * l.factors[tenant]; at <= 0 {
			break
		}
	}
	l.requests[tenant][second]++
	return &tenantRequest{load: l, tenant: tenant}
}

// servedShare returns the requests of a tenant in the seconds [from, to) and the share of them that was served.
func (l *tenantLoad) servedShare(tenant, from, to int) (requests int, share float64) {
	done := 0
	for second := from; second < to; second++ {
		requests += l.requests[tenant][second]
		done += l.done[tenant][second]
	}
	return requests, float64(done) / float64(max(requests, 1))
}

// tenantRequest is a request of a tenant; a nil one has none.
type tenantRequest struct {
	load    *tenantLoad
	tenant  int
	ratios  float64 // sum over the calls
	reports int
}

func (t *tenantRequest) name() string {
	if t == nil || t.load.noShares {
		return ""
	}
	return strconv.Itoa(t.tenant)
}

// record counts a call at a gate.
func (t *tenantRequest) record(now time.Duration, g *simulatedGate, k *kind) {
	if t == nil {
		return
	}
	if restart := t.load.restart; restart > 0 && now >= restart && !g.restarted {
		g.meter, g.restarted = fairshare.NewMeter(), true
	}
	g.meter.Add(now, t.name(), t.load.shares[t.tenant], g.gate.ExpectedSlotTime(now, k.name))
}

// report adds what the gate reports of the tenant with the result of a call submitted at a time.
func (t *tenantRequest) report(now, submittedAt time.Duration, g *simulatedGate, k *kind) {
	if t == nil {
		return
	}
	t.ratios += g.meter.RatioBesides(now, t.name(), submittedAt, g.gate.ExpectedSlotTime(now, k.name))
	t.reports++
}

// observe passes the mean of the reports to the node at the start of the chain.
func (t *tenantRequest) observe(now time.Duration, s *simulation, c *Controller) {
	if t == nil || t.reports == 0 || t.load.noShares {
		return
	}
	s.after(now, t.load.late, func(known time.Duration) {
		c.ObserveTenant(known, t.name(), "scarce", t.ratios/float64(t.reports))
	})
}

func (t *tenantRequest) served(second int) {
	if t != nil {
		t.load.done[t.tenant][second]++
	}
}
