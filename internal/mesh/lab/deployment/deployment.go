// Package deployment describes the example meshes (services, zones, delays and
// traffic) for the fake backends, the emulator and the example files.
package deployment

import (
	"fmt"
	"slices"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
)

// Deployment is one mesh.
type Deployment struct {
	Mesh        string
	Region      string
	Zones       []string
	ZoneDelay   time.Duration // between zones, one way
	ClientDelay time.Duration // to callers, one way
	Levels      []string
	Services    []Service
	Classes     []bundle.Class
	Mix         []Traffic
}

// Service is a service and the behaviour of its backends.
type Service struct {
	Name        string
	Targets     int
	MinSlots    int // concurrency of its targets ranges from MinSlots to MaxSlots
	MaxSlots    int
	Connections int
	Routes      []Route
}

// Route describes how a backend serves one kind of request.
type Route struct {
	Method     string
	Path       string // prefix
	Mean       time.Duration
	Bytes      int
	Calls      []DownstreamCall // sequential, or concurrent if Concurrent is set
	Concurrent bool
}

// DownstreamCall is a call that a backend makes to another service.
type DownstreamCall struct {
	Service string
	Method  string
	Path    string
	Keyed   bool // derives its idempotency key from that of the request being served
}

// Traffic is one kind of external request and its share of the mix.
type Traffic struct {
	Class   string
	Service string
	Method  string
	Path    string
	Share   float64
	Keyed   bool
}

// Slots returns the number of slots of a target, spaced evenly over the range of the
// service.
func (s *Service) Slots(target int) int {
	if s.Targets < 2 {
		return s.MaxSlots
	}
	return s.MinSlots + (s.MaxSlots-s.MinSlots)*target/(s.Targets-1)
}

// Route returns the route that matches a request, or nil.
func (s *Service) Route(method, path string) *Route {
	for index := range s.Routes {
		route := &s.Routes[index]
		if route.Method == method && len(path) >= len(route.Path) && path[:len(route.Path)] == route.Path {
			return route
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (d *Deployment) Service(name string) *Service {
	for index := range d.Services {
		if d.Services[index].Name == name {
			return &d.Services[index]
		}
	}
	return nil
}

// ByName returns the deployment with the given mesh name.
func ByName(name string) (*Deployment, error) {
	for _, candidate := range []*Deployment{CoreArchive(), ExpenseClaims(), Bench()} {
		if candidate.Mesh == name {
			return candidate, nil
		}
	}
	return nil, fmt.Errorf("deployment %q is unknown (remedy: use core-archive or expense-claims)", name)
}

// shedSignal returns the signal by which fake backends report that they rejected a
// request before starting it.
func shedSignal() *bundle.ShedSignal {
	return &bundle.ShedSignal{Status: 503, Header: ShedHeader}
}

// ShedHeader is the response header of a fake backend that rejected a request before
// starting it.
const ShedHeader = "X-Load-Shed"

// EntryCount is the number of entry nodes in a deployment.
const EntryCount = 2

// Bundle returns a bundle of the deployment with the given version. The address
// function returns the peer address of a node.
func (d *Deployment) Bundle(version int64, address func(node string) string) *bundle.Bundle {
	result := &bundle.Bundle{Mesh: d.Mesh, Version: version, Levels: d.Levels, MaxDepth: bundle.DefaultMaxDepth, UserHeader: "X-User", Classes: slices.Clone(d.Classes)}
	for index := range EntryCount {
		result.Entries = append(result.Entries, d.node(fmt.Sprintf("entry-%d", index+1), index, address))
	}
	for _, service := range d.Services {
		targets := make([]bundle.Node, 0, service.Targets)
		for index := range service.Targets {
			targets = append(targets, d.node(fmt.Sprintf("%s-%d", service.Name, index+1), index, address))
		}
		result.Services = append(result.Services, bundle.Service{Name: service.Name, Shed: shedSignal(), Targets: targets})
	}
	return result
}

func (d *Deployment) node(name string, index int, address func(string) string) bundle.Node {
	return bundle.Node{Name: name, Address: address(name), Zone: d.Zones[index%len(d.Zones)], Region: d.Region, State: bundle.Active}
}

// Capacity returns the highest request rate of a mix that the deployment can serve,
// per second, and the service that limits it. A slot is held while its request waits
// for downstream calls; network delays are ignored.
func (d *Deployment) Capacity(mix []Traffic) (rate float64, bottleneck string) {
	total := 0.0
	slotSeconds := map[string]float64{}
	for _, traffic := range mix {
		total += traffic.Share
		d.addSlotSeconds(slotSeconds, traffic.Service, traffic.Method, traffic.Path, traffic.Share)
	}
	for index := range d.Services {
		service := &d.Services[index]
		slots := 0
		for target := range service.Targets {
			slots += service.Slots(target)
		}
		if slotSeconds[service.Name] == 0 {
			continue
		}
		if limit := float64(slots) * total / slotSeconds[service.Name]; rate == 0 || limit < rate {
			rate, bottleneck = limit, service.Name
		}
	}
	return rate, bottleneck
}

// addSlotSeconds adds the slot time of one request and of its downstream calls to
// slotSeconds and returns the duration of the request in seconds.
func (d *Deployment) addSlotSeconds(slotSeconds map[string]float64, service, method, path string, share float64) float64 {
	route := d.Service(service).Route(method, path)
	seconds := route.Mean.Seconds()
	for _, call := range route.Calls {
		seconds += d.addSlotSeconds(slotSeconds, call.Service, call.Method, call.Path, share)
	}
	slotSeconds[service] += seconds * share
	return seconds
}

// PickTraffic selects a kind of request by a point in [0, 1), in proportion to the shares of
// the mix, which need not sum to 1.
func PickTraffic(mix []Traffic, point float64) *Traffic {
	total := 0.0
	for index := range mix {
		total += mix[index].Share
	}
	point *= total
	for index := range mix {
		point -= mix[index].Share
		if point < 0 {
			return &mix[index]
		}
	}
	return &mix[len(mix)-1]
}
