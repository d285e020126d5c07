package entry

import (
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retryafter"
)

const (
	// maxTokenWait limits the wait for a quota token. The node that owns the quota has as long to
	// answer.
	maxTokenWait = 150 * time.Millisecond
	// tokenWaitDivisor limits the wait to this fraction of the latency budget, which leaves a
	// rejected client time to retry.
	tokenWaitDivisor = 8
)

// checkQuota rejects a request over its tenant's rate limit: with 429 if the limit is reached, with
// 503 if no node could decide.
func (r *request) checkQuota() bool {
	if r.keyTenant == nil || !r.keyTenant.HasRateLimit() {
		return true
	}
	quotas := r.options.Quotas
	if quotas.Admit(r.ctx, r.keyTenant, r.tokenWait()) {
		return true
	}
	limitReached, retryAfter := quotas.Refusal(r.keyTenant, retryafter.MaxQuotaDelay(r.clientTimeout()))
	if limitReached {
		r.reject(http.StatusTooManyRequests, outcome.ReasonOverQuota, retryafter.Range{Min: retryAfter})
		return false
	}
	r.reject(http.StatusServiceUnavailable, outcome.ReasonNoAllowance, retryafter.QuotaUnavailable())
	return false
}

// tokenWait returns how long the request may wait for a quota token.
func (r *request) tokenWait() time.Duration {
	return min(maxTokenWait, r.latencyBudget()/tokenWaitDivisor)
}
