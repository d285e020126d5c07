package balancer

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
	. "github.com/onsi/gomega"
)

// reportIdle reports a target with one of ten slots in use.
func reportIdle(b *Balancer, now time.Duration, node string, serviceTime time.Duration) {
	b.Report(now, b.Endpoint(node), slots.Load{Slots: 10, Running: 1, ServiceTime: serviceTime})
}

// A slower target in the own zone is preferred unless the response would be late.
func TestOwnZoneIsPreferredWithinTheTimeout(t *testing.T) {
	for _, tc := range []struct {
		name      string
		near, far time.Duration // latency there
		timeout   time.Duration
		bytes     int64
		want      string
	}{
		{"small part of the timeout", 31 * time.Millisecond, 14 * time.Millisecond, 300 * time.Millisecond, 600, "near"},
		{"half of the timeout", 150 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 6000, "near"},
		{"most of the timeout", 240 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 6000, "far"},
		{"above the timeout in both", 900 * time.Millisecond, 600 * time.Millisecond, 300 * time.Millisecond, 6000, "far"},
		{"no timeout", 31 * time.Millisecond, 14 * time.Millisecond, 0, 600, "near"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			b := newTwoZoneBalancer()
			reportIdle(b, time.Second, "near", tc.near)
			reportIdle(b, time.Second, "far", tc.far)
			for range 60 {
				b.Answered(time.Second, b.Endpoint("near"), "c", tc.bytes, tc.near)
				b.Answered(time.Second, b.Endpoint("far"), "c", tc.bytes, tc.far)
			}
			g.Expect(b.Pick(time.Second, Requirement{Class: "c", Timeout: tc.timeout}, nil, false).Node).To(Equal(tc.want))
		})
	}
}

// Requests of one class can take equally long at targets with different service times because
// they wait for downstream calls. The measured latency must decide then.
func TestLatencySamplesOverrideServiceTimes(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	reportIdle(b, time.Second, "near", 400*time.Millisecond)
	reportIdle(b, time.Second, "far", 200*time.Millisecond)
	need := Requirement{Class: "lookup", Timeout: 300 * time.Millisecond}
	b.Answered(time.Second, b.Endpoint("far"), "lookup", 600, 150*time.Millisecond)
	g.Expect(b.Pick(time.Second, need, nil, false).Node).To(Equal("far"), "by service times alone")
	b.Answered(time.Second, b.Endpoint("near"), "lookup", 600, 160*time.Millisecond)
	g.Expect(b.Pick(time.Second, need, nil, false).Node).To(Equal("near"))
}

// A target that was slow must be tried again without any new information about it.
func TestLatencySamplesExpire(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	b.Answered(time.Second, b.Endpoint("near"), "c", 600, time.Second)
	b.Answered(time.Second, b.Endpoint("far"), "c", 600, 20*time.Millisecond)
	need := Requirement{Class: "c", Timeout: 300 * time.Millisecond}
	g.Expect(b.Pick(time.Second, need, nil, false).Node).To(Equal("far"))
	for now := time.Second; now < 10*time.Second; now += 100 * time.Millisecond {
		b.Answered(now, b.Endpoint("far"), "c", 600, 20*time.Millisecond)
	}
	g.Expect(b.Pick(10*time.Second, need, nil, false).Node).To(Equal("near"))
}

func TestOnlyAllowedTargetsArePicked(t *testing.T) {
	g := NewWithT(t)
	b := newTwoZoneBalancer()
	g.Expect(b.Pick(0, Requirement{Allowed: map[string]bool{"far": true}}, nil, true).Node).To(Equal("far"))
	g.Expect(b.Pick(0, Requirement{Allowed: map[string]bool{"far": true}}, map[string]bool{"far": true}, true)).To(BeNil())
}

func TestMechanismsCanBeDisabled(t *testing.T) {
	for _, tc := range []struct {
		name    string
		disable func(c *Config)
		enabled string // target picked with the mechanism enabled
	}{
		{"zones", func(c *Config) { c.NoZones = true }, "near"},
		{"losses", func(c *Config) { c.NoLosses = true }, "far"},
		{"samples", func(c *Config) { c.NoSamples = true }, "far"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			pick := func(config Config) string {
				b := New(config, "me", "a", zeroRandom{})
				b.Update([]Target{{Node: "near", Zone: "a", Slots: 10}, {Node: "far", Zone: "b", Slots: 10}})
				switch tc.name {
				case "zones":
					reportIdle(b, time.Second, "near", 40*time.Millisecond)
					reportIdle(b, time.Second, "far", 20*time.Millisecond)
				case "losses":
					for range 20 {
						b.Lost(time.Second, b.Endpoint("near"))
					}
				case "samples":
					for range 20 {
						b.Answered(time.Second, b.Endpoint("near"), "c", 600, 900*time.Millisecond)
						b.Answered(time.Second, b.Endpoint("far"), "c", 600, 100*time.Millisecond)
					}
				}
				return b.Pick(time.Second, Requirement{Class: "c", Timeout: time.Second}, nil, false).Node
			}
			config := DefaultConfig()
			enabled := pick(config)
			tc.disable(&config)
			g.Expect(enabled).To(Equal(tc.enabled))
			g.Expect(pick(config)).NotTo(Equal(tc.enabled))
		})
	}
}
