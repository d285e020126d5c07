package metrics

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

// A scrape that is read slowly must not hold the lock of the admission control, or requests wait for it.
func TestSlowScrapeHoldsNoLock(t *testing.T) {
	g := NewWithT(t)
	var mutex sync.Mutex
	visited := make(chan struct{})
	collector := &priceCollector{each: func(f func(service string, price, offered float64)) {
		mutex.Lock()
		defer mutex.Unlock()
		close(visited)
		f("deep", 1.5, 1.2)
	}}
	metrics := make(chan prometheus.Metric)
	go func() {
		defer close(metrics)
		collector.Collect(metrics)
	}()
	<-visited
	g.Eventually(mutex.TryLock).WithTimeout(time.Second).Should(BeTrue())
	mutex.Unlock()
	count := 0
	for range metrics {
		count++
	}
	g.Expect(count).To(Equal(2), "price and offered load")
}
