package emulator

import "time"

// Sample is the state of one service at a time, summed up over its targets.
type Sample struct {
	At      time.Duration
	Service string
	Slots   int
	Busy    int // slots in use
	Backlog int // requests waiting inside the back ends
	Limit   int // sum of the learned limits
	Queued  int // calls waiting at the nodes
	Cursor  int // mean cursor
}

// Sample gives the state of every service now, in the order of the deployment.
func (c *Control) Sample() []Sample {
	var samples []Sample
	for _, service := range c.world.deployment.Services {
		sample := Sample{At: c.world.clock.Now(), Service: service.Name}
		c.each(service.Name, "", func(n *node) {
			sample.Slots += n.backend.slots
			sample.Busy += n.backend.busy
			sample.Backlog += len(n.backend.waiting)
			sample.Limit += n.gate.Limit()
			sample.Queued += n.gate.Queued()
			sample.Cursor += int(n.gate.Cursor())
		})
		sample.Cursor /= service.Targets
		samples = append(samples, sample)
	}
	return samples
}
