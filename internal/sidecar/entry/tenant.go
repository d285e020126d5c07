package entry

import (
	"net/http"
	"strings"

	"github.com/landingmast/landingmast/internal/core/importance"
	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retryafter"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/wire"
)

// identifyTenant determines the tenant of the request; it returns false if the request was
// rejected. A client request belongs to the tenant of its key, a call of a target to the tenant of
// the parent request. The key never leaves this node; other nodes and targets see the tenant's
// name.
func (r *request) identifyTenant() bool {
	if r.parent != nil {
		r.tenant = r.parent.Tenant
		return true
	}
	if len(r.intent.Tenants) == 0 {
		return true
	}
	key := r.options.Headers.ClientKey(r.incoming.Header)
	if key == "" {
		return r.handleMissingKey()
	}
	if !r.configFresh {
		r.reject(http.StatusServiceUnavailable, outcome.ReasonStaleConfiguration, retryafter.NotReady())
		return false
	}
	r.keyTenant = r.intent.TenantByKey(key)
	if r.keyTenant != nil {
		r.tenant = r.keyTenant.Name
		r.applyTenantPriority()
		return true
	}
	if r.intent.RequiresKey(r.route) {
		r.rejectKey()
		return false
	}
	return true
}

// applyTenantPriority recomputes the importance with the tenant's priority.
func (r *request) applyTenantPriority() {
	if !r.options.PolicyOn(settings.TenantOrder) {
		return
	}
	limit := r.latencyBudget()
	if !r.options.PolicyOn(settings.Urgency) {
		limit = 0
	}
	r.importance = importance.Of(r.route, r.keyTenant, limit)
}

// handleMissingKey admits requests of public routes. A call whose parent has left the target is
// rejected as not run, since the parent's response can no longer be delivered.
func (r *request) handleMissingKey() bool {
	switch {
	case !r.intent.RequiresKey(r.route):
		return true
	case strings.Contains(r.id, wire.CallSeparator):
		r.reject(http.StatusServiceUnavailable, outcome.ReasonParentGone, retryafter.NotReady())
	default:
		r.rejectKey()
	}
	return false
}

func (r *request) rejectKey() {
	r.writer.Header().Set("WWW-Authenticate", r.options.Headers.KeyScheme)
	r.reject(http.StatusUnauthorized, outcome.ReasonUnknownKey, noRetryAfter)
}
