package bundle

import (
	"bytes"
	"net/netip"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"go.yaml.in/yaml/v3"
)

// Limits that protect a node from malformed or malicious bundles.
const (
	// MaxBytes is the maximum size of a bundle file.
	MaxBytes = 4 << 20
	// MaxRetries is the maximum of Class.Retries.
	MaxRetries = 16
	// MaxLevels is the maximum number of importance levels.
	MaxLevels = 16
	// MaxDeadline is the maximum of Class.Deadline.
	MaxDeadline = 10 * time.Minute
)

// Parse decodes and validates a bundle file. Unknown keys, durations without a unit
// and invalid values are rejected with an error that contains a remedy.
func Parse(data []byte) (*Bundle, error) {
	if len(data) > MaxBytes {
		return nil, failure.New(failure.BadInput, "split the mesh", "bundle has %d bytes; the maximum is %d", len(data), MaxBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	bundle := &Bundle{}
	if err := decoder.Decode(bundle); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "correct the reported line; keys are listed in docs/CONFIGURATION.md", "failed to decode bundle")
	}
	bundle.setDefaults()
	if err := bundle.Validate(); err != nil {
		return nil, err
	}
	return bundle, nil
}

func (b *Bundle) setDefaults() {
	if b.MaxDepth == 0 {
		b.MaxDepth = DefaultMaxDepth
	}
	for i := range b.Classes {
		class := &b.Classes[i]
		if class.Execution == AtMostOnce && class.KeyHeader == "" {
			class.KeyHeader = DefaultKeyHeader
		}
	}
	for i := range b.Entries {
		b.Entries[i].setDefaults()
	}
	for _, service := range b.Services {
		for i := range service.Targets {
			service.Targets[i].setDefaults()
		}
	}
}

func (n *Node) setDefaults() {
	if n.State == "" {
		n.State = Active
	}
}

// Validate returns an error for the first invalid field.
func (b *Bundle) Validate() error {
	checks := []func() error{b.validateHead, b.validateNodes, b.validateClasses}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// invalid returns a validation error with a remedy.
func invalid(remedy, format string, args ...any) error {
	return failure.New(failure.BadInput, remedy, "bundle: "+format, args...)
}

func (b *Bundle) validateHead() error {
	if b.Mesh == "" {
		return invalid("set it to the name of the mesh", "mesh is empty")
	}
	if b.Version < 1 {
		return invalid("use the version in force plus one; the first is 1", "version is missing or below 1")
	}
	if len(b.Levels) == 0 || len(b.Levels) > MaxLevels {
		return invalid("list the levels, most important first", "levels has %d entries; it must have 1 to %d", len(b.Levels), MaxLevels)
	}
	if b.MaxDepth < 1 || b.MaxDepth > 64 {
		return invalid("use 1 to 64", "max_depth %d is out of range", b.MaxDepth)
	}
	seen := map[string]bool{}
	for _, level := range b.Levels {
		if level == "" || seen[level] {
			return invalid("give each level a unique name", "levels: name %q is empty or duplicate", level)
		}
		seen[level] = true
	}
	return nil
}

func (b *Bundle) validateNodes() error {
	names := map[string]bool{}
	addresses := map[string]bool{}
	services := map[string]bool{}
	for _, service := range b.Services {
		if service.Name == "" || services[service.Name] {
			return invalid("give each service a unique name", "services: name %q is empty or duplicate", service.Name)
		}
		services[service.Name] = true
		if service.Shed != nil && (service.Shed.Status < 400 || service.Shed.Status > 599 || service.Shed.Header == "") {
			return invalid("set a status of 400 to 599 and a header name", "service %s: shed is invalid", service.Name)
		}
	}
	for _, node := range b.Nodes() {
		if node.Name == "" || names[node.Name] {
			return invalid("give each node a unique name", "nodes: name %q is empty or duplicate", node.Name)
		}
		names[node.Name] = true
		if _, err := netip.ParseAddrPort(node.Address); err != nil {
			return invalid("use the form IP:port", "node %s: address %q is invalid", node.Name, node.Address)
		}
		if addresses[node.Address] {
			return invalid("give each node a unique address", "node %s: address %s is used by another node", node.Name, node.Address)
		}
		addresses[node.Address] = true
		if node.Zone == "" {
			return invalid("set the zone of the node", "node %s: zone is empty", node.Name)
		}
		switch node.State {
		case Active, Joining, Leaving:
		default:
			return invalid("use active, joining or leaving", "node %s: state %q is unknown", node.Name, node.State)
		}
	}
	return nil
}

func (b *Bundle) validateClasses() error {
	names := map[string]bool{}
	for i := range b.Classes {
		class := &b.Classes[i]
		if class.Name == "" || names[class.Name] {
			return invalid("give each class a unique name", "classes: name %q is empty or duplicate", class.Name)
		}
		names[class.Name] = true
		if err := b.validateClass(class); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bundle) validateClass(class *Class) error {
	switch {
	case b.Service(class.Service) == nil:
		return invalid("use a service of this bundle", "class %s: service %q is unknown", class.Name, class.Service)
	case !strings.HasPrefix(class.Path, "/"):
		return invalid("use a path that begins with /", "class %s: path %q is invalid", class.Name, class.Path)
	case b.LevelIndex(class.Importance) < 0:
		return invalid("use one of the bundle's levels", "class %s: importance %q is unknown", class.Name, class.Importance)
	case class.Execution != Repeatable && class.Execution != AtMostOnce:
		return invalid("use repeatable or at_most_once", "class %s: execution %q is unknown", class.Name, class.Execution)
	case class.Retries < 0 || class.Retries > MaxRetries:
		return invalid("use 0 to 16", "class %s: retries %d is out of range", class.Name, class.Retries)
	case class.Deadline <= 0 || time.Duration(class.Deadline) > MaxDeadline:
		return invalid("use a duration up to 10m, e.g. 2s", "class %s: deadline %s is out of range", class.Name, time.Duration(class.Deadline))
	}
	return nil
}
