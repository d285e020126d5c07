package entry

import (
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	readahead "github.com/landingmast/landingmast/internal/pipeline"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
)

// recordCompletion updates the metrics and writes the log event of a finished request.
func (r *request) recordCompletion(status int, reason outcome.Reason, retryAfter time.Duration) {
	r.status = status
	elapsed := r.options.Now() - r.started
	label := outcomeLabel(status, reason)
	service := r.service
	if service == "" {
		service = "none"
	}
	r.options.Metrics.Requests.WithLabelValues(service, label, string(reason)).Inc()
	r.options.Metrics.RequestDuration.WithLabelValues(service).Observe(elapsed.Seconds())
	if label == "ok" {
		r.recordTime(elapsed)
	}
	r.recordReturning(label, reason, retryAfter)
	weight := eventlog.Success
	if label != "ok" || len(r.attempts) > 1 || (r.route != nil && r.route.Objective > 0 && elapsed > r.route.Objective) {
		weight = eventlog.Failure
	}
	if !r.options.Events.Allow(eventlog.Request{}.Kind(), weight) {
		return
	}
	event := eventlog.Request{
		Request: r.id, Tenant: r.tenant, Service: r.service, Version: r.options.Configuration.Version(), Importance: r.importance, Status: status, Reason: string(reason),
		TookMS: eventlog.Milliseconds(elapsed), TimeLimitMS: eventlog.Milliseconds(r.timeout), AdmitProbability: r.decision.Probability, BottleneckService: r.decision.Bottleneck, Occupancy: r.decision.Occupancy,
		Price: r.decision.Price, Merit: r.decision.Merit, Offered: r.decision.Offered, Returning: r.decision.Returning, TenantRatio: r.decision.TenantRatio, StartWaitMS: eventlog.Milliseconds(r.decision.StartWait), ReadAhead: readahead.ReadAhead(r.incoming.Context()),
		RetryAfterMS: eventlog.Milliseconds(retryAfter), Attempts: r.attempts, InFlight: r.decision.InFlight, WindowSize: r.decision.WindowSize,
	}
	if r.returnIsPromised {
		event.ReturnInMS = event.RetryAfterMS
	}
	if r.route != nil {
		event.Route = r.route.Name
		event.ObjectiveMS = eventlog.Milliseconds(r.route.Objective)
	}
	if r.parent != nil {
		event.Parent = r.parent.ID
	}
	r.options.Events.Add(event, weight)
}

// recordPanic records a request whose handler panics. net/http recovers the panic, logs it without the request
// and closes the connection; a handler that panics with http.ErrAbortHandler has recorded its request.
func (r *request) recordPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		r.recordCompletion(0, outcome.ReasonInternalError, 0)
	}
	panic(cause)
}

func outcomeLabel(status int, reason outcome.Reason) string {
	switch {
	case reason == outcome.ReasonInternalError:
		return "failed"
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
