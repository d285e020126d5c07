package bundle

import (
	"bytes"
	"net/netip"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"go.yaml.in/yaml/v3"
)

// Limits of a bundle; they keep a hostile or broken file from using up a node.
const (
	// MaxBytes is the largest bundle file, in bytes.
	MaxBytes = 4 << 20
	// MaxRetries is the most retries that a class may ask for.
	MaxRetries = 16
	// MaxLevels is the most importance levels.
	MaxLevels = 16
	// MaxDeadline is the longest deadline of a class.
	MaxDeadline = 10 * time.Minute
)

// Parse reads a bundle file. An unknown key, a value without its unit or a rule
// that does not hold is refused with an error that names the remedy.
func Parse(data []byte) (*Bundle, error) {
	if len(data) > MaxBytes {
		return nil, failure.New(failure.BadInput, "split the mesh", "bundle of %d bytes is larger than %d", len(data), MaxBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	bundle := &Bundle{}
	if err := decoder.Decode(bundle); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "correct the named line; keys are listed in docs/CONFIGURATION.md", "bundle cannot be read")
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
	for index := range b.Classes {
		class := &b.Classes[index]
		if class.Execution == AtMostOnce && class.KeyHeader == "" {
			class.KeyHeader = DefaultKeyHeader
		}
	}
	for index := range b.Entries {
		b.Entries[index].setDefaults()
	}
	for _, service := range b.Services {
		for index := range service.Targets {
			service.Targets[index].setDefaults()
		}
	}
}

func (n *Node) setDefaults() {
	if n.State == "" {
		n.State = Active
	}
}

// Validate checks every rule of the schema and names the first that is broken.
func (b *Bundle) Validate() error {
	checks := []func() error{b.validateHead, b.validateNodes, b.validateClasses}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func bad(remedy, format string, arguments ...any) error {
	return failure.New(failure.BadInput, remedy, "bundle: "+format, arguments...)
}

func (b *Bundle) validateHead() error {
	if b.Mesh == "" {
		return bad("name the mesh that the bundle is for", "mesh is empty")
	}
	if b.Version < 1 {
		return bad("use the version in force plus one; the first is 1", "version is missing or below 1")
	}
	if len(b.Levels) == 0 || len(b.Levels) > MaxLevels {
		return bad("list them, most important first", "levels has %d entries, allowed are 1 to %d", len(b.Levels), MaxLevels)
	}
	if b.MaxDepth < 1 || b.MaxDepth > 64 {
		return bad("use 1 to 64", "max_depth is %d", b.MaxDepth)
	}
	seen := map[string]bool{}
	for _, level := range b.Levels {
		if level == "" || seen[level] {
			return bad("give each level a name of its own", "levels: %q is empty or stands twice", level)
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
			return bad("give each service a name of its own", "services: %q is empty or stands twice", service.Name)
		}
		services[service.Name] = true
		if service.Shed != nil && (service.Shed.Status < 400 || service.Shed.Status > 599 || service.Shed.Header == "") {
			return bad("give a status of 400 to 599 and a header name", "services: %s: shed is not usable", service.Name)
		}
	}
	for _, node := range b.Nodes() {
		if node.Name == "" || names[node.Name] {
			return bad("give each node a name of its own", "node %q is empty or stands twice", node.Name)
		}
		names[node.Name] = true
		if _, err := netip.ParseAddrPort(node.Address); err != nil {
			return bad("write it as IP:port", "node %s: address %q is not usable", node.Name, node.Address)
		}
		if addresses[node.Address] {
			return bad("give each node an address of its own", "node %s: address %s stands twice", node.Name, node.Address)
		}
		addresses[node.Address] = true
		if node.Zone == "" {
			return bad("name its zone", "node %s: zone is empty", node.Name)
		}
		switch node.State {
		case Active, Joining, Leaving:
		default:
			return bad("use active, joining or leaving", "node %s: state %q is unknown", node.Name, node.State)
		}
	}
	return nil
}

func (b *Bundle) validateClasses() error {
	names := map[string]bool{}
	for index := range b.Classes {
		class := &b.Classes[index]
		if class.Name == "" || names[class.Name] {
			return bad("give each class a name of its own", "classes: %q is empty or stands twice", class.Name)
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
		return bad("name a service of this bundle", "class %s: service %q is unknown", class.Name, class.Service)
	case !strings.HasPrefix(class.Path, "/"):
		return bad("begin it with /", "class %s: path %q is not usable", class.Name, class.Path)
	case b.LevelIndex(class.Importance) < 0:
		return bad("use one of levels", "class %s: importance %q is unknown", class.Name, class.Importance)
	case class.Execution != Repeatable && class.Execution != AtMostOnce:
		return bad("use repeatable or at_most_once", "class %s: execution %q is unknown", class.Name, class.Execution)
	case class.Retries < 0 || class.Retries > MaxRetries:
		return bad("use 0 to 16", "class %s: retries is %d", class.Name, class.Retries)
	case class.Deadline <= 0 || time.Duration(class.Deadline) > MaxDeadline:
		return bad("use a span up to 10m, e.g. 2s", "class %s: deadline is %s", class.Name, time.Duration(class.Deadline))
	}
	return nil
}
