package services

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/core/balancer"
	"github.com/landingmast/landingmast/internal/core/retrybudget"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	. "github.com/onsi/gomega"
)

// Guards against using client requests to probe an unresponsive node, which delays or fails them.
func TestUnresponsiveNodeIsSkippedUntilPingSucceeds(t *testing.T) {
	for _, tc := range []struct {
		name      string
		outage    time.Duration
		pingDelay time.Duration // until a ping to the unresponsive node fails
	}{
		{"frozen", 4 * time.Second, peer.PingTimeout},
		{"killed", 1500 * time.Millisecond, time.Millisecond},
		{"long outage", 40 * time.Second, peer.PingTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				started := time.Now()
				now := func() time.Duration { return time.Since(started) }
				s := New(Options{Node: "me", Zone: "a", Now: now, Budget: retrybudget.Config{Window: 10 * time.Second}, FirstStart: true})
				s.SetTargets(map[string][]balancer.Target{"s": {
					{Node: "well", Address: "well:1", Zone: "b", Instance: "i-1", Slots: 10}, {Node: "silent", Address: "silent:1", Zone: "a", Instance: "i-2", Slots: 10},
				}})
				var pings atomic.Int32
				ping := func(ctx context.Context, address string) error {
					if address == "silent:1" && now() < tc.outage {
						pings.Add(1)
						time.Sleep(tc.pingDelay)
						return errors.New("no answer")
					}
					return nil
				}
				l := peer.NewLiveness(now, ping, peer.Events{Unresponsive: s.Suspect, PingFailed: s.Suspect, Recovered: s.ClearSuspicion})
				defer l.Close()
				l.StartRecovery("silent", "silent:1")
				s.Suspect("silent")
				for now() < tc.outage {
					time.Sleep(50 * time.Millisecond)
					if now() < tc.outage {
						g.Expect(s.Get("s").Pick(now(), balancer.Requirement{}, nil).Node).To(Equal("well"), "at %s", now())
					}
				}
				time.Sleep(peer.PingTimeout + peer.RecoveryPingInterval + time.Millisecond)
				picked := s.Get("s").Pick(now(), balancer.Requirement{}, nil)
				g.Expect(picked.Node).To(Equal("silent"), "recovered target in the same zone")
				g.Expect(pings.Load()).To(BeNumerically("<=", tc.outage/peer.RecoveryPingInterval+1))
			})
		})
	}
}
