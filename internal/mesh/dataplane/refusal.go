package dataplane

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// refusal is a final answer that is not the target's own.
type refusal struct {
	outcome    outcome.Outcome
	reason     outcome.Reason
	retryAfter time.Duration
}

// Spans after which a refused caller should come back; half of each is jitter,
// so that refused callers do not come back together.
const (
	retryAfterOverload = 4 * time.Second
	retryAfterFault    = 2 * time.Second
)

func refuse(how outcome.Outcome, reason outcome.Reason) refusal {
	span := retryAfterFault
	switch reason {
	case outcome.ReasonOverloadCursor, outcome.ReasonQueueFull, outcome.ReasonQueueTimeout, outcome.ReasonTargetShed:
		span = retryAfterOverload
	case outcome.ReasonNoKey, outcome.ReasonNoClass, outcome.ReasonUnknownService, outcome.ReasonTooDeep, outcome.ReasonAnswerNotKept, outcome.ReasonExecutorLost:
		span = 0 // coming back does not help
	}
	if span > 0 {
		span = span/2 + rand.N(span/2)
	}
	return refusal{outcome: how, reason: reason, retryAfter: span}
}

// status gives the HTTP status that a caller sees.
func (r refusal) status() int {
	switch r.reason {
	case outcome.ReasonNoKey:
		return http.StatusBadRequest
	case outcome.ReasonNoClass, outcome.ReasonUnknownService:
		return http.StatusNotFound
	case outcome.ReasonTooDeep:
		return http.StatusLoopDetected
	case outcome.ReasonInProgress, outcome.ReasonAnswerNotKept:
		return http.StatusConflict
	case outcome.ReasonTimeout, outcome.ReasonExpired:
		return http.StatusGatewayTimeout
	}
	if r.outcome == outcome.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

var remedies = map[outcome.Reason]string{
	outcome.ReasonNoKey:          "send the header with a key that is unique to this request",
	outcome.ReasonNoClass:        "have an operator add a request class for this method and path to the bundle",
	outcome.ReasonUnknownService: "name a service of the bundle in the Host header",
	outcome.ReasonTooDeep:        "look for a loop in the calls, or raise max_depth in the bundle",
	outcome.ReasonInProgress:     "send the same key again after the given time",
	outcome.ReasonExecutorLost:   "ask the back end what became of the key; it will not run again",
	outcome.ReasonAnswerNotKept:  "ask the back end for the result; it ran and will not run again",
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
	Remedy    string `json:"remedy"`
}

// write sends the refusal to a caller, at once and for good.
func (r refusal) write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set(wire.HeaderOutcome, string(r.outcome))
	header.Set(wire.HeaderReason, string(r.reason))
	header.Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	remedy, special := remedies[r.reason]
	if !special {
		remedy = "send it again after the given time"
	}
	data, _ := json.Marshal(refusalBody{Outcome: string(r.outcome), Reason: string(r.reason), RequestID: requestID, Remedy: remedy})
	header.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(r.status())
	_, _ = w.Write(data)
}
