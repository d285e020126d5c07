package outcome

import "net/http"

// TargetResponse holds the properties of a target's response that determine its outcome.
type TargetResponse struct {
	Status  int
	NotRun  bool // the target reports that it did not run the request
	Signed  bool // the response carries the target's signature
	Encoded bool // an intermediary encoded the body
}

// Classify returns the outcome of a target's response. A success without the target's signature, or
// any response with a body that an intermediary encoded, may not be the target's, and the request
// may have run. Error responses carry no signature and are accepted as they are.
func (t TargetResponse) Classify() (Outcome, Reason) {
	switch {
	case t.Status == http.StatusMisdirectedRequest:
		return NotRun, ReasonMisdirected
	case t.NotRun:
		return NotRun, ReasonTargetShed
	case !t.Signed && t.Status < http.StatusBadRequest, t.Encoded:
		return Unknown, ReasonInvalidResponse
	}
	return Answered, ReasonNone
}

// FinalStatus returns the status and reason for a request without a response from a target. It
// returns 503 only if no attempt may have run the request. last is the reason of the last
// attempt; timedOut reports that the request has no time left.
func FinalStatus(mayHaveRun, timedOut bool, last Reason) (status int, reason Reason) {
	switch {
	case !mayHaveRun:
		return http.StatusServiceUnavailable, last
	case timedOut:
		return http.StatusGatewayTimeout, ReasonTimeout
	}
	return http.StatusBadGateway, last
}
