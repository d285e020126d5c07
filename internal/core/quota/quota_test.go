package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var testConfig = Config{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

var testLimit = Limit{Rate: 100, Burst: 50}

const shareTTL = 6 * time.Second

// exchange sends one report to the keeper and applies the response without delay.
func exchange(k *Keeper, h *Bucket, now time.Duration, process string, waiting int) int {
	report := h.Report(now, "t", waiting)
	return h.Allot(now, now, k.Allocate(now, process[:1], process, testLimit, report, shareTTL))
}

func newKeeper(now time.Duration) *Keeper { return NewKeeper(testConfig, 1, now, 1, PreviousKeeper{}) }

// sendRequests sends requests at a constant rate, with a report each second.
func sendRequests(k *Keeper, h *Bucket, from time.Duration, process string, perSecond int, span time.Duration) (admitted, sent int) {
	gap := time.Second / time.Duration(perSecond)
	for now := from; now < from+span; now += gap {
		if (now-from)%time.Second < gap {
			h.Add(now, exchange(k, h, now, process, 0))
		}
		sent++
		if h.Arrive(now) {
			admitted++
			continue
		}
		if !h.CanRequest(now) {
			continue
		}
		if tokens := exchange(k, h, now, process, 1); tokens > 0 {
			admitted++
			h.Add(now, tokens-1)
		}
	}
	return admitted, sent
}

func TestAdmitsAllRequestsBelowLimit(t *testing.T) {
	g := NewWithT(t)
	k, h := newKeeper(0), NewBucket(testConfig, testLimit, 0)
	admitted, sent := sendRequests(k, h, time.Second, "a/1", 80, 10*time.Second)
	g.Expect(admitted).To(Equal(sent))
}

func TestRejectsRequestsAboveLimit(t *testing.T) {
	g := NewWithT(t)
	k, h := newKeeper(0), NewBucket(testConfig, testLimit, 0)
	admitted, _ := sendRequests(k, h, time.Second, "a/1", 500, 10*time.Second)
	g.Expect(admitted).To(BeNumerically("<=", 50+75+10*100+10))
	g.Expect(admitted).To(BeNumerically(">=", 950))
	exchange(k, h, 12*time.Second, "a/1", 200)
	g.Expect(h.LimitReached()).To(BeTrue())
}

func TestSharesFollowDemand(t *testing.T) {
	g := NewWithT(t)
	k := newKeeper(0)
	busy, idle := NewBucket(testConfig, testLimit, 0), NewBucket(testConfig, testLimit, 0)
	for now := time.Second; now < 12*time.Second; now += 10 * time.Millisecond {
		if now < 4*time.Second || now%(100*time.Millisecond) == 0 {
			busy.Arrive(now)
		}
		if now >= 4*time.Second || now%(100*time.Millisecond) == 0 {
			idle.Arrive(now)
		}
		if now%time.Second == 0 {
			exchange(k, busy, now, "a/1", 0)
			exchange(k, idle, now, "b/1", 0)
		}
		if now == 3900*time.Millisecond {
			busyShare, _ := busy.Share(now)
			calmShare, _ := idle.Share(now)
			g.Expect(busyShare.Rate).To(BeNumerically(">", 5*calmShare.Rate))
		}
	}
	busyShare, _ := busy.Share(12 * time.Second)
	calmShare, _ := idle.Share(12 * time.Second)
	g.Expect(calmShare.Rate).To(BeNumerically(">", 3*busyShare.Rate))
}

func TestExpiredShareEmptiesBucket(t *testing.T) {
	g := NewWithT(t)
	k, h := newKeeper(0), NewBucket(testConfig, testLimit, 0)
	sendRequests(k, h, time.Second, "a/1", 50, 3*time.Second)
	share, left := h.Share(4 * time.Second)
	g.Expect(share.Rate).To(BeNumerically(">", 0))
	g.Expect(left).To(BeNumerically("<=", shareTTL))
	g.Expect(h.Take(4*time.Second + shareTTL)).To(BeFalse())
}

// A new keeper must not grant capacity that unreported nodes may hold; nodes keep the shares they
// report.
func TestNewKeeperRespectsExistingShares(t *testing.T) {
	g := NewWithT(t)
	old, a, b := newKeeper(0), NewBucket(testConfig, testLimit, 0), NewBucket(testConfig, testLimit, 0)
	sendRequests(old, a, time.Second, "a/1", 60, 3*time.Second)
	sendRequests(old, b, 4*time.Second, "b/1", 20, time.Second)
	now := 5 * time.Second
	held, _ := a.Share(now)
	k := NewKeeper(testConfig, 2, now, 1, PreviousKeeper{Listed: []string{"a", "b"}, MaxFraction: 1, ExpiresAt: now + shareTTL})
	g.Expect(exchange(k, a, now, "a/1", 5)).To(BeZero())
	k.MarkReported(now, "a")
	kept, _ := a.Share(now)
	g.Expect(kept.Rate).To(BeNumerically("<=", held.Rate))
	g.Expect(k.Unreported(now)).To(ConsistOf("b"))
	g.Expect(a.LimitReached()).To(BeFalse())
	now += time.Second
	exchange(k, b, now, "b/1", 0)
	k.MarkReported(now, "b")
	g.Expect(k.Unreported(now)).To(BeEmpty())
	g.Expect(exchange(k, a, now+time.Second, "a/1", 5)).To(BeNumerically(">=", 5))
}

// Only the maximum share is withheld for a node that has not reported.
func TestNewKeeperWithholdsMaximumForUnreportedNodes(t *testing.T) {
	g := NewWithT(t)
	now := 5 * time.Second
	k, h := NewKeeper(testConfig, 2, now, 0.3, PreviousKeeper{Listed: []string{"a", "b"}, MaxFraction: 0.3, ExpiresAt: now + shareTTL}), NewBucket(testConfig, testLimit, now)
	exchange(k, h, now, "a/1", 0)
	k.MarkReported(now, "a")
	given := 0
	for range 10 {
		now += 100 * time.Millisecond
		given += exchange(k, h, now, "a/1", 20)
	}
	g.Expect(given).To(BeNumerically("~", 70, 5), "70 % of the rate over one second")
}

func TestNewKeeperIsSettledAfterSharesExpire(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(testConfig, 2, time.Second, 1, PreviousKeeper{Listed: []string{"a"}, MaxFraction: 1, ExpiresAt: 7 * time.Second})
	g.Expect(k.Unreported(7*time.Second - 1)).To(ConsistOf("a"))
	g.Expect(k.Unreported(7 * time.Second)).To(BeEmpty())
}

// Keepers don't wait for reports of nodes that are permanently gone.
func TestPruneRemovesNodesWithoutShares(t *testing.T) {
	g := NewWithT(t)
	k, h := newKeeper(0), NewBucket(testConfig, testLimit, 0)
	k.AddListed(0, []string{"a", "b"})
	exchange(k, h, 0, "a/1", 0)
	g.Expect(k.Prune(3*time.Second, 2*time.Second)).To(BeTrue())
	g.Expect(k.Listed()).To(ConsistOf("a"))
	g.Expect(k.Prune(7*time.Second, 2*time.Second)).To(BeFalse())
	g.Expect(k.Prune(8*time.Second, 2*time.Second)).To(BeTrue())
	g.Expect(k.Listed()).To(BeEmpty())
}

func TestLoweredLimitScalesShare(t *testing.T) {
	g := NewWithT(t)
	k, h := newKeeper(0), NewBucket(testConfig, testLimit, 0)
	sendRequests(k, h, time.Second, "a/1", 80, 3*time.Second)
	now := 4 * time.Second
	before, _ := h.Share(now)
	h.SetLimit(now, Limit{Rate: 10, Burst: 5})
	after, _ := h.Share(now)
	g.Expect(after.Rate).To(BeNumerically("~", before.Rate/10, 0.01))
	g.Expect(after.Depth).To(BeNumerically("<", before.Depth/2))
}

func TestRetryDelayGrowsWithShortfall(t *testing.T) {
	g := NewWithT(t)
	k, h := newKeeper(0), NewBucket(testConfig, testLimit, 0)
	sendRequests(k, h, time.Second, "a/1", 120, 5*time.Second)
	slight := h.RetryAfter(6*time.Second, 5*time.Second)
	sendRequests(k, h, 6*time.Second, "a/1", 800, 3*time.Second)
	for range 100 {
		exchange(k, h, 9*time.Second, "a/1", 20)
	}
	heavy := h.RetryAfter(9*time.Second, 5*time.Second)
	g.Expect(heavy).To(BeNumerically(">", slight))
	g.Expect(h.RetryAfter(9*time.Second, 300*time.Millisecond)).To(BeNumerically("<=", 300*time.Millisecond))
}

func TestGiveBackReturnsToken(t *testing.T) {
	g := NewWithT(t)
	k, h := newKeeper(0), NewBucket(testConfig, testLimit, 0)
	sendRequests(k, h, time.Second, "a/1", 50, 3*time.Second)
	now := 4 * time.Second
	taken := 0
	for h.Take(now) {
		taken++
	}
	g.Expect(taken).To(BeNumerically(">", 0))
	h.Return(now)
	g.Expect(h.Take(now)).To(BeTrue())
	g.Expect(h.Take(now)).To(BeFalse())
}
