package entry

import (
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
)

// ended notes the end of a request that began here.
func (x *request) ended(status int, reason outcome.Reason, retryAfter time.Duration) {
	x.status = status
	took := x.options.Now() - x.started
	outcome := outcomeOf(status, reason)
	service := x.service
	if service == "" {
		service = "none"
	}
	x.options.Metrics.Requests.WithLabelValues(service, outcome, string(reason)).Inc()
	x.options.Metrics.Took.WithLabelValues(service).Observe(took.Seconds())
	weight := eventlog.Success
	if outcome != "ok" || len(x.sends) > 1 || (x.route != nil && x.route.Objective > 0 && took > x.route.Objective) {
		weight = eventlog.Failure
	}
	if !x.options.Events.Wants(eventlog.Request{}.Kind(), weight) {
		return
	}
	event := eventlog.Request{
		Request: x.id, Tenant: x.tenant, Service: x.service, Version: x.options.Configuration.Version(), Importance: x.importance, Status: status, Reason: string(reason),
		TookMS: eventlog.Milliseconds(took), HoldMS: eventlog.Milliseconds(x.holdFor), Share: x.decision.Probability, Decisive: x.decision.Bottleneck, Occupancy: x.decision.Occupancy,
		RetryAfterMS: eventlog.Milliseconds(retryAfter), Sends: x.sends, InFlight: x.decision.InFlight, Fits: x.decision.WindowSize,
	}
	if x.route != nil {
		event.Route = x.route.Name
		event.ObjectiveMS = eventlog.Milliseconds(x.route.Objective)
	}
	if x.parent != nil {
		event.Parent = x.parent.ID
	}
	x.options.Events.Add(event, weight)
}

func outcomeOf(status int, reason outcome.Reason) string {
	switch {
	case status == 0:
		return "left"
	case reason != outcome.ReasonNone && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		return "refused"
	case status >= http.StatusBadRequest:
		return "failed"
	default:
		return "ok"
	}
}
