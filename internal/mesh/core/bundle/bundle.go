// Package bundle holds the operators' intent: which services and targets there
// are, which requests matter most, which may run only once and how far retries
// go. A bundle is a versioned, signed document; see docs/CONFIGURATION.md.
package bundle

import (
	"strings"

	"github.com/landingmast/landingmast/internal/units"
)

// Execution says how often a request of a class may run.
type Execution string

// The execution rules.
const (
	// Repeatable requests may run any number of times.
	Repeatable Execution = "repeatable"
	// AtMostOnce requests run at most once for each key.
	AtMostOnce Execution = "at_most_once"
)

// TargetState says whether a target takes work.
type TargetState string

// The states of a target in a bundle.
const (
	Active  TargetState = "active"
	Joining TargetState = "joining"
	Leaving TargetState = "leaving"
)

// Bundle is the whole intent of one mesh at one version.
type Bundle struct {
	// Mesh names the mesh; nodes take bundles of their own mesh only.
	Mesh string `yaml:"mesh" json:"mesh"`
	// Version is the place in the mesh's one sequence: the one in force plus one.
	Version int64 `yaml:"version" json:"version"`
	// Levels are the importance levels, most important first.
	Levels []string `yaml:"levels" json:"levels"`
	// MaxDepth is the deepest chain that is let through, in hops; default 8.
	MaxDepth int `yaml:"max_depth" json:"max_depth"`
	// UserHeader names the caller's header that identifies a user; the users of
	// one level are shed in the same order at every hop.
	UserHeader string `yaml:"user_header" json:"user_header"`
	// Entries are the nodes without a target that serve outside callers.
	Entries []Node `yaml:"entries" json:"entries"`
	// Services are the services of the mesh.
	Services []Service `yaml:"services" json:"services"`
	// Classes are the request classes; the first that matches counts.
	Classes []Class `yaml:"classes" json:"classes"`
}

// Node is one process of landingmastd as others reach it.
type Node struct {
	// Name of the node, unique in the mesh.
	Name string `yaml:"name" json:"name"`
	// Address of its peer port, IP:port.
	Address string `yaml:"address" json:"address"`
	// Zone and Region where it runs.
	Zone   string `yaml:"zone" json:"zone"`
	Region string `yaml:"region,omitempty" json:"region,omitempty"`
	// State of the target beside it: active, joining or leaving.
	State TargetState `yaml:"state" json:"state"`
}

// Service is a named group of equal targets.
type Service struct {
	// Name of the service; callers name it in the Host header.
	Name string `yaml:"name" json:"name"`
	// Shed is how a target of this service says that it refused a request
	// before starting it; without it a refusal counts as an answer.
	Shed *ShedSignal `yaml:"shed,omitempty" json:"shed,omitempty"`
	// Targets are the nodes beside the targets of this service.
	Targets []Node `yaml:"targets" json:"targets"`
}

// ShedSignal is a status and a header that together mean "not started".
type ShedSignal struct {
	// Status of the refusal, 400 to 599.
	Status int `yaml:"status" json:"status"`
	// Header that is present on it, with any value.
	Header string `yaml:"header" json:"header"`
}

// Class is a kind of request and what is wanted for it.
type Class struct {
	// Name of the class, unique in the bundle.
	Name string `yaml:"name" json:"name"`
	// Service, Method and Path select the requests. An empty method is any; a
	// path that ends in / or * is a prefix.
	Service string `yaml:"service" json:"service"`
	Method  string `yaml:"method,omitempty" json:"method,omitempty"`
	Path    string `yaml:"path" json:"path"`
	// Importance is one of the bundle's levels. It counts where the chain
	// starts; deeper calls inherit it.
	Importance string `yaml:"importance" json:"importance"`
	// Execution is repeatable or at_most_once.
	Execution Execution `yaml:"execution" json:"execution"`
	// KeyHeader names the header with the key of an at-most-once request;
	// default Idempotency-Key.
	KeyHeader string `yaml:"key_header,omitempty" json:"key_header,omitempty"`
	// Retries bounds the retries of one user request over the whole chain.
	Retries int `yaml:"retries" json:"retries"`
	// Deadline bounds the whole request, e.g. 2s.
	Deadline units.Duration `yaml:"deadline" json:"deadline"`
}

// DefaultKeyHeader is the header that carries the key unless a class says otherwise.
const DefaultKeyHeader = "Idempotency-Key"

// DefaultMaxDepth is the deepest chain, in hops below the entry.
const DefaultMaxDepth = 8

// Match gives the first class that selects the request, or nil.
func (b *Bundle) Match(service, method, path string) *Class {
	for index := range b.Classes {
		class := &b.Classes[index]
		if class.Service == service && class.selects(method, path) {
			return class
		}
	}
	return nil
}

func (c *Class) selects(method, path string) bool {
	if c.Method != "" && c.Method != method {
		return false
	}
	if prefix, isPrefix := strings.CutSuffix(c.Path, "*"); isPrefix {
		return strings.HasPrefix(path, prefix)
	}
	if strings.HasSuffix(c.Path, "/") {
		return strings.HasPrefix(path, c.Path)
	}
	return path == c.Path
}

// LevelIndex gives the place of a level, 0 being the most important; -1 when
// the bundle does not have it.
func (b *Bundle) LevelIndex(level string) int {
	for index, name := range b.Levels {
		if name == level {
			return index
		}
	}
	return -1
}

// Service gives the service of that name, or nil.
func (b *Bundle) Service(name string) *Service {
	for index := range b.Services {
		if b.Services[index].Name == name {
			return &b.Services[index]
		}
	}
	return nil
}

// Nodes gives every node of the mesh: entries first, then targets.
func (b *Bundle) Nodes() []Node {
	nodes := append([]Node(nil), b.Entries...)
	for _, service := range b.Services {
		nodes = append(nodes, service.Targets...)
	}
	return nodes
}

// Node gives the node of that name and the service beside it, or nil.
func (b *Bundle) Node(name string) (*Node, string) {
	for index := range b.Entries {
		if b.Entries[index].Name == name {
			return &b.Entries[index], ""
		}
	}
	for index := range b.Services {
		service := &b.Services[index]
		for target := range service.Targets {
			if service.Targets[target].Name == name {
				return &service.Targets[target], service.Name
			}
		}
	}
	return nil, ""
}
