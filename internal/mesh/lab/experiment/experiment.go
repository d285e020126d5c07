// Package experiment reads experiment files, runs them in the emulator or with
// real processes and reports the results.
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

// Experiment is the content of an experiment file.
type Experiment struct {
	// Name of the experiment, equal to the base name of its file.
	Name string `yaml:"name"`
	// About describes the purpose of the experiment.
	About string `yaml:"about"`
	// Deployment is core-archive or expense-claims.
	Deployment string `yaml:"deployment"`
	// Seeds of the runs. Every variant runs once with each seed.
	Seeds []uint64 `yaml:"seeds"`
	// Length is the duration of the traffic.
	Length units.Duration `yaml:"length"`
	// Load is the rate of new user requests as a share of the capacity.
	Load float64 `yaml:"load"`
	// Resend is how many times a caller retries a failed request.
	Resend int `yaml:"resend"`
	// Backoff is the delay before a caller's retry; the emulator adds jitter.
	Backoff units.Duration `yaml:"backoff"`
	// Mix overrides shares of the deployment's traffic mix, by class.
	Mix map[string]float64 `yaml:"mix"`
	// Events are faults and traffic changes during the run.
	Events []Event `yaml:"events"`
}

// Event is a fault or a traffic change with a start and an end.
type Event struct {
	// Kind is slow, reset, dead, surge, resend, mix, zone_lost, store_down,
	// rolling_restart or restart.
	Kind string `yaml:"kind"`
	// At and Until are the start and the end, relative to the start of the run.
	At    units.Duration `yaml:"at"`
	Until units.Duration `yaml:"until"`
	// Service, Target and Zone select where the event applies, depending on its kind.
	Service string `yaml:"service"`
	Target  string `yaml:"target"`
	Zone    string `yaml:"zone"`
	// Factor is the factor of a slowdown or surge, or the share of requests reset.
	Factor float64 `yaml:"factor"`
	// Resend and Backoff override those of the callers during the event.
	Resend  int            `yaml:"resend"`
	Backoff units.Duration `yaml:"backoff"`
	// Mix overrides shares of the traffic mix during the event, by class.
	Mix map[string]float64 `yaml:"mix"`
}

var eventKinds = map[string]bool{
	"slow": true, "reset": true, "dead": true, "surge": true, "resend": true, "mix": true, "zone_lost": true, "store_down": true,
	"rolling_restart": true, "restart": true,
}

// Parse decodes and validates an experiment file.
func Parse(data []byte) (*Experiment, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	parsed := &Experiment{}
	if err := decoder.Decode(parsed); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "correct the named line; keys are listed in docs/CONFIGURATION.md", "experiment cannot be read")
	}
	return parsed, parsed.Validate()
}

// Validate checks for missing settings and unknown names, and that events lie
// within the run.
func (e *Experiment) Validate() error {
	invalid := func(remedy, format string, arguments ...any) error {
		return failure.New(failure.BadInput, remedy, "experiment "+e.Name+": "+format, arguments...)
	}
	if e.Name == "" || len(e.Seeds) == 0 || e.Length <= 0 || e.Load <= 0 {
		return invalid("set name, seeds, length and load", "a required setting is missing")
	}
	d, err := deployment.ByName(e.Deployment)
	if err != nil {
		return invalid("use core-archive or expense-claims", "deployment %q is unknown", e.Deployment)
	}
	for _, event := range e.Events {
		if !eventKinds[event.Kind] {
			return invalid("use a kind that docs/CONFIGURATION.md lists", "event kind %q is unknown", event.Kind)
		}
		if event.Until < event.At || event.Until > e.Length {
			return invalid("let it end after it begins and before the run ends", "event %s lasts from %s to %s", event.Kind, time.Duration(event.At), time.Duration(event.Until))
		}
		if event.Service != "" && d.Service(event.Service) == nil {
			return invalid("name a service of the deployment", "service %q is unknown", event.Service)
		}
	}
	return nil
}

// Trigger returns the span from the start of the first event to the end of the
// last. Changes of the callers' retry policy are not counted as triggers.
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

// LoadAll reads all experiments of a directory, sorted by file name.
func LoadAll(directory string) ([]*Experiment, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.yaml"))
	if err != nil || len(files) == 0 {
		return nil, failure.New(failure.BadInput, "name a directory with experiment files", "no experiments in %s", directory)
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

// mixWithShares returns a copy of the deployment's traffic mix with shares overridden
// by class.
func mixWithShares(d *deployment.Deployment, shares map[string]float64) []deployment.Traffic {
	mix := append([]deployment.Traffic(nil), d.Mix...)
	for index := range mix {
		if share, replaced := shares[mix[index].Class]; replaced {
			mix[index].Share = share
		}
	}
	return mix
}

func summary(e *Experiment) string {
	return fmt.Sprintf("%s, %s, load %.2f of capacity, %d seeds", e.Deployment, time.Duration(e.Length), e.Load, len(e.Seeds))
}
