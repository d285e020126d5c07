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

// Who a request belongs to is settled once, at the node where it began: a client's
// request belongs to the tenant that holds its key, a call of a target to the tenant of
// the request that made it. The key stays at that node; other nodes and targets get the
// tenant's name.

// identify settles the tenant of the request. false: it was refused.
func (x *request) identify() bool {
	if x.parent != nil {
		x.tenant = x.parent.Tenant
		return true
	}
	if len(x.intent.Tenants) == 0 {
		return true
	}
	key := x.options.Headers.ClientKey(x.request.Header)
	if key == "" {
		return x.identifyWithoutKey()
	}
	if !x.fresh {
		x.refuse(http.StatusServiceUnavailable, outcome.ReasonStale, retryafter.Unready())
		return false
	}
	x.holder = x.intent.Holder(key)
	if x.holder != nil {
		x.tenant = x.holder.Name
		x.rankByTenant()
		return true
	}
	if x.intent.NeedsKey(x.route) {
		x.refuseKey()
		return false
	}
	return true
}

// rankByTenant takes the tenant's priority into the request's importance.
func (x *request) rankByTenant() {
	if !x.options.PolicyOn(settings.TenantOrder) {
		return
	}
	limit := x.limit()
	if !x.options.PolicyOn(settings.Urgency) {
		limit = 0
	}
	x.importance = importance.Of(x.route, x.holder, limit)
}

// identifyWithoutKey lets requests of public routes in. A call whose parent is no longer
// at the target is refused as not run: its parent's answer can reach nobody.
func (x *request) identifyWithoutKey() bool {
	switch {
	case !x.intent.NeedsKey(x.route):
		return true
	case strings.Contains(x.id, wire.CallSeparator):
		x.refuse(http.StatusServiceUnavailable, outcome.ReasonOrphan, retryafter.Unready())
	default:
		x.refuseKey()
	}
	return false
}

func (x *request) refuseKey() {
	x.writer.Header().Set("WWW-Authenticate", x.options.Headers.KeyScheme)
	x.refuse(http.StatusUnauthorized, outcome.ReasonUnknownKey, notInvited)
}
