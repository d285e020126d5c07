// Package config reads and validates the settings file of one landingmastd process: its
// identity, listen addresses and trusted keys. Services and classes of the mesh are configured
// by the bundle (internal/mesh/core/bundle). docs/CONFIGURATION.md is generated from the doc
// comments of the struct fields.
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

// Settings is the settings file of one node.
type Settings struct {
	// Node is the name of this node in the bundle.
	Node string `yaml:"node"`
	// Mesh is the name of the mesh.
	Mesh string `yaml:"mesh"`
	// Zone is the zone that the node runs in.
	Zone string `yaml:"zone"`
	// Target is the local back end of the node; a node without one is an entry.
	Target *Target `yaml:"target,omitempty"`
	// Listen holds the addresses that the node listens on.
	Listen Listen `yaml:"listen"`
	// Platform configures access to the platform's key-value service.
	Platform Platform `yaml:"platform"`
	// Peers are the peer addresses of a few other nodes, preferably in several zones, from
	// which a starting node fetches the bundle.
	Peers []string `yaml:"peers"`
	// TLS names the files for mutual TLS between nodes.
	TLS TLS `yaml:"tls"`
	// Signers are the operators whose bundles are accepted.
	Signers []Signer `yaml:"signers"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// Target is the local back end of a node.
type Target struct {
	// Address of the back end, IP:port.
	Address string `yaml:"address"`
	// Connections is the maximum number of connections to the back end; default 120.
	Connections int `yaml:"connections"`
}

// Listen holds the listen addresses, each IP:port.
type Listen struct {
	// Callers is the address on which an entry serves external callers.
	Callers string `yaml:"callers,omitempty"`
	// Egress is the address to which the local target sends its outgoing calls.
	Egress string `yaml:"egress,omitempty"`
	// Peers is the address on which other nodes connect.
	Peers string `yaml:"peers"`
	// Admin is the address of the admin API, metrics and health checks.
	Admin string `yaml:"admin"`
}

// Platform configures access to the platform's key-value service.
type Platform struct {
	// Address of the key-value service, IP:port; if empty, the node runs without it.
	Address string `yaml:"address"`
	// Timeout of a request; default 1s.
	Timeout units.Duration `yaml:"timeout"`
}

// TLS names the PEM files for mutual TLS between nodes. Changed files are reloaded, so that keys
// can be rotated without a restart.
type TLS struct {
	// Certificate of this node.
	Certificate string `yaml:"certificate"`
	// Key of the certificate.
	Key string `yaml:"key"`
	// Authorities is the file of the CA certificates that sign node certificates; several
	// during a rotation.
	Authorities string `yaml:"authorities"`
}

// Signer is an operator whose bundles are accepted.
type Signer struct {
	// Name of the signer.
	Name string `yaml:"name"`
	// PublicKey is the Ed25519 public key, base64.
	PublicKey string `yaml:"public_key"`
}

// Log configures logging.
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

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "pass a readable file with --settings", "settings file %s", path)
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "", "settings file %s", path)
	}
	return settings, nil
}

// Parse decodes and validates settings. Unknown keys are errors.
func Parse(data []byte) (*Settings, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	settings := &Settings{}
	if err := decoder.Decode(settings); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "correct the reported line; keys are listed in docs/CONFIGURATION.md", "cannot decode settings")
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

func invalidSetting(key, remedy, format string, arguments ...any) error {
	return failure.New(failure.BadInput, remedy, "settings: "+key+": "+format, arguments...)
}

// Validate returns an error that names the first invalid key.
func (s *Settings) Validate() error {
	for key, value := range map[string]string{"node": s.Node, "mesh": s.Mesh, "zone": s.Zone} {
		if value == "" || strings.ContainsAny(value, " /\t\n") {
			return invalidSetting(key, "use a non-empty name without spaces or slashes", "invalid name %q", value)
		}
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if s.Target != nil && (s.Target.Connections < 1 || s.Target.Connections > 10000) {
		return invalidSetting("target.connections", "use a value from 1 to 10000", "%d is out of range", s.Target.Connections)
	}
	if timeout := time.Duration(s.Platform.Timeout); timeout < 10*time.Millisecond || timeout > time.Minute {
		return invalidSetting("platform.timeout", "use a value from 10ms to 1m", "%s is out of range", timeout)
	}
	for key, file := range map[string]string{"tls.certificate": s.TLS.Certificate, "tls.key": s.TLS.Key, "tls.authorities": s.TLS.Authorities} {
		if file == "" {
			return invalidSetting(key, "create the files with `landingmast keys`", "file name is missing")
		}
	}
	switch s.Log.Level {
	case "debug", "info", "warning", "error":
	default:
		return invalidSetting("log.level", "use debug, info, warning or error", "unknown level %q", s.Log.Level)
	}
	if s.Log.Format != "json" && s.Log.Format != "text" {
		return invalidSetting("log.format", "use json or text", "unknown format %q", s.Log.Format)
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
			return invalidSetting(address.key, "use the form IP:port", "invalid address %q", address.value)
		}
		if !strings.HasPrefix(address.key, "listen.") {
			continue
		}
		if other, duplicate := used[address.value]; duplicate && !strings.HasSuffix(address.value, ":0") {
			return invalidSetting(address.key, "use a different address for each listener", "address %s is already used by %s", address.value, other)
		}
		used[address.value] = address.key
	}
	for key, value := range map[string]string{"listen.peers": s.Listen.Peers, "listen.admin": s.Listen.Admin} {
		if value == "" {
			return invalidSetting(key, "use the form IP:port", "address is missing")
		}
	}
	if s.Target == nil && s.Listen.Callers == "" {
		return invalidSetting("listen.callers", "set the address on which the entry serves callers, or configure a target", "required for a node without a target")
	}
	if s.Target != nil && s.Listen.Egress == "" {
		return invalidSetting("listen.egress", "use a loopback address", "required for a node with a target")
	}
	return nil
}

// Keyring returns the public keys of the signers by name.
func (s *Settings) Keyring() (bundle.Keyring, error) {
	if len(s.Signers) == 0 {
		return nil, invalidSetting("signers", "add the name and public key of an operator", "no signers configured")
	}
	keys := bundle.Keyring{}
	for _, signer := range s.Signers {
		key, err := base64.StdEncoding.DecodeString(signer.PublicKey)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, invalidSetting("signers", "copy the key from the output of `landingmast keys signer`", "invalid public key of %q", signer.Name)
		}
		if _, duplicate := keys[signer.Name]; duplicate || signer.Name == "" {
			return nil, invalidSetting("signers", "use a unique name for each signer", "name %q is empty or duplicated", signer.Name)
		}
		keys[signer.Name] = key
	}
	return keys, nil
}
