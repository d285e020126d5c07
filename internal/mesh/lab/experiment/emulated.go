package experiment

import (
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/emulator"
)

// Emulate runs an experiment in virtual time with one variant and one seed.
func Emulate(e *Experiment, variant emulator.Variant, seed uint64) (*emulator.Result, error) {
	return Trace(e, variant, seed, 0, nil)
}

// Trace is Emulate with a callback that samples the state of every service at
// each interval.
func Trace(e *Experiment, variant emulator.Variant, seed uint64, interval time.Duration, onSample func([]emulator.Sample)) (*emulator.Result, error) {
	d, err := deployment.ByName(e.Deployment)
	if err != nil {
		return nil, err
	}
	mix := mixWithShares(d, e.Mix)
	d.Mix = mix
	capacity, _ := d.Capacity(mix)
	plan := emulator.Plan{
		Deployment: d, Mechanisms: variant.Mechanisms, Seed: seed, Length: time.Duration(e.Length),
		Callers: emulator.Callers{Rate: capacity * e.Load, Resend: e.Resend, Backoff: time.Duration(e.Backoff), Mix: mix},
	}
	for _, event := range e.Events {
		plan.Changes = append(plan.Changes, changesOf(d, event, plan.Callers)...)
	}
	for at := interval; interval > 0 && at < plan.Length; at += interval {
		plan.Changes = append(plan.Changes, emulator.Change{At: at, Apply: func(c *emulator.Control) { onSample(c.Sample()) }})
	}
	return emulator.Run(plan), nil
}

// changesOf returns the changes that start and end an event.
func changesOf(d *deployment.Deployment, event Event, normal emulator.Callers) []emulator.Change {
	from, until := time.Duration(event.At), time.Duration(event.Until)
	span := func(begin, end func(*emulator.Control)) []emulator.Change {
		return []emulator.Change{{At: from, Apply: begin}, {At: until, Apply: end}}
	}
	callers := func(change func(*emulator.Callers)) []emulator.Change {
		return span(func(c *emulator.Control) { c.SetCallers(change) }, func(c *emulator.Control) {
			c.SetCallers(func(now *emulator.Callers) { restore(event.Kind, now, normal) })
		})
	}
	switch event.Kind {
	case "slow":
		return span(func(c *emulator.Control) { c.SetSlowdown(event.Service, event.Target, event.Factor) },
			func(c *emulator.Control) { c.SetSlowdown(event.Service, event.Target, 1) })
	case "reset":
		return span(func(c *emulator.Control) { c.SetReset(event.Service, event.Target, event.Factor) },
			func(c *emulator.Control) { c.SetReset(event.Service, event.Target, 0) })
	case "dead":
		return span(func(c *emulator.Control) { c.SetDead(event.Service, event.Target, true) },
			func(c *emulator.Control) { c.SetDead(event.Service, event.Target, false) })
	case "zone_lost":
		return span(func(c *emulator.Control) { c.CutZone(event.Zone, true) }, func(c *emulator.Control) { c.CutZone(event.Zone, false) })
	case "surge":
		return callers(func(now *emulator.Callers) { now.Rate = normal.Rate * event.Factor })
	case "resend":
		return callers(func(now *emulator.Callers) { now.Resend, now.Backoff = event.Resend, time.Duration(event.Backoff) })
	case "mix":
		return callers(func(now *emulator.Callers) { now.Mix = mixWithShares(d, event.Mix) })
	case "restart":
		return []emulator.Change{{At: from, Apply: func(c *emulator.Control) { c.Restart(event.Target, restartDuration) }}}
	case "rolling_restart":
		return rollingRestart(d, from, until)
	default: // store_down: requests do not depend on the store
		return nil
	}
}

const restartDuration = 300 * time.Millisecond

func restore(kind string, now *emulator.Callers, normal emulator.Callers) {
	switch kind {
	case "surge":
		now.Rate = normal.Rate
	case "resend":
		now.Resend, now.Backoff = normal.Resend, normal.Backoff
	case "mix":
		now.Mix = normal.Mix
	}
}

// rollingRestart restarts the nodes of all targets one after the other.
func rollingRestart(d *deployment.Deployment, from, until time.Duration) []emulator.Change {
	total := 0
	for _, service := range d.Services {
		total += service.Targets
	}
	var changes []emulator.Change
	for index := range total {
		at := from + (until-from)*time.Duration(index)/time.Duration(total)
		changes = append(changes, emulator.Change{At: at, Apply: func(c *emulator.Control) { c.Restart(c.Targets()[index], restartDuration) }})
	}
	return changes
}
