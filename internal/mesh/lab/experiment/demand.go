package experiment

import (
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

// demand is the offered load of a deployment at one time and the slots that
// serve it.
type demand struct {
	deployment *deployment.Deployment
	rate       float64
	mix        []deployment.Traffic
	slots      map[string]float64 // by service
	slowdown   map[string]float64 // factor on the service times, by service
}

// demandAt returns the demand of an experiment at a time after its start.
func demandAt(e *Experiment, at time.Duration) (*demand, error) {
	d, err := deployment.ByName(e.Deployment)
	if err != nil {
		return nil, err
	}
	mix := mixWithShares(d, e.Mix)
	capacity, _ := d.Capacity(mix)
	now := &demand{deployment: d, rate: capacity * e.Load, mix: mix, slots: map[string]float64{}, slowdown: map[string]float64{}}
	for index := range d.Services {
		service := &d.Services[index]
		now.slowdown[service.Name] = 1
		for target := range service.Targets {
			now.slots[service.Name] += float64(service.Slots(target))
		}
	}
	for _, event := range e.Events {
		if at >= time.Duration(event.At) && at < time.Duration(event.Until) {
			now.apply(event)
		}
	}
	return now, nil
}

func (d *demand) apply(event Event) {
	switch event.Kind {
	case "surge":
		d.rate *= event.Factor
	case "mix":
		d.mix = mixWithShares(d.deployment, event.Mix)
	case "slow":
		if event.Target == "" {
			d.slowdown[event.Service] = event.Factor
		}
	case "dead", "reset":
		service := d.deployment.Service(event.Service)
		d.slots[event.Service] *= float64(service.Targets-1) / float64(service.Targets)
	case "zone_lost":
		zones := float64(len(d.deployment.Zones))
		for name := range d.slots {
			d.slots[name] *= (zones - 1) / zones
		}
	}
}

// attainable returns the highest rate of user requests per second that can
// complete, by class and in total, if slots are assigned in order of importance
// and no work is wasted. Classes of one level are served in the order of the mix.
func (d *demand) attainable() (byClass map[string]float64, total float64) {
	byClass = map[string]float64{}
	shares := 0.0
	levels := map[int][]deployment.Traffic{}
	for _, traffic := range d.mix {
		shares += traffic.Share
		level := d.levelOf(traffic.Class)
		levels[level] = append(levels[level], traffic)
	}
	order := make([]int, 0, len(levels))
	for level := range levels {
		order = append(order, level)
	}
	sort.Ints(order)
	remaining := map[string]float64{}
	for name, slots := range d.slots {
		remaining[name] = slots
	}
	for _, level := range order {
		for _, traffic := range levels[level] {
			rate := d.rate * traffic.Share / shares
			served := rate * d.allocate(remaining, traffic, rate)
			byClass[traffic.Class] = served
			total += served
		}
	}
	return byClass, total
}

func (d *demand) levelOf(class string) int {
	for _, known := range d.deployment.Classes {
		if known.Name == class {
			for index, level := range d.deployment.Levels {
				if level == known.Importance {
					return index
				}
			}
		}
	}
	return len(d.deployment.Levels)
}

// allocate returns the share of a class that fits into the remaining slots and
// subtracts the slots it uses.
func (d *demand) allocate(remaining map[string]float64, traffic deployment.Traffic, rate float64) float64 {
	occupancy := map[string]float64{}
	d.addOccupancy(occupancy, traffic.Service, traffic.Method, traffic.Path)
	share := 1.0
	for name, seconds := range occupancy {
		share = min(share, remaining[name]/(rate*seconds))
	}
	for name, seconds := range occupancy {
		remaining[name] = max(remaining[name]-rate*share*seconds, 0)
	}
	return share
}

// roundTrip returns the mean network time of a downstream call in seconds, with
// targets chosen uniformly from all zones. The caller's slot is occupied for it.
func (d *demand) roundTrip() float64 {
	zones := float64(len(d.deployment.Zones))
	return 2 * d.deployment.ZoneDelay.Seconds() * (zones - 1) / zones
}

// addOccupancy adds the seconds for which a request occupies a slot, by service,
// and returns the time of this call including its downstream calls.
func (d *demand) addOccupancy(occupancy map[string]float64, service, method, path string) float64 {
	route := d.deployment.Service(service).Route(method, path)
	seconds := route.Mean.Seconds() * d.slowdown[service]
	for _, call := range route.Calls {
		seconds += d.addOccupancy(occupancy, call.Service, call.Method, call.Path) + d.roundTrip()
	}
	occupancy[service] += seconds
	return seconds
}
