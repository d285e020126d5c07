package experiment

import (
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

// demand is what is asked of a deployment at one time, and what it has.
type demand struct {
	deployment *deployment.Deployment
	rate       float64
	mix        []deployment.Traffic
	slots      map[string]float64 // by service
	slowdown   map[string]float64 // factor on the service times, by service
}

// demandAt gives the demand of an experiment at a time.
func demandAt(e *Experiment, at time.Duration) (*demand, error) {
	d, err := deployment.Named(e.Deployment)
	if err != nil {
		return nil, err
	}
	mix := mixOf(d, e.Mix)
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

func (n *demand) apply(event Event) {
	switch event.Kind {
	case "surge":
		n.rate *= event.Factor
	case "mix":
		n.mix = mixOf(n.deployment, event.Mix)
	case "slow":
		if event.Target == "" {
			n.slowdown[event.Service] = event.Factor
		}
	case "dead", "reset":
		service := n.deployment.Service(event.Service)
		n.slots[event.Service] *= float64(service.Targets-1) / float64(service.Targets)
	case "zone_lost":
		zones := float64(len(n.deployment.Zones))
		for name := range n.slots {
			n.slots[name] *= (zones - 1) / zones
		}
	}
}

// possible gives the user requests a second that could complete if slots were
// given out in the order of importance and nothing was wasted, by class and in
// all. Within a level every class gets the same share.
func (n *demand) possible() (byClass map[string]float64, total float64) {
	byClass = map[string]float64{}
	shares := 0.0
	levels := map[int][]deployment.Traffic{}
	for _, traffic := range n.mix {
		shares += traffic.Share
		level := n.levelOf(traffic.Class)
		levels[level] = append(levels[level], traffic)
	}
	order := make([]int, 0, len(levels))
	for level := range levels {
		order = append(order, level)
	}
	sort.Ints(order)
	left := map[string]float64{}
	for name, slots := range n.slots {
		left[name] = slots
	}
	for _, level := range order {
		for _, traffic := range levels[level] {
			rate := n.rate * traffic.Share / shares
			served := rate * n.take(left, traffic, rate)
			byClass[traffic.Class] = served
			total += served
		}
	}
	return byClass, total
}

func (n *demand) levelOf(class string) int {
	for _, known := range n.deployment.Classes {
		if known.Name == class {
			for index, level := range n.deployment.Levels {
				if level == known.Importance {
					return index
				}
			}
		}
	}
	return len(n.deployment.Levels)
}

// take gives the share of a class that fits what is left, and takes its slots.
func (n *demand) take(left map[string]float64, traffic deployment.Traffic, rate float64) float64 {
	held := map[string]float64{}
	n.hold(held, traffic.Service, traffic.Method, traffic.Path)
	share := 1.0
	for name, seconds := range held {
		share = min(share, left[name]/(rate*seconds))
	}
	for name, seconds := range held {
		left[name] = max(left[name]-rate*share*seconds, 0)
	}
	return share
}

// roundTrip is the mean time on the network of one deeper call, in seconds, with
// targets drawn evenly from all zones; the slot above is held meanwhile.
func (n *demand) roundTrip() float64 {
	zones := float64(len(n.deployment.Zones))
	return 2 * n.deployment.ZoneDelay.Seconds() * (zones - 1) / zones
}

func (n *demand) hold(held map[string]float64, service, method, path string) float64 {
	route := n.deployment.Service(service).Route(method, path)
	seconds := route.Mean.Seconds() * n.slowdown[service]
	for _, call := range route.Calls {
		seconds += n.hold(held, call.Service, call.Method, call.Path) + n.roundTrip()
	}
	held[service] += seconds
	return seconds
}
