// Package settings holds the settings of a sidecar node: YAML, checked at start
// and at each reload, unknown keys refused.
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

// Settings are what a sidecar node is told at its start.
type Settings struct {
	// Node is the name of the machine, unique in the deployment.
	Node string `yaml:"node"`
	// Zone is the failure zone of the machine.
	Zone string `yaml:"zone"`
	// FirstStart is true only when the whole deployment starts for the first time.
	FirstStart bool `yaml:"first_start"`
	// Target is the application beside the node.
	Target Target `yaml:"target"`
	// Listen holds the addresses that the node listens on, IP:port.
	Listen Listen `yaml:"listen"`
	// Store is the key-value service that holds what must last.
	Store Store `yaml:"store"`
	// Bounds are what the operators promise their users.
	Bounds Bounds `yaml:"bounds"`
	// Retries bounds repeated requests.
	Retries Retries `yaml:"retries"`
	// Keys bounds how long a key counts that was taken away.
	Keys Keys `yaml:"keys"`
	// Quotas bounds the requests of a tenant over all nodes.
	Quotas Quotas `yaml:"quotas"`
	// Policy says how the node decides; it stays until the next start.
	Policy Policy `yaml:"policy"`
}

// Target is the application beside the node.
type Target struct {
	// Service is the application's service.
	Service string `yaml:"service"`
	// Address of the application, IP:port.
	Address string `yaml:"address"`
}

// Listen holds the addresses of a node.
type Listen struct {
	// Outbound is where local clients and the target send requests.
	Outbound string `yaml:"outbound"`
	// Inbound is where other nodes send requests for the target.
	Inbound string `yaml:"inbound"`
	// Ready is where readiness is asked for.
	Ready string `yaml:"ready"`
	// Control is where the target sends its heartbeats.
	Control string `yaml:"control"`
	// Metrics is where metrics are served; empty: nowhere.
	Metrics string `yaml:"metrics"`
}

// Store is the key-value service.
type Store struct {
	// Address of the service, IP:port; empty: no store.
	Address string `yaml:"address"`
	// Lease is how long the record of a silent node lasts; default 30s.
	Lease units.Duration `yaml:"lease"`
	// ReadsPerSecond is how many reading calls all nodes together may make; 0: not known.
	ReadsPerSecond float64 `yaml:"reads_per_second"`
}

// Bounds are times that the operators promise.
type Bounds struct {
	// Drain is how long after the acknowledgement a leaving target may get new work; default 2s.
	Drain units.Duration `yaml:"drain"`
	// Grace is the time between SIGTERM and SIGKILL; default 6s.
	Grace units.Duration `yaml:"grace"`
}

// Retries bounds repeated requests over all nodes.
type Retries struct {
	// Ratio is the share of a service's requests that may be repeats; default 0.2.
	Ratio float64 `yaml:"ratio"`
	// Allowance is the number of repeats in a window besides; default 50.
	Allowance float64 `yaml:"allowance"`
	// Window is the sliding window; default 10s.
	Window units.Duration `yaml:"window"`
}

// Keys bounds how long a key counts that was taken away.
type Keys struct {
	// FailClosed has requests with keys refused while the node cannot prove that its configuration is fresh; default false.
	FailClosed bool `yaml:"fail_closed"`
	// Revoke is the age from which a configuration is not fresh; default 5s.
	Revoke units.Duration `yaml:"revoke"`
}

// Bound gives the age from which a configuration is too old to believe a key; 0: none.
func (k Keys) Bound() time.Duration {
	if !k.FailClosed {
		return 0
	}
	return time.Duration(k.Revoke)
}

// Quotas bounds the requests of a tenant over all nodes: in no window more than
// (rate x window + burst) x (1 + overshoot) + slack run.
type Quotas struct {
	// Window is the sliding window; default 5s.
	Window units.Duration `yaml:"window"`
	// Overshoot is the share beyond a limit that is borne; default 0.1.
	Overshoot float64 `yaml:"overshoot"`
	// Slack is the number of requests beyond it that is borne; default 20.
	Slack float64 `yaml:"slack"`
}

// Policy says how the node decides.
type Policy struct {
	// Off names mechanisms that are switched off, to measure what each is worth; none by
	// default: window, urgency, grants, ration, declined, repeats, samples, zones, losses, suspicion, in_time, tenant_order, hold_back.
	Off []Mechanism `yaml:"off"`
}

// Defaults of the settings.
const (
	DefaultLease     = 30 * time.Second
	DefaultDrain     = 2 * time.Second
	DefaultGrace     = 6 * time.Second
	DefaultRatio     = 0.2
	DefaultAllowance = 50
	DefaultWindow    = 10 * time.Second
	// DefaultRevoke and the bounds of quotas are what operators promise their callers where
	// a deployment names nothing else.
	DefaultRevoke         = 5 * time.Second
	DefaultQuotaWindow    = 5 * time.Second
	DefaultQuotaOvershoot = 0.1
	DefaultQuotaSlack     = 20
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

// Parse reads settings and checks them.
func Parse(data []byte) (*Settings, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	settings := &Settings{}
	if err := decoder.Decode(settings); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "correct the named line; keys are listed in docs/CONFIGURATION.md", "settings cannot be read")
	}
	settings.SetDefaults()
	return settings, settings.Validate()
}

func orDefault(value *units.Duration, otherwise time.Duration) {
	if *value == 0 {
		*value = units.Duration(otherwise)
	}
}

// SetDefaults fills in what is not given.
func (s *Settings) SetDefaults() {
	orDefault(&s.Store.Lease, DefaultLease)
	orDefault(&s.Bounds.Drain, DefaultDrain)
	orDefault(&s.Bounds.Grace, DefaultGrace)
	orDefault(&s.Retries.Window, DefaultWindow)
	orDefault(&s.Keys.Revoke, DefaultRevoke)
	orDefault(&s.Quotas.Window, DefaultQuotaWindow)
	if s.Quotas.Overshoot == 0 {
		s.Quotas.Overshoot = DefaultQuotaOvershoot
	}
	if s.Quotas.Slack == 0 {
		s.Quotas.Slack = DefaultQuotaSlack
	}
	if s.Retries.Ratio == 0 {
		s.Retries.Ratio = DefaultRatio
	}
	if s.Retries.Allowance == 0 {
		s.Retries.Allowance = DefaultAllowance
	}
}

func bad(key, remedy, format string, arguments ...any) error {
	return failure.New(failure.BadInput, remedy, "settings: "+key+": "+format, arguments...)
}

// Validate checks every rule and names the key of the first that is broken.
func (s *Settings) Validate() error {
	for _, name := range []struct{ key, value string }{{"node", s.Node}, {"zone", s.Zone}, {"target.service", s.Target.Service}} {
		if name.value == "" || strings.ContainsAny(name.value, " \t\n") {
			return bad(name.key, "give it a name without spaces", "%q is not usable", name.value)
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
			return bad(address.key, "write it as IP:port", "address %q is not usable", address.value)
		}
	}
	if err := s.Policy.validate(); err != nil {
		return err
	}
	return s.validateNumbers()
}

func (s *Settings) validateNumbers() error {
	for _, span := range []struct {
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
		if value := time.Duration(span.value); value < 100*time.Millisecond || value > 10*time.Minute {
			return bad(span.key, "use 100ms to 10m", "%s is out of range", value)
		}
	}
	if s.Retries.Ratio < 0 || s.Retries.Ratio > 1 {
		return bad("retries.ratio", "use 0 to 1", "%g is out of range", s.Retries.Ratio)
	}
	if s.Quotas.Overshoot < 0 || s.Quotas.Overshoot > 1 {
		return bad("quotas.overshoot", "use 0 to 1", "%g is out of range", s.Quotas.Overshoot)
	}
	if s.Quotas.Slack < 0 {
		return bad("quotas.slack", "use 0 or more", "%g is negative", s.Quotas.Slack)
	}
	if s.Store.ReadsPerSecond < 0 {
		return bad("store.reads_per_second", "use 0 (not known) or more", "%g is negative", s.Store.ReadsPerSecond)
	}
	if s.Retries.Allowance < 0 {
		return bad("retries.allowance", "use 0 or more", "%g is negative", s.Retries.Allowance)
	}
	return nil
}
