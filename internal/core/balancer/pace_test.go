package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/pace"
	"github.com/landingmast/landingmast/internal/core/slots"
	. "github.com/onsi/gomega"
)

// costWithoutPace is the cost of a target of a service without paces, as it was before there were any.
func costWithoutPace(b *Balancer, now time.Duration, e *Endpoint, need Requirement) float64 {
	sum, known := time.Duration(0), time.Duration(0)
	for _, e := range b.order {
		if e.report.ServiceTime > 0 {
			sum += e.report.ServiceTime
			known++
		}
	}
	mean := defaultServiceTime
	if known > 0 {
		mean = sum / known
	}
	classMean, zoneCost := float64(mean), crossZoneCost
	if stats := b.classes[need.Class]; stats != nil {
		if stats.latency > 0 {
			classMean = stats.latency
		}
		zoneCost = min(crossZoneCost+crossZoneCostPerKB*stats.responseBytes/1000, maxCrossZoneCost)
	}
	timeout := float64(need.Timeout)
	if timeout <= 0 {
		timeout = defaultTimeoutFactor * classMean
	}
	relative := 1.0
	if e.report.ServiceTime > 0 && mean > 0 {
		relative = float64(e.report.ServiceTime) / float64(mean)
	}
	latency := classMean * (1 + relative) / 2
	if stats := b.classes[need.Class]; stats != nil && stats.index < len(e.latencies) {
		if sample := e.latencies[stats.index]; sample.known && now-sample.at < latencyTTL {
			latency = sample.mean
		}
	}
	utilization := b.utilization(now, e)
	latency = latency * (1 + (saturationFactor-1)*min(utilization, 1)) * (1 + b.config.Noise*b.random.Float64())
	if now < e.ColdUntil {
		latency *= coldFactor
	}
	if utilization > 1 {
		latency *= utilization
	}
	cost := busyCost * min(max(utilization-busyThreshold, 0)/(1-busyThreshold), 1)
	cost += lossCost * e.decayedLossRate(now)
	if utilization > 1 {
		cost += queueCost + queueCostPerSlot*(utilization-1)
	}
	switch {
	case e.Node == b.node:
		cost -= localBonus
	case e.Zone != b.zone:
		latency += float64(crossZoneLatency)
		cost += zoneCost
	}
	return cost + latenessCost(latency/timeout)
}

// Services whose targets state no pace must be balanced exactly as before.
func TestCostWithoutPaceIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		b := New(DefaultConfig(), "a", "x", zeroRandom{})
		list := []Target{}
		for _, node := range []string{"a", "b", "c", "d"} {
			list = append(list, Target{Node: node, Zone: string("xy"[random.IntN(2)]), Instance: node, Slots: 10, ColdUntil: time.Duration(random.IntN(2)) * time.Hour})
		}
		b.Update(list)
		for step := range 30 {
			now := time.Duration(step+1) * 50 * time.Millisecond
			e := b.order[random.IntN(len(b.order))]
			span := time.Duration(random.IntN(200)+1) * time.Millisecond
			switch random.IntN(4) {
			case 0:
				b.Report(now, e, slots.Load{Slots: 10, Running: random.IntN(11), Waiting: random.IntN(20), ServiceTime: time.Duration(random.IntN(3)) * span})
			case 1:
				b.Answered(now, e, "c", int64(random.IntN(9000)), b.AtUsualPace("c", span, 0, random.Float64()))
			case 2:
				b.Sent(now, e)
			default:
				b.Lost(now, e)
			}
			need := Requirement{Class: "c", Timeout: time.Duration(random.IntN(3)) * 100 * time.Millisecond}
			profile := b.profile(need)
			profile.paced = b.pacedMeans(now, profile)
			for _, e := range b.order {
				g.Expect(b.cost(now, e, profile)).To(Equal(costWithoutPace(b, now, e, need)))
			}
		}
	}
}

// reportPace reports an idle target at a pace, with the service time that it leads to.
func reportPace(b *Balancer, now time.Duration, node string, factor float64) {
	b.Report(now, b.Endpoint(node), slots.Load{Slots: 10, Running: 1, ServiceTime: time.Duration(factor * float64(serviceTime)), Pace: factor})
}

func TestTargetThatIsSlowNowIsAvoidedForAShortTime(t *testing.T) {
	for _, tc := range []struct {
		name   string
		noPace bool
		after  time.Duration
		want   string
	}{
		{"at once", false, 0, "far"},
		{"when the figure is old", false, pace.MaxAge, "near"},
		{"switched off", true, 0, "near"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newTwoZoneBalancer()
			b.config.NoPace = tc.noPace
			for _, node := range []string{"near", "far"} {
				b.Answered(time.Second, b.Endpoint(node), "c", 600, serviceTime)
			}
			reportPace(b, time.Second, "near", 2.5)
			reportPace(b, time.Second, "far", 1)
			best := b.Pick(time.Second+tc.after, Requirement{Class: "c", Timeout: 300 * time.Millisecond}, nil, false)
			g.Expect(best.Node).To(Equal(tc.want))
		})
	}
}

// A latency must not count twice when its target was slow: as a sample and by the pace.
func TestLatencySamplesAreKeptAtTheUsualPace(t *testing.T) {
	for _, tc := range []struct {
		name   string
		factor float64
		share  float64
		want   time.Duration
	}{
		{"unknown pace", 0, 1, 100 * time.Millisecond},
		{"usual pace", 1, 1, 100 * time.Millisecond},
		{"slow", 2.5, 1, 40 * time.Millisecond},
		{"fast", 0.5, 1, 200 * time.Millisecond},
		{"slow, with downstream calls", 3, 0.5, 50 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newTwoZoneBalancer()
			g.Expect(b.AtUsualPace("c", 100*time.Millisecond, tc.factor, tc.share)).To(Equal(tc.want))
			b.config.NoPace = true
			g.Expect(b.AtUsualPace("c", 100*time.Millisecond, tc.factor, tc.share)).To(Equal(100 * time.Millisecond))
		})
	}
}

// A report without a service time must keep the last one, but not the pace that it contained.
func TestServiceTimeIsKeptWithoutItsPace(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	reportPace(b, time.Second, "near", 2.5)
	near := b.Endpoint("near")
	b.Report(time.Second, near, slots.Load{Slots: 10, Pace: 0.5})
	g.Expect(near.report.ServiceTime).To(Equal(serviceTime / 2))
	b.Report(time.Second, near, slots.Load{Slots: 10})
	g.Expect(near.report.ServiceTime).To(Equal(serviceTime))
}
