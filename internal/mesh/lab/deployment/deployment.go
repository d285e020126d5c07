// Package deployment describes the two meshes that landingmast was first made
// for, with the sizes, zones and delays of today, as data for the stand-ins, the
// emulator and the example files.
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

// Service is a service and how its back ends behave.
type Service struct {
	Name        string
	Targets     int
	MinSlots    int // slots of its targets are spread between these
	MaxSlots    int
	Connections int
	Routes      []Route
}

// Route is how a back end serves one kind of request.
type Route struct {
	Method string
	Path   string // prefix
	Mean   time.Duration
	Bytes  int
	Calls  []DeepCall // made one after the other, or all at once
	AtOnce bool
}

// DeepCall is a call that a back end makes.
type DeepCall struct {
	Service string
	Method  string
	Path    string
	Keyed   bool // derives a key from the key of the request it serves
}

// Traffic is one kind of outside request and its share of all.
type Traffic struct {
	Class   string
	Service string
	Method  string
	Path    string
	Share   float64
	Keyed   bool
}

// Slots gives the slots of a target, spread evenly over the service's range.
func (s *Service) Slots(target int) int {
	if s.Targets < 2 {
		return s.MaxSlots
	}
	return s.MinSlots + (s.MaxSlots-s.MinSlots)*target/(s.Targets-1)
}

// Route gives the route of a request, or nil.
func (s *Service) Route(method, path string) *Route {
	for index := range s.Routes {
		route := &s.Routes[index]
		if route.Method == method && len(path) >= len(route.Path) && path[:len(route.Path)] == route.Path {
			return route
		}
	}
	return nil
}

// Service gives the service of that name, or nil.
func (d *Deployment) Service(name string) *Service {
	for index := range d.Services {
		if d.Services[index].Name == name {
			return &d.Services[index]
		}
	}
	return nil
}

// Named gives a deployment by its mesh's name.
func Named(name string) (*Deployment, error) {
	for _, known := range []*Deployment{CoreArchive(), ExpenseClaims(), Bench()} {
		if known.Mesh == name {
			return known, nil
		}
	}
	return nil, fmt.Errorf("deployment %q is unknown (remedy: use core-archive or expense-claims)", name)
}

// shedSignal is how all the stand-in back ends say that they had not started.
func shedSignal() *bundle.ShedSignal {
	return &bundle.ShedSignal{Status: 503, Header: ShedHeader}
}

// ShedHeader is the header by which a stand-in back end says "not started".
const ShedHeader = "X-Load-Shed"

// Entries is the number of entries of a deployment.
const Entries = 2

// Bundle gives the deployment's bundle at a version; address gives the peer
// address of each node by name.
func (d *Deployment) Bundle(version int64, address func(node string) string) *bundle.Bundle {
	made := &bundle.Bundle{Mesh: d.Mesh, Version: version, Levels: d.Levels, MaxDepth: bundle.DefaultMaxDepth, UserHeader: "X-User", Classes: slices.Clone(d.Classes)}
	for index := range Entries {
		made.Entries = append(made.Entries, d.node(fmt.Sprintf("entry-%d", index+1), index, address))
	}
	for _, service := range d.Services {
		targets := make([]bundle.Node, 0, service.Targets)
		for index := range service.Targets {
			targets = append(targets, d.node(fmt.Sprintf("%s-%d", service.Name, index+1), index, address))
		}
		made.Services = append(made.Services, bundle.Service{Name: service.Name, Shed: shedSignal(), Targets: targets})
	}
	return made
}

func (d *Deployment) node(name string, index int, address func(string) string) bundle.Node {
	return bundle.Node{Name: name, Address: address(name), Zone: d.Zones[index%len(d.Zones)], Region: d.Region, State: bundle.Active}
}

// Capacity gives the user requests a second of a mix that the slots of the
// service that is used up first can serve, and that service. A slot is held
// while its request waits for deeper calls; delays of the network are left out.
func (d *Deployment) Capacity(mix []Traffic) (rate float64, bottleneck string) {
	total := 0.0
	held := map[string]float64{}
	for _, traffic := range mix {
		total += traffic.Share
		d.hold(held, traffic.Service, traffic.Method, traffic.Path, traffic.Share)
	}
	for index := range d.Services {
		service := &d.Services[index]
		slots := 0
		for target := range service.Targets {
			slots += service.Slots(target)
		}
		if held[service.Name] == 0 {
			continue
		}
		if limit := float64(slots) * total / held[service.Name]; rate == 0 || limit < rate {
			rate, bottleneck = limit, service.Name
		}
	}
	return rate, bottleneck
}

// hold adds the slot seconds of one request, and of its deeper calls, to held
// and gives its length.
func (d *Deployment) hold(held map[string]float64, service, method, path string, share float64) float64 {
	route := d.Service(service).Route(method, path)
	seconds := route.Mean.Seconds()
	for _, call := range route.Calls {
		seconds += d.hold(held, call.Service, call.Method, call.Path, share)
	}
	held[service] += seconds * share
	return seconds
}

// Pick gives the kind of request that a point in [0, 1) falls on; the shares of
// the mix may sum up to any number.
func Pick(mix []Traffic, point float64) *Traffic {
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
