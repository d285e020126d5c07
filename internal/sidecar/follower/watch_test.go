package follower

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/settings"
	. "github.com/onsi/gomega"
)

// fakeMembers implements ZoneCount only.
type fakeMembers struct {
	Members
	zones int
}

// ZoneCount implements Members.
func (m fakeMembers) ZoneCount() int { return m.zones }

// Guards against watches of the followers of all zones exceeding their share, 0.4, of the store's
// read rate limit.
func TestWatchIntervalKeepsToStoreRate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		zones int
		rate  float64 // reads per second; 0 if unknown
		want  time.Duration
	}{
		{"rate unknown", 6, 0, 0},
		{"a large store", 6, 16_000, 937500 * time.Nanosecond},
		{"many zones, a small store", 29, 145, 500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			checked := &settings.Settings{Node: "node-0", Zone: "zone-0", Store: settings.Store{ReadsPerSecond: tc.rate}}
			f := New(Options{Settings: func() *settings.Settings { return checked }, Members: fakeMembers{zones: tc.zones}})
			g.Expect(f.rateLimitInterval()).To(BeNumerically("~", tc.want, time.Microsecond))
		})
	}
}
