package follower

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	. "github.com/onsi/gomega"
)

// zones are members of a number of zones; nothing else is asked of them.
type zones struct {
	Members
	count int
}

// ZoneCount implements Members.
func (z zones) ZoneCount() int { return z.count }

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
			checked := &settings.Settings{Node: "node-0", Zone: "zone-0", Store: settings.Store{ReadsPerSecond: tc.rate}}
			f := New(Options{Settings: func() *settings.Settings { return checked }, Members: zones{count: tc.zones}})
			g.Expect(f.fairRest()).To(BeNumerically("~", tc.rest, time.Microsecond))
		})
	}
}
