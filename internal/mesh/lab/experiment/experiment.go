// Package experiment reads experiment files, runs them in the emulator or with
// real processes and reports what came out.
package experiment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/units"
	"go.yaml.in/yaml/v3"
)

// Experiment is one experiment file.
type Experiment struct {
	// Name of the experiment; the file has the same.
	Name string `yaml:"name"`
	// About says what it is to show.
	About string `yaml:"about"`
	// Deployment is core-archive or expense-claims.
	Deployment string `yaml:"deployment"`
	// Seeds of the runs; each is one run of every variant.
	Seeds []uint64 `yaml:"seeds"`
	// Length of the traffic.
	Length units.Duration `yaml:"length"`
	// Load is the rate of new user requests as a share of the capacity.
	Load float64 `yaml:"load"`
	// Resend is how often a caller sends a failed request again.
	Resend int `yaml:"resend"`
	// Backoff is a caller's pause before that.
	Backoff units.Duration `yaml:"backoff"`
	// Mix replaces shares of the deployment's mix, by class.
	Mix map[string]float64 `yaml:"mix"`
	// Events are what happens meanwhile.
	Events []Event `yaml:"events"`
}

// Event is something that happens from a time on, until another.
type Event struct {
	// Kind is slow, reset, dead, surge, resend, mix, zone_lost, store_down,
	// rolling_restart or restart.
	Kind string `yaml:"kind"`
	// Begin and end of the event, from the begin of the run.
	At    units.Duration `yaml:"at"`
	Until units.Duration `yaml:"until"`
	// Where it happens; what does not apply is left out.
	Service string `yaml:"service"`
	Target  string `yaml:"target"`
	Zone    string `yaml:"zone"`
	// Factor of a slowdown or surge; share of requests reset.
	Factor float64 `yaml:"factor"`
	// Resend and Backoff of the callers meanwhile.
	Resend  int            `yaml:"resend"`
	Backoff units.Duration `yaml:"backoff"`
	// Mix of the traffic meanwhile, by class.
	Mix map[string]float64 `yaml:"mix"`
}

var kinds = map[string]bool{
	"slow": true, "reset": true, "dead": true, "surge": true, "resend": true, "mix": true, "zone_lost": true, "store_down": true,
	"rolling_restart": true, "restart": true,
}

// Parse reads an experiment file and checks it.
func Parse(data []byte) (*Experiment, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	parsed := &Experiment{}
	if err := decoder.Decode(parsed); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "correct the named line; keys are listed in docs/CONFIGURATION.md", "experiment cannot be read")
	}
	return parsed, parsed.Validate()
}

// Validate checks the experiment.
func (e *Experiment) Validate() error {
	bad := func(remedy, format string, arguments ...any) error {
		return failure.New(failure.BadInput, remedy, "experiment "+e.Name+": "+format, arguments...)
	}
	if e.Name == "" || len(e.Seeds) == 0 || e.Length <= 0 || e.Load <= 0 {
		return bad("set name, seeds, length and load", "something is missing")
	}
	d, err := deployment.Named(e.Deployment)
	if err != nil {
		return bad("use core-archive or expense-claims", "deployment %q is unknown", e.Deployment)
	}
	for _, event := range e.Events {
		if !kinds[event.Kind] {
			return bad("use a kind that docs/CONFIGURATION.md lists", "event kind %q is unknown", event.Kind)
		}
		if event.Until < event.At || event.Until > e.Length {
			return bad("let it end after it begins and before the run ends", "event %s lasts from %s to %s", event.Kind, time.Duration(event.At), time.Duration(event.Until))
		}
		if event.Service != "" && d.Service(event.Service) == nil {
			return bad("name a service of the deployment", "service %q is unknown", event.Service)
		}
	}
	return nil
}

// Trigger gives the span from the first event to the end of the last. How
// callers send again is no trigger but their nature.
func (e *Experiment) Trigger() (from, until time.Duration) {
	from = time.Duration(e.Length)
	for _, event := range e.Events {
		if event.Kind == "resend" {
			continue
		}
		from = min(from, time.Duration(event.At))
		until = max(until, time.Duration(event.Until))
	}
	return from, until
}

// LoadAll reads every experiment of a folder, sorted by name.
func LoadAll(directory string) ([]*Experiment, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.yaml"))
	if err != nil || len(files) == 0 {
		return nil, failure.New(failure.BadInput, "name a folder with experiment files", "no experiments in %s", directory)
	}
	sort.Strings(files)
	var all []*Experiment
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, failure.Wrap(err, failure.BadInput, "make the file readable", "file %s", file)
		}
		parsed, err := Parse(data)
		if err != nil {
			return nil, failure.Wrap(err, failure.BadInput, "", "file %s", file)
		}
		all = append(all, parsed)
	}
	return all, nil
}

// mixOf gives the deployment's mix with the shares of some classes replaced.
func mixOf(d *deployment.Deployment, shares map[string]float64) []deployment.Traffic {
	mix := append([]deployment.Traffic(nil), d.Mix...)
	for index := range mix {
		if share, replaced := shares[mix[index].Class]; replaced {
			mix[index].Share = share
		}
	}
	return mix
}

func describe(e *Experiment) string {
	return fmt.Sprintf("%s, %s, load %.2f of capacity, %d seeds", e.Deployment, time.Duration(e.Length), e.Load, len(e.Seeds))
}
