package quotas

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/configuration"
	. "github.com/onsi/gomega"
)

// Guards against a node at rest that wakes up for each shard separately.
func TestShardsWithoutLimitsWakeTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		var mutex sync.Mutex
		wakes := map[time.Duration]bool{}
		options := Options{Configuration: configuration.New(nil, nil), Now: func() time.Duration {
			mutex.Lock()
			defer mutex.Unlock()
			wakes[time.Since(start)] = true
			return time.Since(start)
		}}
		limiter := NewLimiter(options, NewKeepers(""), nil)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for shard := range Shards {
			group.Go(func() { limiter.Run(ctx, shard) })
			time.Sleep(37 * time.Millisecond)
		}
		time.Sleep(10*time.Second - time.Since(start))
		cancel()
		group.Wait()
		intervals := int(10 * time.Second / requestInterval)
		g.Expect(len(wakes)).To(And(BeNumerically(">=", intervals-1), BeNumerically("<=", intervals+Shards)))
	})
}
