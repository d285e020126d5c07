// Package units provides the durations of settings files and bundles. They are read and written
// with a unit, so that a bare number cannot be misinterpreted.
package units

import (
	"encoding/json"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration that is encoded with a unit, e.g. 250ms.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler. A number without a unit is an error.
func (d *Duration) UnmarshalYAML(value *yaml.Node) error {
	parsed, err := time.ParseDuration(value.Value)
	if err != nil {
		return failure.New(failure.BadInput, "write a number with its unit, e.g. 250ms or 2s", "line %d: %q is no time span", value.Line, value.Value)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler. A number without a unit is an error.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return failure.Wrap(err, failure.BadInput, "write a string such as \"2s\"", "duration is not a string")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return failure.Wrap(err, failure.BadInput, "write a number with its unit, e.g. 250ms", "invalid duration")
	}
	*d = Duration(parsed)
	return nil
}
