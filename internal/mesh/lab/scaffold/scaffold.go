// Package scaffold generates the example bundles and settings in examples/.
package scaffold

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/config"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/units"
	"go.yaml.in/yaml/v3"
)

// Examples returns the example files of a deployment by path relative to examples/.
func Examples(d *deployment.Deployment) (map[string][]byte, error) {
	layout := newLayout(d)
	exampleBundle := d.Bundle(1, layout.peers)
	files := map[string][]byte{}
	header := fmt.Sprintf("# Bundle of the example mesh %s. One-way delays: %s between zones, %s to callers.\n# Keys: docs/CONFIGURATION.md.\n",
		d.Mesh, d.ZoneDelay, d.ClientDelay)
	data, err := encode(header, exampleBundle)
	if err != nil {
		return nil, err
	}
	files[filepath.Join(d.Mesh, "bundle.yaml")] = data
	for _, node := range exampleBundle.Nodes() {
		_, service := exampleBundle.Node(node.Name)
		settings := layout.settings(d, node, service, exampleBundle.Nodes())
		data, err := encode("# Settings of node "+node.Name+". Keys: docs/CONFIGURATION.md.\n", settings)
		if err != nil {
			return nil, err
		}
		files[filepath.Join(d.Mesh, "settings", node.Name+".yaml")] = data
	}
	return files, nil
}

func encode(header string, document any) ([]byte, error) {
	var text bytes.Buffer
	text.WriteString(header)
	encoder := yaml.NewEncoder(&text)
	encoder.SetIndent(2)
	if err := encoder.Encode(document); err != nil {
		return nil, err
	}
	return text.Bytes(), encoder.Close()
}

// layout assigns loopback ports to nodes.
type layout struct {
	indexes map[string]int
	first   int
}

const (
	portsPerNode = 5
	firstPort    = 7000
	portsPerMesh = 200
)

func newLayout(d *deployment.Deployment) *layout {
	l := &layout{indexes: map[string]int{}, first: firstPort}
	if d.Mesh == deployment.ExpenseClaims().Mesh {
		l.first += portsPerMesh
	}
	for _, node := range d.Bundle(1, func(name string) string { return "127.0.0.1:1" }).Nodes() {
		l.indexes[node.Name] = len(l.indexes)
	}
	return l
}

func (l *layout) address(node string, offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", l.first+l.indexes[node]*portsPerNode+offset)
}

func (l *layout) peers(node string) string { return l.address(node, 0) }

// examplePublicKey returns the public key of a well-known key pair. It must not be
// used in production.
func examplePublicKey() string {
	private := ed25519.NewKeyFromSeed([]byte(strings.Repeat("example!", 4)))
	return base64.StdEncoding.EncodeToString(private.Public().(ed25519.PublicKey))
}

func (l *layout) settings(d *deployment.Deployment, node bundle.Node, service string, all []bundle.Node) *config.Settings {
	settings := &config.Settings{
		Node: node.Name, Mesh: d.Mesh, Zone: node.Zone,
		Listen:   config.Listen{Peers: l.peers(node.Name), Admin: l.address(node.Name, 1)},
		Platform: config.Platform{Address: "127.0.0.1:8500", Timeout: units.Duration(time.Second)},
		TLS:      config.TLS{Certificate: "keys/" + node.Name + ".crt", Key: "keys/" + node.Name + ".key", Authorities: "keys/authority.crt"},
		Signers:  []config.Signer{{Name: "operator-1", PublicKey: examplePublicKey()}},
		Log:      config.Log{Level: "info", Format: "json"},
	}
	if service == "" {
		settings.Listen.Callers = l.address(node.Name, 2)
	} else {
		settings.Target = &config.Target{Address: l.address(node.Name, 3), Connections: d.Service(service).Connections}
		settings.Listen.Egress = l.address(node.Name, 4)
	}
	seen := map[string]bool{}
	for _, other := range all {
		if other.Name != node.Name && !seen[other.Zone] {
			seen[other.Zone] = true
			settings.Peers = append(settings.Peers, other.Address)
		}
	}
	return settings
}
