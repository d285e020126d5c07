// Package settings parses and validates the YAML settings of a sidecar node.
// Unknown keys are rejected.
package settings

import (
	"bytes"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/units"
	"go.yaml.in/yaml/v3"
)

// Settings is the configuration file of a sidecar node.
type Settings struct {
	// Node is the machine name, unique in the deployment.
	Node string `yaml:"node"`
	// Zone is the failure zone of the machine.
	Zone string `yaml:"zone"`
	// FirstStart is true only for the initial start of the whole deployment.
	FirstStart bool `yaml:"first_start"`
	// Target is the local application.
	Target Target `yaml:"target"`
	// Listen holds the listen addresses of the node, IP:port.
	Listen Listen `yaml:"listen"`
	// Store is the key-value service for durable state.
	Store Store `yaml:"store"`
	// Limits holds the resources of the process.
	Limits Limits `yaml:"limits"`
	// Bounds holds the operators' drain and shutdown times.
	Bounds Bounds `yaml:"bounds"`
	// Retries limits retried requests.
	Retries Retries `yaml:"retries"`
	// Keys limits how long a revoked key is accepted.
	Keys Keys `yaml:"keys"`
	// Quotas limits the requests of a tenant across all nodes.
	Quotas Quotas `yaml:"quotas"`
	// Policy configures traffic management; changes take effect at the next start.
	Policy Policy `yaml:"policy"`
	// Admission configures the admission of client requests.
	Admission Admission `yaml:"admission"`
}

// Target is the local application.
type Target struct {
	// Service is the name of the service that the application provides.
	Service string `yaml:"service"`
	// Address of the application, IP:port.
	Address string `yaml:"address"`
}

// Listen holds the addresses of a node.
type Listen struct {
	// Outbound accepts requests from local clients and the target.
	Outbound string `yaml:"outbound"`
	// Inbound accepts requests for the target from other nodes.
	Inbound string `yaml:"inbound"`
	// Ready serves the readiness check.
	Ready string `yaml:"ready"`
	// Control accepts heartbeats from the target.
	Control string `yaml:"control"`
	// Metrics serves Prometheus metrics; empty disables it.
	Metrics string `yaml:"metrics"`
}

// Store configures the key-value service.
type Store struct {
	// Address of the service, IP:port; empty disables the store.
	Address string `yaml:"address"`
	// Lease is the lifetime of a node's record without renewal; default 30s.
	Lease units.Duration `yaml:"lease"`
	// ReadsPerSecond is the read limit shared by all nodes; 0 if unknown.
	ReadsPerSecond float64 `yaml:"reads_per_second"`
}

// Limits holds the resources of the process.
type Limits struct {
	// MemoryMB is the memory that the process may use, in megabytes (10^6 bytes); 32 to 1048576, default
	// 184. Requests with bodies are refused when those in progress take three eighths of it.
	MemoryMB int `yaml:"memory_mb"`
}

// Bytes returns the memory that the process may use.
func (l Limits) Bytes() int64 { return int64(l.MemoryMB) * 1_000_000 }

// Range of Limits.MemoryMB.
const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

// Bounds holds drain and shutdown times.
type Bounds struct {
	// Drain is how long a leaving target may still receive new requests after the acknowledgement;
	// default 2s.
	Drain units.Duration `yaml:"drain"`
	// Grace is the time between SIGTERM and SIGKILL; default 6s.
	Grace units.Duration `yaml:"grace"`
}

// Retries limits retried requests across all nodes.
type Retries struct {
	// Ratio is the maximum ratio of retries to requests of a service; default 0.2.
	Ratio float64 `yaml:"ratio"`
	// Allowance is the number of additional retries per window; default 50.
	Allowance float64 `yaml:"allowance"`
	// Window is the length of the sliding window; default 10s.
	Window units.Duration `yaml:"window"`
}

// Keys limits how long a revoked key is accepted.
type Keys struct {
	// FailClosed rejects requests with keys while the node cannot confirm that its configuration is
	// up to date; default false.
	FailClosed bool `yaml:"fail_closed"`
	// Revoke is the maximum age of a configuration that counts as up to date; default 5s.
	Revoke units.Duration `yaml:"revoke"`
}

// MaxConfigurationAge returns the maximum age of a configuration used to authenticate keys, or 0 if
// there is no limit.
func (k Keys) MaxConfigurationAge() time.Duration {
	if !k.FailClosed {
		return 0
	}
	return time.Duration(k.Revoke)
}

// Quotas limits the requests of a tenant across all nodes: at most
// (rate x window + burst) x (1 + overshoot) + slack run in any window.
type Quotas struct {
	// Window is the length of the sliding window; default 5s.
	Window units.Duration `yaml:"window"`
	// Overshoot is the tolerated excess as a fraction of the limit; default 0.1.
	Overshoot float64 `yaml:"overshoot"`
	// Slack is the tolerated number of requests beyond the overshoot; default 20.
	Slack float64 `yaml:"slack"`
}

// Policy configures traffic management.
type Policy struct {
	// Off lists mechanisms to disable; default none. Accepted values: window, prices, tenant_shares, urgency,
	// grants, ration, declined, repeats, samples, zones, losses, suspicion, in_time, tenant_order,
	// hold_back, target_state, pipelining, pace, start_queue, return_slots.
	Off []Mechanism `yaml:"off"`
}

// Admission configures the admission of client requests.
type Admission struct {
	// MaxWaitShare is how long a request may wait at the start of its call chain during a shortage, as a
	// fraction of the latency objective of its route; 0.25 at most, default 0.125, 0 disables waiting.
	MaxWaitShare *float64 `yaml:"max_wait_share"`
}

// WaitShare returns the value of MaxWaitShare, or its default.
func (a Admission) WaitShare() float64 {
	if a.MaxWaitShare == nil {
		return DefaultMaxWaitShare
	}
	return *a.MaxWaitShare
}

// maxMaxWaitShare bounds MaxWaitShare: the rest of the objective is needed to serve the request.
const maxMaxWaitShare = 0.25

// Default values.
const (
	DefaultMemoryMB            = 184
	DefaultLease               = 30 * time.Second
	DefaultDrain               = 2 * time.Second
	DefaultGrace               = 6 * time.Second
	DefaultRetryRatio          = 0.2
	DefaultRetryAllowance      = 50
	DefaultRetryWindow         = 10 * time.Second
	DefaultMaxConfigurationAge = 5 * time.Second
	DefaultQuotaWindow         = 5 * time.Second
	DefaultQuotaOvershoot      = 0.1
	DefaultQuotaSlack          = 20
	DefaultMaxWaitShare        = 0.125
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

// Parse decodes settings from YAML, applies defaults and validates them.
func Parse(data []byte) (*Settings, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	settings := &Settings{}
	if err := decoder.Decode(settings); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "correct the reported line; keys are listed in docs/CONFIGURATION.md", "cannot parse settings")
	}
	settings.SetDefaults()
	return settings, settings.Validate()
}

func setDefaultDuration(value *units.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = units.Duration(fallback)
	}
}

// SetDefaults replaces zero values with defaults.
func (s *Settings) SetDefaults() {
	setDefaultDuration(&s.Store.Lease, DefaultLease)
	setDefaultDuration(&s.Bounds.Drain, DefaultDrain)
	setDefaultDuration(&s.Bounds.Grace, DefaultGrace)
	setDefaultDuration(&s.Retries.Window, DefaultRetryWindow)
	setDefaultDuration(&s.Keys.Revoke, DefaultMaxConfigurationAge)
	setDefaultDuration(&s.Quotas.Window, DefaultQuotaWindow)
	if s.Limits.MemoryMB == 0 {
		s.Limits.MemoryMB = DefaultMemoryMB
	}
	if s.Quotas.Overshoot == 0 {
		s.Quotas.Overshoot = DefaultQuotaOvershoot
	}
	if s.Quotas.Slack == 0 {
		s.Quotas.Slack = DefaultQuotaSlack
	}
	if s.Retries.Ratio == 0 {
		s.Retries.Ratio = DefaultRetryRatio
	}
	if s.Retries.Allowance == 0 {
		s.Retries.Allowance = DefaultRetryAllowance
	}
}

func invalidSetting(key, remedy, format string, arguments ...any) error {
	return failure.New(failure.BadInput, remedy, "settings: "+key+": "+format, arguments...)
}

// Validate returns an error for the first invalid key.
func (s *Settings) Validate() error {
	for _, name := range []struct{ key, value string }{{"node", s.Node}, {"zone", s.Zone}, {"target.service", s.Target.Service}} {
		if name.value == "" || strings.ContainsAny(name.value, " \t\n") {
			return invalidSetting(name.key, "use a name without spaces", "invalid name %q", name.value)
		}
	}
	for _, address := range []struct {
		key, value string
		optional   bool
	}{
		{"target.address", s.Target.Address, false},
		{"listen.outbound", s.Listen.Outbound, false},
		{"listen.inbound", s.Listen.Inbound, false},
		{"listen.ready", s.Listen.Ready, false},
		{"listen.control", s.Listen.Control, false},
		{"listen.metrics", s.Listen.Metrics, true},
		{"store.address", s.Store.Address, true},
	} {
		if address.value == "" && address.optional {
			continue
		}
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return invalidSetting(address.key, "use IP:port", "invalid address %q", address.value)
		}
	}
	if err := s.Policy.validate(); err != nil {
		return err
	}
	return s.validateRanges()
}

func (s *Settings) validateRanges() error {
	for _, d := range []struct {
		key   string
		value units.Duration
	}{
		{"store.lease", s.Store.Lease},
		{"bounds.drain", s.Bounds.Drain},
		{"bounds.grace", s.Bounds.Grace},
		{"retries.window", s.Retries.Window},
		{"keys.revoke", s.Keys.Revoke},
		{"quotas.window", s.Quotas.Window},
	} {
		if value := time.Duration(d.value); value < 100*time.Millisecond || value > 10*time.Minute {
			return invalidSetting(d.key, "use 100ms to 10m", "%s is out of range", value)
		}
	}
	if s.Limits.MemoryMB < minMemoryMB || s.Limits.MemoryMB > maxMemoryMB {
		return invalidSetting("limits.memory_mb", "use 32 to 1048576", "%d is out of range", s.Limits.MemoryMB)
	}
	if s.Retries.Ratio < 0 || s.Retries.Ratio > 1 {
		return invalidSetting("retries.ratio", "use 0 to 1", "%g is out of range", s.Retries.Ratio)
	}
	if s.Quotas.Overshoot < 0 || s.Quotas.Overshoot > 1 {
		return invalidSetting("quotas.overshoot", "use 0 to 1", "%g is out of range", s.Quotas.Overshoot)
	}
	if s.Quotas.Slack < 0 {
		return invalidSetting("quotas.slack", "use 0 or more", "%g is negative", s.Quotas.Slack)
	}
	if s.Store.ReadsPerSecond < 0 {
		return invalidSetting("store.reads_per_second", "use 0 (unknown) or more", "%g is negative", s.Store.ReadsPerSecond)
	}
	if share := s.Admission.WaitShare(); !(share >= 0 && share <= maxMaxWaitShare) {
		return invalidSetting("admission.max_wait_share", "use 0 (no waiting) to 0.25", "%g is out of range", share)
	}
	if s.Retries.Allowance < 0 {
		return invalidSetting("retries.allowance", "use 0 or more", "%g is negative", s.Retries.Allowance)
	}
	return nil
}
