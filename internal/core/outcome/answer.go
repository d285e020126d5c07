package outcome

import "net/http"

// TargetAnswer is what the worth of a target's answer depends on.
type TargetAnswer struct {
	Status  int
	NotRun  bool // the target says that it did not run the request
	Signed  bool // it carries the target's mark
	Encoded bool // its body is encoded by something between target and node
}

// Judge decides what a target's answer is worth. A target that declines has not run the
// request. A success without the target's mark, or with a body that something on the way
// has encoded, may be anybody's bytes; the request may have run. Errors of a target carry no
// mark and are taken as they are.
func (a TargetAnswer) Judge() (Outcome, Reason) {
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return NotRun, ReasonMisdirected
	case a.NotRun:
		return NotRun, ReasonTargetShed
	case !a.Signed && a.Status < http.StatusBadRequest, a.Encoded:
		return Unknown, ReasonSpoiled
	}
	return Answered, ReasonNone
}

// Final decides how a request ends that no target answered: the status for its sender and
// the reason. "Not run", 503, is said only where no sending may have run; last is the reason
// of the last one. timeUp reports that the request has no time left.
func Final(mayHaveRun, timeUp bool, last Reason) (status int, reason Reason) {
	switch {
	case !mayHaveRun:
		return http.StatusServiceUnavailable, last
	case timeUp:
		return http.StatusGatewayTimeout, ReasonTimeout
	}
	return http.StatusBadGateway, last
}
