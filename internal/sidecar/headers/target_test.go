package headers

import (
	"net/http"
	"strings"
	"testing"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

func TestTargetState(t *testing.T) {
	names := Names{RateLimit: "Rate", Leaving: "Leaving"}
	for _, tc := range []struct {
		name    string
		rates   []string
		leaving string
		state   outcome.TargetState
		invalid bool
	}{
		{name: "states nothing", state: outcome.TargetState{RateLimit: ratelimit.Unlimited}},
		{name: "rate", rates: []string{"3.6"}, state: outcome.TargetState{RateLimit: 3.6}},
		{name: "rate of zero", rates: []string{"0"}, state: outcome.TargetState{}},
		{name: "leaving", leaving: "1", state: outcome.TargetState{RateLimit: ratelimit.Unlimited, Leaving: true}},
		{name: "not leaving", leaving: "0", state: outcome.TargetState{RateLimit: ratelimit.Unlimited}},
		{name: "no number", rates: []string{"many"}, leaving: "1", state: outcome.TargetState{RateLimit: ratelimit.Unlimited, Leaving: true}, invalid: true},
		{name: "negative", rates: []string{"-1"}, state: outcome.TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
		{name: "not a number", rates: []string{"NaN"}, state: outcome.TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
		{name: "infinite", rates: []string{"Inf"}, state: outcome.TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
		{name: "too large", rates: []string{"1e309"}, state: outcome.TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
		{name: "kilobyte of digits", rates: []string{strings.Repeat("9", 1024)}, state: outcome.TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
		{name: "decimal comma", rates: []string{"3,6"}, state: outcome.TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
		{name: "empty", rates: []string{""}, state: outcome.TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
		{name: "stated twice", rates: []string{"3", "5"}, state: outcome.TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			header := http.Header{}
			for _, rate := range tc.rates {
				header.Add(names.RateLimit, rate)
			}
			if tc.leaving != "" {
				header.Set(names.Leaving, tc.leaving)
			}
			state, err := names.TargetState(header)
			g.Expect(state).To(Equal(tc.state))
			g.Expect(err != nil).To(Equal(tc.invalid))
			g.Expect(failure.Is(err, failure.BadInput)).To(Equal(tc.invalid))
			if err != nil {
				g.Expect(len(err.Error())).To(BeNumerically("<", 200))
			}
		})
	}
}
