package emulator

import "time"

// Sample is the state of a service at one time, summed over its targets.
type Sample struct {
	At      time.Duration
	Service string
	Slots   int
	Busy    int // slots in use
	Backlog int // requests queued in the back ends
	Limit   int // sum of the adaptive concurrency limits
	Queued  int // calls queued at the nodes
	Cursor  int // mean cursor
}

// Sample returns the current state of every service, in deployment order.
func (c *Control) Sample() []Sample {
	var samples []Sample
	for _, service := range c.sim.deployment.Services {
		sample := Sample{At: c.sim.clock.Now(), Service: service.Name}
		c.forEachNode(service.Name, "", func(n *node) {
			sample.Slots += n.backend.slots
			sample.Busy += n.backend.busy
			sample.Backlog += len(n.backend.queue)
			sample.Limit += n.gate.Limit()
			sample.Queued += n.gate.Queued()
			sample.Cursor += int(n.gate.Cursor())
		})
		sample.Cursor /= service.Targets
		samples = append(samples, sample)
	}
	return samples
}
