package retrybudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestShareOfTheAllowance(t *testing.T) {
	const window = 10 * time.Second
	for _, tc := range []struct {
		name    string
		first   bool
		counts  []int           // numbers of members
		at      []time.Duration // times of the counts
		now     time.Duration
		want    float64 // of an allowance of 60
		because string
	}{
		{"no count", true, nil, nil, time.Second, 0, "a node without a member count must not use the whole allowance"},
		{"first start", true, []int{6}, []time.Duration{0}, time.Second, 10, "no earlier process of this node used any allowance"},
		{"restart", false, []int{6}, []time.Duration{0}, 9 * time.Second, 0, "the earlier process may have used its part in this window"},
		{"restart, one window later", false, []int{6}, []time.Duration{0}, 12 * time.Second, 10, "the retries of the earlier process are outside the window"},
		{"members join", true, []int{6, 12}, []time.Duration{0, time.Second}, time.Second, 5, "the allowance is divided by more members"},
		{"members leave", true, []int{6, 3}, []time.Duration{0, time.Second}, 12 * time.Second, 10, "the departed members may have used their parts"},
		{"members have left", true, []int{6, 3}, []time.Duration{0, time.Second}, 24 * time.Second, 20, "the parts are redistributed after two windows"},
		{"members return", true, []int{6, 3, 6}, []time.Duration{0, time.Second, 5 * time.Second}, 24 * time.Second, 10, "all members are present again"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s := NewAllowanceShare(window, tc.first)
			for i, n := range tc.counts {
				s.SetMembers(tc.at[i], n)
			}
			g.Expect(s.Part(tc.now, 60)).To(Equal(tc.want), tc.because)
		})
	}
}

// The limit must hold for all nodes together in every window, whenever nodes restart and lose
// their counts.
func TestBudgetHoldsOverRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes, allowance, window = 4, 8.0, 10 * time.Second
		type node struct {
			b     *Budget
			share *AllowanceShare
			since time.Duration
		}
		start := func(now time.Duration, first bool) *node {
			n := &node{b: New(Config{Ratio: 0.2, Window: window}), share: NewAllowanceShare(window, first), since: now}
			n.share.SetMembers(0, nodes)
			return n
		}
		all := make([]*node, nodes)
		for i := range all {
			all[i] = start(0, true)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			n := all[i]
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				all[i] = start(now, false)
			case 1, 2, 3, 4, 5:
				n.b.CountRequests(now-n.since, 1)
				requests = append(requests, now)
			default:
				n.b.SetBounds(0.2, n.share.Part(now-n.since, allowance))
				if n.b.Allows(now-n.since, 1) {
					n.b.CountRetries(now-n.since, 1)
					retries = append(retries, now)
				}
			}
		}
		count := func(events []time.Duration, end time.Duration) (sum int) {
			for _, at := range events {
				if at <= end && at > end-window {
					sum++
				}
			}
			return sum
		}
		for end := time.Duration(0); end < now+2*window; end += 250 * time.Millisecond {
			most := max(count(requests, end), count(requests, end-window/2), count(requests, end-window))
			if got := count(retries, end); float64(got) > 0.2*float64(most)+allowance+1e-9 {
				t.Fatalf("%d retries against %d requests in the window that ends at %s", got, most, end)
			}
		}
	})
}
