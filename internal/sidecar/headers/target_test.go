package headers

import (
	"net/http"
	"testing"

	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

func TestTargetState(t *testing.T) {
	names := Names{RateLimit: "Rate", Leaving: "Leaving"}
	for _, tc := range []struct {
		name          string
		rate, leaving string
		state         TargetState
		invalid       bool
	}{
		{name: "states nothing", state: TargetState{RateLimit: ratelimit.Unlimited}},
		{name: "rate", rate: "3.6", state: TargetState{RateLimit: 3.6}},
		{name: "rate of zero", rate: "0", state: TargetState{}},
		{name: "leaving", leaving: "1", state: TargetState{RateLimit: ratelimit.Unlimited, Leaving: true}},
		{name: "not leaving", leaving: "0", state: TargetState{RateLimit: ratelimit.Unlimited}},
		{name: "no number", rate: "many", leaving: "1", state: TargetState{RateLimit: ratelimit.Unlimited, Leaving: true}, invalid: true},
		{name: "negative", rate: "-1", state: TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
		{name: "not a number", rate: "NaN", state: TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
		{name: "infinite", rate: "Inf", state: TargetState{RateLimit: ratelimit.Unlimited}, invalid: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			header := http.Header{}
			if tc.rate != "" {
				header.Set(names.RateLimit, tc.rate)
			}
			if tc.leaving != "" {
				header.Set(names.Leaving, tc.leaving)
			}
			state, err := names.TargetState(header)
			g.Expect(state).To(Equal(tc.state))
			g.Expect(err != nil).To(Equal(tc.invalid))
			g.Expect(failure.Is(err, failure.BadInput)).To(Equal(tc.invalid))
		})
	}
}
