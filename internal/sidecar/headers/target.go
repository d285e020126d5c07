package headers

import (
	"math"
	"net/http"
	"strconv"

	"github.com/landingmast/landingmast/internal/core/ratelimit"
	"github.com/landingmast/landingmast/internal/failure"
)

// TargetState is what a target states about itself in each of its responses.
type TargetState struct {
	RateLimit float64 // requests per second from all senders; ratelimit.Unlimited: none
	Leaving   bool    // the target accepts no new requests
}

// leavingValue is the value of Names.Leaving by which a target states that it leaves.
const leavingValue = "1"

// TargetState returns what the target states in the header of a response. If the rate is not a
// number, the error is of kind BadInput and the rest of the state is valid.
func (n Names) TargetState(header http.Header) (TargetState, error) {
	state := TargetState{RateLimit: ratelimit.Unlimited, Leaving: header.Get(n.Leaving) == leavingValue}
	text := header.Get(n.RateLimit)
	if text == "" {
		return state, nil
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return state, failure.New(failure.BadInput, "state the requests per second as a decimal number of at least 0", "header %s: %.40q", n.RateLimit, text)
	}
	state.RateLimit = rate
	return state, nil
}
