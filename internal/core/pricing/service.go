package pricing

import (
	"math"
	"time"
)

// service holds the price of one service.
type service struct {
	price     float64
	offered   float64 // moving average
	sampledAt time.Duration
	sampled   bool
	wait      waitSignal
	tenants   map[string]*tenantRatio // nil: none is known
}

const (
	// maxStep is the longest time for which one sample moves the price.
	maxStep = 250 * time.Millisecond
	// maxError bounds the deviation from the setpoint that moves the price, since targets that fail
	// report loads far above 1 for a short time.
	maxError = 1.0
	// maxPrice bounds the price, and with it the time that it takes to fall.
	maxPrice = 10.0
	// negligiblePrice is a price that counts as 0.
	negligiblePrice = 0.01
)

// sample records a reported load and moves the price. Samples may arrive out of order.
func (s *service) sample(now time.Duration, offered float64, config *Config) {
	offered = min(offered, config.Setpoint+maxError)
	elapsed := max(now-s.sampledAt, 0)
	if !s.sampled || elapsed > config.Expiry {
		s.price = s.decayed(now, config)
		s.offered, s.sampledAt, s.sampled = offered, now, true
		return
	}
	s.offered += max(1-math.Exp(-float64(elapsed)/float64(config.Smoothing)), minSampleWeight) * (offered - s.offered)
	step := min(elapsed, maxStep).Seconds()
	deviation := max(min(s.deviation(now, config), maxError), -maxError)
	gain := config.Rise
	if deviation < 0 {
		gain = config.Fall
	}
	s.price += (gain*deviation - s.price/config.Leak.Seconds()) * step
	s.price = min(max(s.price, 0), maxPrice)
	s.sampledAt += elapsed
}

// minSampleWeight is the minimum weight of a sample, for samples in quick succession.
const minSampleWeight = 0.01

// current returns the price in force.
func (s *service) current(now time.Duration, config *Config) float64 {
	price := s.decayed(now, config)
	if now-s.sampledAt <= config.Expiry {
		price += config.Surcharge * max(min(s.deviation(now, config), maxError), 0)
	}
	if price < negligiblePrice {
		return 0
	}
	return price
}

// deviation returns how far the service is above the setpoint, by its offered load or by the waits of
// chains there.
func (s *service) deviation(now time.Duration, config *Config) float64 {
	return max(s.offered-config.Setpoint, waitScale*(s.wait.current(now)-bearableWait))
}

// decayed returns the integral, which decays once the samples have expired.
func (s *service) decayed(now time.Duration, config *Config) float64 {
	if age := now - s.sampledAt; age > config.Expiry {
		return s.price * math.Exp(-float64(age-config.Expiry)/float64(config.Decay))
	}
	return s.price
}
