package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A target gets at most 1.5 times the rate that it states plus 5 requests in any 4 s.
const (
	window       = 4 * time.Second
	allowedShare = 1.5
	allowedExtra = 5
)

func allowed(rate float64) int { return int(allowedShare*rate*window.Seconds() + allowedExtra) }

// mostInWindow returns the most times within one window.
func mostInWindow(times []time.Duration) (most int) {
	from := 0
	for index, at := range times {
		for at-times[from] >= window {
			from++
		}
		most = max(most, index-from+1)
	}
	return most
}

func TestBucketKeepsStatedRateInEachWindow(t *testing.T) {
	for _, rate := range []float64{0, 0.4, 1, 3.6, 8.9, 1000} {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(1, 2))
		bucket, taken := NewBucket(0, rate), []time.Duration{}
		for now := time.Duration(0); now < time.Minute; now += time.Duration(random.Int64N(int64(2 * time.Millisecond))) {
			if random.IntN(3000) == 0 {
				now += time.Duration(random.Int64N(int64(5 * time.Second))) // a pause fills the bucket
			}
			if bucket.Take(now) {
				taken = append(taken, now)
			}
		}
		g.Expect(mostInWindow(taken)).To(BeNumerically("<=", allowed(rate)), "rate %v", rate)
		g.Expect(len(taken)).To(BeNumerically(">=", int(0.5*rate*time.Minute.Seconds())), "rate %v", rate)
		g.Expect(taken).NotTo(BeEmpty(), "rate %v", rate)
	}
}

func TestSharesKeepStatedRateTogether(t *testing.T) {
	for _, senders := range []int{1, 3, 16, 70, 400} {
		for _, rate := range []float64{0, 0.4, 3.6, 8.9, 1000} {
			g := NewWithT(t)
			shares := []*Bucket{}
			for rank := range senders {
				shares = append(shares, NewShare(0, rate, rank, senders))
			}
			taken := []time.Duration{}
			for now := 10 * time.Second; now < 30*time.Second; now += time.Millisecond {
				if now > 12*time.Second && now < 16*time.Second {
					continue // a pause fills all buckets
				}
				for _, share := range shares {
					if share.Take(now) {
						taken = append(taken, now)
					}
				}
			}
			g.Expect(mostInWindow(taken)).To(BeNumerically("<=", allowed(rate)), "rate %v, %d senders", rate, senders)
		}
	}
}

// Guards against senders without a part of the rate that never send again, and so never learn that the
// limit was lifted.
func TestEachSenderTriesAgain(t *testing.T) {
	g := NewWithT(t)
	const senders = 70
	for rank := range senders {
		share, tries := NewShare(0, 3.6, rank, senders), 0
		for now := time.Duration(0); now < 10*time.Minute; now += 100 * time.Millisecond {
			if share.Take(now) {
				tries++
			}
		}
		g.Expect(tries).To(BeNumerically(">=", 2), "rank %d", rank)
	}
}

func TestBucketWait(t *testing.T) {
	for _, tc := range []struct {
		name  string
		at    time.Duration
		count int
		wait  time.Duration
	}{
		{"empty", 0, 1, 250 * time.Millisecond},
		{"half a token", 125 * time.Millisecond, 1, 125 * time.Millisecond},
		{"one token", 250 * time.Millisecond, 1, 0},
		{"more than there are", 250 * time.Millisecond, 3, 500 * time.Millisecond},
		{"no more tokens than its depth", time.Minute, 5, 250 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(NewBucket(0, 4).Wait(tc.at, tc.count)).To(Equal(tc.wait))
		})
	}
}

func TestLowerRateTakesTokensAway(t *testing.T) {
	g := NewWithT(t)
	bucket := NewBucket(0, 10)
	g.Expect(bucket.Ready(time.Second)).To(BeTrue())
	bucket.SetRate(time.Second, 1)
	g.Expect(bucket.Take(time.Second)).To(BeTrue())
	g.Expect(bucket.Take(time.Second)).To(BeFalse())
}
