package headers

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/failure"
)

// leavingValue is the value of Names.Leaving by which a target states that it leaves.
const leavingValue = "1"

// TargetState returns what the target states in the header of a response, without its instance. If
// the rate is no valid number, the error is of kind BadInput and the rest of the state is valid.
func (n Names) TargetState(header http.Header) (outcome.TargetState, error) {
	state := outcome.TargetState{RateLimit: ratelimit.Unlimited, Leaving: header.Get(n.Leaving) == leavingValue}
	values := header.Values(n.RateLimit)
	if len(values) == 0 {
		return state, nil
	}
	rate, err := strconv.ParseFloat(values[0], 64)
	if len(values) > 1 || err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return state, failure.New(failure.BadInput, "state the requests per second once, as a decimal number of at least 0", "header %s: %.40q", n.RateLimit, strings.Join(values, ", "))
	}
	state.RateLimit = rate
	return state, nil
}
