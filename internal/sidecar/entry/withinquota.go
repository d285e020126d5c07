package entry

import (
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retryafter"
)

// Times for which a request waits for a token of its tenant's limit.
const (
	// tokenWait is how long a request waits for a token at most: as long as a keeper has to answer.
	tokenWait = 150 * time.Millisecond
	// tokenWaitShare is the part, one in so many, of the time inside which its answer is wanted
	// that a request waits at most: after a refusal there is still time to come back.
	tokenWaitShare = 8
)

// withinQuota reports whether the request is within its tenant's limit. If not, it has been
// refused: with 429 if the limit is reached, with 503 if no keeper could say.
func (x *request) withinQuota() bool {
	if x.holder == nil || !x.holder.Limited() {
		return true
	}
	q := x.options.Quotas
	if q.Admit(x.ctx, x.holder, x.tokenWait()) {
		return true
	}
	limitReached, retryAfter := q.Refusal(x.holder, retryafter.QuotaMost(x.senderTime()))
	if limitReached {
		x.refuse(http.StatusTooManyRequests, outcome.ReasonQuota, retryafter.Span{Least: retryAfter})
		return false
	}
	x.refuse(http.StatusServiceUnavailable, outcome.ReasonNoAllowance, retryafter.NoAllowance())
	return false
}

// tokenWait returns how long the request may wait for a token.
func (x *request) tokenWait() time.Duration { return min(tokenWait, x.limit()/tokenWaitShare) }
