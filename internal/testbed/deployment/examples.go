package deployment

import (
	"time"

	"github.com/landingmast/landingmast/internal/testbed/target"
)

// ThreeDeep is a small mesh: front calls middle, middle calls deep twice, and
// orders, which may run at most once, call deep.
func ThreeDeep() Plan {
	return Plan{
		Zones: []string{"a", "b"}, Delay: time.Millisecond,
		Services: map[string]Service{
			"front":  {Targets: 3, Slots: 20, Works: []target.Work{{Prefix: "/front/", Time: 20 * time.Millisecond, Bytes: 1500, Calls: []target.Call{{Host: Host, Path: "/middle/x", Times: 1}}}}},
			"middle": {Targets: 2, Slots: 20, Works: []target.Work{{Prefix: "/middle/", Time: 5 * time.Millisecond, Bytes: 300, Calls: []target.Call{{Host: Host, Path: "/deep/x", Times: 2}}}, {Prefix: "/order/", Time: 30 * time.Millisecond, Bytes: 500, Calls: []target.Call{{Host: Host, Path: "/deep/x", Times: 1}}}}},
			"deep":   {Targets: 3, Slots: 8, Speeds: []float64{1.4, 1.4, 0.6}, Works: []target.Work{{Prefix: "/deep/", Time: 10 * time.Millisecond, Bytes: 200}}},
		},
		Routes: []Route{
			{Prefix: "/front/", Kind: "safe", Service: "front", Priority: 2, MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, PerSecond: 100},
			{Prefix: "/order/", Kind: "unsafe", Service: "middle", Priority: 0, MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, PerSecond: 40, Body: 300},
			{Prefix: "/middle/", Kind: "safe", Service: "middle", Priority: 1, MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond},
			{Prefix: "/deep/", Kind: "safe", Service: "deep", Priority: 1, MaxAttempts: 2, Timeout: time.Second, Objective: 300 * time.Millisecond, Deadline: time.Second, PerSecond: 50},
		},
	}
}

// calmLoad keeps the tests short: what counts here is who is at an end, not how many.
const calmLoad = 0.25

// WithSpares is the small mesh with targets enough to lose some, and the bound of the users'
// routes on the targets of one request.
func WithSpares() Plan {
	plan := ThreeDeep()
	for _, name := range []string{"front", "middle", "deep"} {
		service := plan.Services[name]
		service.Targets = 6
		plan.Services[name] = service
	}
	front := plan.Services["front"]
	front.Works = append([]target.Work{{Prefix: "/front/chain", Time: 5 * time.Millisecond, Bytes: 100, Calls: []target.Call{{Host: Host, Path: "/deep/harmful", Times: 1}}}}, front.Works...)
	plan.Services["front"] = front
	for index := range plan.Routes {
		plan.Routes[index].MaxAttempts = 3
		plan.Routes[index].PerSecond *= calmLoad
	}
	return plan
}
