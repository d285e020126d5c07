// Package bundle defines the signed, versioned configuration of a mesh: its
// services and targets, the importance levels, and the execution and retry rules
// of each request class. The file format is documented in docs/CONFIGURATION.md.
package bundle

import (
	"strings"

	"github.com/landingmast/landingmast/internal/units"
)

// Execution specifies how often a request of a class may run.
type Execution string

// Execution rules.
const (
	// Repeatable requests may run any number of times.
	Repeatable Execution = "repeatable"
	// AtMostOnce requests run at most once per idempotency key.
	AtMostOnce Execution = "at_most_once"
)

// TargetState specifies whether a target accepts requests.
type TargetState string

// Target states.
const (
	Active  TargetState = "active"
	Joining TargetState = "joining"
	Leaving TargetState = "leaving"
)

// Bundle is the complete configuration of a mesh at one version.
type Bundle struct {
	// Mesh is the name of the mesh. Nodes reject bundles of other meshes.
	Mesh string `yaml:"mesh" json:"mesh"`
	// Version must be the version in force plus one; the first is 1.
	Version int64 `yaml:"version" json:"version"`
	// Levels lists the importance levels, most important first.
	Levels []string `yaml:"levels" json:"levels"`
	// MaxDepth is the maximum depth of a call chain, in hops below the entry; default 8.
	MaxDepth int `yaml:"max_depth" json:"max_depth"`
	// UserHeader is the name of the request header that identifies the user. Within
	// a level, every hop sheds users in the same order.
	UserHeader string `yaml:"user_header" json:"user_header"`
	// Entries lists the nodes without a target that accept requests from outside the mesh.
	Entries []Node `yaml:"entries" json:"entries"`
	// Services lists the services of the mesh.
	Services []Service `yaml:"services" json:"services"`
	// Classes lists the request classes; the first match applies.
	Classes []Class `yaml:"classes" json:"classes"`
}

// Node is the address and location of one landingmastd process.
type Node struct {
	// Name of the node, unique in the mesh.
	Name string `yaml:"name" json:"name"`
	// Address of the peer port, as IP:port.
	Address string `yaml:"address" json:"address"`
	// Zone and Region are the location of the node.
	Zone   string `yaml:"zone" json:"zone"`
	Region string `yaml:"region,omitempty" json:"region,omitempty"`
	// State of the node's target: active, joining or leaving; default active.
	State TargetState `yaml:"state" json:"state"`
}

// Service is a named group of interchangeable targets.
type Service struct {
	// Name of the service, as used by callers in the Host header.
	Name string `yaml:"name" json:"name"`
	// Shed identifies responses by which a target reports that it rejected a
	// request without starting it. If unset, such a response counts as an answer.
	Shed *ShedSignal `yaml:"shed,omitempty" json:"shed,omitempty"`
	// Targets lists the nodes of the service, one per target.
	Targets []Node `yaml:"targets" json:"targets"`
}

// ShedSignal matches responses to requests that the target did not start. Both the
// status and the header must match.
type ShedSignal struct {
	// Status is the HTTP status, 400 to 599.
	Status int `yaml:"status" json:"status"`
	// Header is the name of a header that must be present, with any value.
	Header string `yaml:"header" json:"header"`
}

// Class selects a kind of request and sets its rules.
type Class struct {
	// Name of the class, unique in the bundle.
	Name string `yaml:"name" json:"name"`
	// Service, Method and Path select the requests. An empty method matches any
	// method; a path that ends in / or * matches as a prefix.
	Service string `yaml:"service" json:"service"`
	Method  string `yaml:"method,omitempty" json:"method,omitempty"`
	Path    string `yaml:"path" json:"path"`
	// Importance is one of the bundle's levels. It is set by the first request of
	// a call chain and inherited by the calls below it.
	Importance string `yaml:"importance" json:"importance"`
	// Execution is repeatable or at_most_once.
	Execution Execution `yaml:"execution" json:"execution"`
	// KeyHeader is the name of the header that carries the key of an at-most-once
	// request; default Idempotency-Key.
	KeyHeader string `yaml:"key_header,omitempty" json:"key_header,omitempty"`
	// Retries is the maximum number of retries of a user request, summed over its
	// call chain.
	Retries int `yaml:"retries" json:"retries"`
	// Deadline is the maximum duration of a user request, e.g. 2s.
	Deadline units.Duration `yaml:"deadline" json:"deadline"`
}

// DefaultKeyHeader is the default of Class.KeyHeader.
const DefaultKeyHeader = "Idempotency-Key"

// DefaultMaxDepth is the default of Bundle.MaxDepth.
const DefaultMaxDepth = 8

// Match returns the first class that selects the request, or nil.
func (b *Bundle) Match(service, method, path string) *Class {
	for i := range b.Classes {
		class := &b.Classes[i]
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

// LevelIndex returns the index of a level, 0 being the most important, or -1 if
// the level is unknown.
func (b *Bundle) LevelIndex(level string) int {
	for i, name := range b.Levels {
		if name == level {
			return i
		}
	}
	return -1
}

// Service returns the service with the given name, or nil.
func (b *Bundle) Service(name string) *Service {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i]
		}
	}
	return nil
}

// Nodes returns all nodes of the mesh, entries first.
func (b *Bundle) Nodes() []Node {
	nodes := append([]Node(nil), b.Entries...)
	for _, service := range b.Services {
		nodes = append(nodes, service.Targets...)
	}
	return nodes
}

// Node returns the node with the given name and the name of its service, which is
// empty for an entry. It returns nil if the node is unknown.
func (b *Bundle) Node(name string) (*Node, string) {
	for i := range b.Entries {
		if b.Entries[i].Name == name {
			return &b.Entries[i], ""
		}
	}
	for i := range b.Services {
		service := &b.Services[i]
		for j := range service.Targets {
			if service.Targets[j].Name == name {
				return &service.Targets[j], service.Name
			}
		}
	}
	return nil, ""
}
