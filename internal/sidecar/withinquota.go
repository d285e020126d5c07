package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/core/retryafter"
)

// Times for which a request waits for a token of its tenant's limit.
const (
	// tokenWait is how long a request waits for a token at most: as long as one question.
	tokenWait = 150 * time.Millisecond
	// tokenWaitShare is the part of the time inside which its answer is wanted that a
	// request waits at most: a refusal after an eighth still leaves time to come back.
	tokenWaitShare = 8
)

// withinQuota lets the request in, or refuses it.
func (x *exchange) withinQuota(ctx context.Context) bool {
	if x.holder == nil || !x.holder.Limited() {
		return true
	}
	q := x.node.quotas
	if q.Admit(ctx, x.holder, x.tokenWait()) {
		return true
	}
	spent, comeBack := q.Refusal(x.holder, retryafter.QuotaMost(x.clientTime()))
	if spent {
		x.refuse(http.StatusTooManyRequests, outcome.ReasonQuota, retryafter.Span{Least: comeBack})
		return false
	}
	x.refuse(http.StatusServiceUnavailable, outcome.ReasonNoAllowance, retryafter.NoAllowance())
	return false
}

// tokenWait is how long the request may wait for a token.
func (x *exchange) tokenWait() time.Duration { return min(tokenWait, x.limit()/tokenWaitShare) }
