// Package units holds the time spans of settings files and bundles: they are read and
// written with their unit, so that a bare number cannot be taken for another one.
package units

import (
	"encoding/json"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"go.yaml.in/yaml/v3"
)

// Duration is a time span that must be written with its unit, e.g. 250ms.
type Duration time.Duration

// UnmarshalYAML reads a span with its unit; a bare number is refused.
func (d *Duration) UnmarshalYAML(value *yaml.Node) error {
	span, err := time.ParseDuration(value.Value)
	if err != nil {
		return failure.New(failure.BadInput, "write a number with its unit, e.g. 250ms or 2s", "line %d: %q is no time span", value.Line, value.Value)
	}
	*d = Duration(span)
	return nil
}

// MarshalYAML writes the span with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// MarshalJSON writes the span with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a span with its unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return failure.Wrap(err, failure.BadInput, "write a string such as \"2s\"", "time span cannot be read")
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return failure.Wrap(err, failure.BadInput, "write a number with its unit, e.g. 250ms", "time span cannot be read")
	}
	*d = Duration(span)
	return nil
}
