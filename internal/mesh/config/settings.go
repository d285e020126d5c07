// Package config reads the settings of one landingmastd process: what it is,
// where it listens, whom it trusts. What the mesh wants is in the bundle
// (internal/mesh/core/bundle). docs/CONFIGURATION.md is checked against the structs.
package config

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/units"
	"go.yaml.in/yaml/v3"
)

// Settings are the settings of one node.
type Settings struct {
	// Node is the name of this node, as the bundle names it.
	Node string `yaml:"node"`
	// Mesh is the name of the mesh.
	Mesh string `yaml:"mesh"`
	// Zone is the zone that the node runs in.
	Zone string `yaml:"zone"`
	// Target is the back end beside the node; without it the node is an entry.
	Target *Target `yaml:"target,omitempty"`
	// Listen holds the addresses that the node listens on.
	Listen Listen `yaml:"listen"`
	// Platform says how the platform's service is reached.
	Platform Platform `yaml:"platform"`
	// Peers are the peer addresses of a few other nodes, best in several zones,
	// that a node without memory asks for the bundle.
	Peers []string `yaml:"peers"`
	// TLS names the files for mutual TLS between nodes.
	TLS TLS `yaml:"tls"`
	// Signers are the operators whose bundles are taken.
	Signers []Signer `yaml:"signers"`
	// Log sets the log.
	Log Log `yaml:"log"`
}

// Target is the back end beside a node.
type Target struct {
	// Address of the back end, IP:port.
	Address string `yaml:"address"`
	// Connections is the most connections that the back end takes; default 120.
	Connections int `yaml:"connections"`
}

// Listen holds the listen addresses, each IP:port.
type Listen struct {
	// Callers is where an entry serves outside callers.
	Callers string `yaml:"callers,omitempty"`
	// Egress is where the target beside the node sends its own calls.
	Egress string `yaml:"egress,omitempty"`
	// Peers is where other nodes connect.
	Peers string `yaml:"peers"`
	// Admin serves operators, metrics and health.
	Admin string `yaml:"admin"`
}

// Platform says how the platform's service is reached.
type Platform struct {
	// Address of the key-value service, IP:port; empty runs without it.
	Address string `yaml:"address"`
	// Timeout of one request; default 1s.
	Timeout units.Duration `yaml:"timeout"`
}

// TLS names the PEM files for mutual TLS between nodes. They are read again
// when they change, so that keys rotate without a restart.
type TLS struct {
	// Certificate of this node.
	Certificate string `yaml:"certificate"`
	// Key of the certificate.
	Key string `yaml:"key"`
	// Authorities that sign the certificates of nodes; several while they rotate.
	Authorities string `yaml:"authorities"`
}

// Signer is an operator whose bundles are taken.
type Signer struct {
	// Name of the signer.
	Name string `yaml:"name"`
	// PublicKey is the Ed25519 public key, base64.
	PublicKey string `yaml:"public_key"`
}

// Log sets the log.
type Log struct {
	// Level is debug, info, warning or error; default info.
	Level string `yaml:"level"`
	// Format is json or text; default json.
	Format string `yaml:"format"`
}

// Defaults of the settings.
const (
	DefaultConnections     = 120
	DefaultPlatformTimeout = time.Second
)

// Load reads a settings file and checks it.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "name a readable file with --settings", "settings file %s", path)
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "", "settings file %s", path)
	}
	return settings, nil
}

// Parse reads settings and checks them. An unknown key is refused.
func Parse(data []byte) (*Settings, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	settings := &Settings{}
	if err := decoder.Decode(settings); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "correct the named line; keys are listed in docs/CONFIGURATION.md", "settings cannot be read")
	}
	settings.setDefaults()
	return settings, settings.Validate()
}

func (s *Settings) setDefaults() {
	if s.Target != nil && s.Target.Connections == 0 {
		s.Target.Connections = DefaultConnections
	}
	if s.Platform.Timeout == 0 {
		s.Platform.Timeout = units.Duration(DefaultPlatformTimeout)
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "json"
	}
}

func bad(key, remedy, format string, arguments ...any) error {
	return failure.New(failure.BadInput, remedy, "settings: "+key+": "+format, arguments...)
}

// Validate checks every rule and names the key of the first that is broken.
func (s *Settings) Validate() error {
	for key, value := range map[string]string{"node": s.Node, "mesh": s.Mesh, "zone": s.Zone} {
		if value == "" || strings.ContainsAny(value, " /\t\n") {
			return bad(key, "give it a name without spaces or slashes", "%q is not usable", value)
		}
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if s.Target != nil && (s.Target.Connections < 1 || s.Target.Connections > 10000) {
		return bad("target.connections", "use 1 to 10000", "%d is out of range", s.Target.Connections)
	}
	if span := time.Duration(s.Platform.Timeout); span < 10*time.Millisecond || span > time.Minute {
		return bad("platform.timeout", "use 10ms to 1m", "%s is out of range", span)
	}
	for key, file := range map[string]string{"tls.certificate": s.TLS.Certificate, "tls.key": s.TLS.Key, "tls.authorities": s.TLS.Authorities} {
		if file == "" {
			return bad(key, "make the files with `landingmast keys`", "no file is named")
		}
	}
	switch s.Log.Level {
	case "debug", "info", "warning", "error":
	default:
		return bad("log.level", "use debug, info, warning or error", "%q is unknown", s.Log.Level)
	}
	if s.Log.Format != "json" && s.Log.Format != "text" {
		return bad("log.format", "use json or text", "%q is unknown", s.Log.Format)
	}
	_, err := s.Keyring()
	return err
}

func (s *Settings) validateAddresses() error {
	addresses := []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.egress", s.Listen.Egress},
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
		{"platform.address", s.Platform.Address},
	}
	if s.Target != nil {
		addresses = append(addresses, struct{ key, value string }{"target.address", s.Target.Address})
	}
	for _, peer := range s.Peers {
		addresses = append(addresses, struct{ key, value string }{"peers", peer})
	}
	used := map[string]string{}
	for _, address := range addresses {
		if address.value == "" && address.key != "target.address" {
			continue
		}
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return bad(address.key, "write it as IP:port", "address %q is not usable", address.value)
		}
		if !strings.HasPrefix(address.key, "listen.") {
			continue
		}
		if other, taken := used[address.value]; taken && !strings.HasSuffix(address.value, ":0") {
			return bad(address.key, "give each listener an address of its own", "%s is also %s", address.value, other)
		}
		used[address.value] = address.key
	}
	for key, value := range map[string]string{"listen.peers": s.Listen.Peers, "listen.admin": s.Listen.Admin} {
		if value == "" {
			return bad(key, "write it as IP:port", "address is missing")
		}
	}
	if s.Target == nil && s.Listen.Callers == "" {
		return bad("listen.callers", "give an entry its address, or name the target", "a node without a target needs it")
	}
	if s.Target != nil && s.Listen.Egress == "" {
		return bad("listen.egress", "give it a loopback address", "a node with a target needs it")
	}
	return nil
}

// Keyring gives the public keys of the signers by name.
func (s *Settings) Keyring() (bundle.Keyring, error) {
	if len(s.Signers) == 0 {
		return nil, bad("signers", "add the name and public key of an operator", "list is empty")
	}
	keys := bundle.Keyring{}
	for _, signer := range s.Signers {
		key, err := base64.StdEncoding.DecodeString(signer.PublicKey)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, bad("signers", "copy it from `landingmast keys signer`", "public key of %q is not usable", signer.Name)
		}
		if _, twice := keys[signer.Name]; twice || signer.Name == "" {
			return nil, bad("signers", "give each signer a name of its own", "%q is empty or stands twice", signer.Name)
		}
		keys[signer.Name] = key
	}
	return keys, nil
}
