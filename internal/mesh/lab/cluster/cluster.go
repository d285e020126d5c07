// Package cluster runs a deployment on loopback as separate processes: the
// platform and back-end stubs, a landingmastd sidecar for every back end, and
// the entry nodes. The demo, the fault injection runs and the benchmark use it.
package cluster

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/config"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/load"
	"github.com/landingmast/landingmast/internal/mesh/security"
	"github.com/landingmast/landingmast/internal/units"
	"go.yaml.in/yaml/v3"
)

// Process is a node process, with its addresses and those of its back end.
type Process struct {
	Name         string
	Service      string
	Admin        string
	Peers        string
	Callers      string // caller listener; entry nodes only
	Target       string // back-end address; empty on entry nodes
	Relay        *Relay // in front of the peer port; nil unless Options.Relays is set
	command      *exec.Cmd
	settingsFile string
}

// Cluster is a running deployment.
type Cluster struct {
	Deployment    *deployment.Deployment
	Directory     string
	PlatformAddr  string
	Nodes         []*Process
	SignerName    string
	SignerKey     ed25519.PrivateKey
	daemonProgram string // path of landingmastd
	labProgram    string // path of landingmast-lab
	standins      []*exec.Cmd
	mutex         sync.Mutex
	log           *os.File
	bundle        *bundle.Bundle
	addresses     map[string]string
}

// Options configures a cluster.
type Options struct {
	Deployment *deployment.Deployment
	Daemon     string // path of landingmastd
	Lab        string // path of landingmast-lab
	Directory  string // for keys, settings and logs
	FirstPort  int
	Relays     bool // proxy every peer port through a Relay, for network faults
}

// Start writes keys and settings, starts every process and publishes bundle
// version 1. It returns once all nodes are ready.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{Deployment: options.Deployment, Directory: options.Directory, daemonProgram: options.Daemon, labProgram: options.Lab, SignerName: "operator-1", addresses: map[string]string{}}
	if err := os.MkdirAll(options.Directory, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(options.Directory, "processes.log"))
	if err != nil {
		return nil, err
	}
	c.log = log
	if err := c.assignPorts(load.NewPorts(options.FirstPort), options.Relays); err != nil {
		return nil, err
	}
	if err := c.startAll(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// assignPorts allocates addresses, starts the relays and writes keys and settings.
func (c *Cluster) assignPorts(ports *load.Ports, relays bool) error {
	c.PlatformAddr = ports.Next()
	for index := range deployment.EntryCount {
		c.Nodes = append(c.Nodes, &Process{Name: fmt.Sprintf("entry-%d", index+1), Callers: ports.Next()})
	}
	for _, service := range c.Deployment.Services {
		for index := range service.Targets {
			c.Nodes = append(c.Nodes, &Process{Name: fmt.Sprintf("%s-%d", service.Name, index+1), Service: service.Name, Target: ports.Next()})
		}
	}
	for _, process := range c.Nodes {
		process.Peers = ports.Next()
		process.Admin = ports.Next()
		c.addresses[process.Name] = process.Peers
		if !relays {
			continue
		}
		c.addresses[process.Name] = ports.Next()
		relay, err := NewRelay(c.addresses[process.Name], process.Peers)
		if err != nil {
			return err
		}
		process.Relay = relay
	}
	c.bundle = c.Deployment.Bundle(1, func(name string) string { return c.addresses[name] })
	return c.writeSettings(ports)
}

func (c *Cluster) writeSettings(ports *load.Ports) error {
	authority, err := security.NewAuthority(c.Deployment.Mesh)
	if err != nil {
		return err
	}
	private, public, err := security.GenerateSigningKey()
	if err != nil {
		return err
	}
	if c.SignerKey, err = security.ParseSigningKey(private); err != nil {
		return err
	}
	if err := c.writeFile("authority.pem", authority.Certificate); err != nil {
		return err
	}
	if err := c.writeFile("signer.pem", private); err != nil {
		return err
	}
	for _, process := range c.Nodes {
		pair, err := security.NewNode(authority, process.Name)
		if err != nil {
			return err
		}
		if err := c.writeFile(process.Name+".crt", pair.Certificate); err != nil {
			return err
		}
		if err := c.writeFile(process.Name+".key", pair.Key); err != nil {
			return err
		}
		settings := c.settings(process, ports, public)
		data, err := yaml.Marshal(settings)
		if err != nil {
			return err
		}
		process.settingsFile = c.path(process.Name + ".yaml")
		if err := c.writeFile(process.Name+".yaml", data); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) path(name string) string { return filepath.Join(c.Directory, name) }

func (c *Cluster) writeFile(name string, data []byte) error {
	return os.WriteFile(c.path(name), data, 0o600)
}

const seedPeers = 4

func (c *Cluster) settings(process *Process, ports *load.Ports, public ed25519.PublicKey) *config.Settings {
	node, _ := c.bundle.Node(process.Name)
	settings := &config.Settings{
		Node: process.Name, Mesh: c.Deployment.Mesh, Zone: node.Zone,
		Listen:   config.Listen{Callers: process.Callers, Peers: process.Peers, Admin: process.Admin},
		Platform: config.Platform{Address: c.PlatformAddr, Timeout: units.Duration(500 * time.Millisecond)},
		TLS:      config.TLS{Certificate: c.path(process.Name + ".crt"), Key: c.path(process.Name + ".key"), Authorities: c.path("authority.pem")},
		Signers:  []config.Signer{{Name: c.SignerName, PublicKey: base64.StdEncoding.EncodeToString(public)}},
		Log:      config.Log{Level: "info", Format: "json"},
	}
	if process.Target != "" {
		settings.Target = &config.Target{Address: process.Target, Connections: c.Deployment.Service(process.Service).Connections}
		settings.Listen.Egress = ports.Next()
	}
	step := max(len(c.Nodes)/seedPeers, 1)
	for index := 0; index < len(c.Nodes); index += step {
		if c.Nodes[index] != process {
			settings.Peers = append(settings.Peers, c.addresses[c.Nodes[index].Name])
		}
	}
	return settings
}

func (c *Cluster) startAll(ctx context.Context) error {
	if err := c.startStandin("platform", "--listen", c.PlatformAddr); err != nil {
		return err
	}
	if err := c.startBackends(); err != nil {
		return err
	}
	if err := c.waitFor(ctx, "http://"+c.PlatformAddr+"/lab/counts"); err != nil {
		return err
	}
	if _, err := c.Roll(ctx, c.bundle); err != nil {
		return err
	}
	for _, process := range c.Nodes {
		if err := c.StartNode(process); err != nil {
			return err
		}
	}
	return c.WaitReady(ctx)
}

// startBackends runs all back-end stubs in a single process; only the nodes
// need processes of their own.
func (c *Cluster) startBackends() error {
	arguments := []string{"--deployment", c.Deployment.Mesh}
	for _, process := range c.Nodes {
		if process.Target != "" {
			settings, err := config.Load(process.settingsFile)
			if err != nil {
				return err
			}
			arguments = append(arguments, "--backend", fmt.Sprintf("%s=%s=%s", process.Name, process.Target, settings.Listen.Egress))
		}
	}
	return c.startStandin("backends", arguments...)
}

func (c *Cluster) startStandin(command string, arguments ...string) error {
	process := c.newCommand(c.labProgram, append([]string{command}, arguments...)...)
	c.standins = append(c.standins, process)
	return process.Start()
}

func (c *Cluster) newCommand(program string, arguments ...string) *exec.Cmd {
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = c.log, c.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command
}

// StartNode starts a stopped node.
func (c *Cluster) StartNode(process *Process) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	process.command = c.newCommand(c.daemonProgram, "--settings", process.settingsFile)
	return process.command.Start()
}

func (c *Cluster) Signal(process *Process, signal syscall.Signal) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return process.command.Process.Signal(signal)
}

// Wait waits for a node process to exit and returns the error of exec.Cmd.Wait.
func (c *Cluster) Wait(process *Process) error { return process.command.Wait() }

// Kill sends SIGKILL to a node and waits for it to exit.
func (c *Cluster) Kill(process *Process) {
	_ = c.Signal(process, syscall.SIGKILL)
	_ = c.Wait(process)
}

func (c *Cluster) Pid(process *Process) int { return process.command.Process.Pid }

// Node returns the node with the given name, or nil.
func (c *Cluster) Node(name string) *Process {
	for _, process := range c.Nodes {
		if process.Name == name {
			return process
		}
	}
	return nil
}

// Entries returns the caller addresses of the entry nodes.
func (c *Cluster) Entries() []string {
	var entries []string
	for _, process := range c.Nodes {
		if process.Callers != "" {
			entries = append(entries, process.Callers)
		}
	}
	return entries
}

// WaitReady waits until every node reports ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, process := range c.Nodes {
		if err := c.waitFor(ctx, "http://"+process.Admin+"/readyz"); err != nil {
			return fmt.Errorf("node %s: %w", process.Name, err)
		}
	}
	return nil
}

const startTimeout = 20 * time.Second

func (c *Cluster) waitFor(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not become ready; see %s", url, c.log.Name())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Stop shuts the nodes down gracefully, then kills the stubs. A node that is
// still running after 5 seconds is killed.
func (c *Cluster) Stop() {
	for _, process := range c.Nodes {
		if process.command != nil && process.command.Process != nil {
			_ = process.command.Process.Signal(syscall.SIGCONT)
			_ = process.command.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, process := range c.Nodes {
		if process.command == nil || process.command.Process == nil {
			continue
		}
		timer := time.AfterFunc(5*time.Second, func() { _ = process.command.Process.Kill() })
		_ = process.command.Wait()
		timer.Stop()
	}
	for _, process := range c.Nodes {
		if process.Relay != nil {
			process.Relay.Close()
		}
	}
	for _, process := range c.standins {
		if process.Process != nil {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	}
	_ = c.log.Close()
}
