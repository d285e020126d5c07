package deployment

import (
	"time"

	"github.com/landingmast/landingmast/internal/testbed/target"
)

// ThreeTier returns a small three-tier deployment: front calls middle, middle calls deep
// twice, and the unsafe order route calls deep once.
func ThreeTier() Plan {
	return Plan{
		Zones: []string{"a", "b"}, Delay: time.Millisecond,
		Services: map[string]Service{
			"front":  {Targets: 3, Slots: 20, Works: []target.Work{{Prefix: "/front/", Time: 20 * time.Millisecond, Bytes: 1500, Calls: []target.Call{{Host: Host, Path: "/middle/x", Times: 1}}}}},
			"middle": {Targets: 2, Slots: 20, Works: []target.Work{{Prefix: "/middle/", Time: 5 * time.Millisecond, Bytes: 300, Calls: []target.Call{{Host: Host, Path: "/deep/x", Times: 2}}}, {Prefix: "/order/", Time: 30 * time.Millisecond, Bytes: 500, Calls: []target.Call{{Host: Host, Path: "/deep/x", Times: 1}}}}},
			"deep":   {Targets: 3, Slots: 8, Speeds: []float64{1.4, 1.4, 0.6}, Works: []target.Work{{Prefix: "/deep/", Time: 10 * time.Millisecond, Bytes: 200}}},
		},
		Routes: []Route{
			{Prefix: "/front/", Kind: Safe, Service: "front", Priority: 2, MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, RequestsPerSecond: 100},
			{Prefix: "/order/", Kind: Unsafe, Service: "middle", Priority: 0, MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, RequestsPerSecond: 40, Body: 300},
			{Prefix: "/middle/", Kind: Safe, Service: "middle", Priority: 1, MaxAttempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond},
			{Prefix: "/deep/", Kind: Safe, Service: "deep", Priority: 1, MaxAttempts: 2, Timeout: time.Second, Objective: 300 * time.Millisecond, Deadline: time.Second, RequestsPerSecond: 50},
		},
	}
}

// reducedLoad scales the request rates of ThreeTier in ThreeTierWithSpares, whose tests run longer
// and depend on which requests crash targets rather than on the request rate.
const reducedLoad = 0.25

// ThreeTierWithSpares returns ThreeTier with enough targets to lose some of each service and up to
// three attempts per request. Requests to /front/chain call /deep/harmful.
func ThreeTierWithSpares() Plan {
	plan := ThreeTier()
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
		plan.Routes[index].RequestsPerSecond *= reducedLoad
	}
	return plan
}
