package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The watches of one follower for each zone take 0.4 of the store's rate at most.
func TestFollowersKeepToTheStoresRate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		zones int
		rate  float64 // reading calls a second; 0: not known
		rest  time.Duration
	}{
		{"rate not known", 6, 0, 0},
		{"a large store", 6, 16_000, 937500 * time.Nanosecond},
		{"many zones, a small store", 29, 145, 500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			n := tellingNodes(t, tc.zones*2, tc.zones)[0]
			changed := *n.settings()
			changed.Store.ReadsPerSecond = tc.rate
			n.checked.Store(&changed)
			g.Expect(n.follower.fairRest()).To(BeNumerically("~", tc.rest, time.Microsecond))
		})
	}
}
