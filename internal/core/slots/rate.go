package slots

import (
	"math"
	"time"

	"github.com/landingmast/landingmast/internal/core/ratelimit"
)

// maxTokenWait is the longest wait for a token for which a request queues. Beyond it another target
// may take the request sooner.
const maxTokenWait = 500 * time.Millisecond

// SetRateLimit sets the rate that the target states, in requests per second, or
// ratelimit.Unlimited. It ends the probation.
func (g *Gate) SetRateLimit(now time.Duration, rate float64) []Decision {
	g.probationEndsAt = now
	switch {
	case rate == ratelimit.Unlimited:
		g.rate = nil
	case g.rate == nil:
		g.rate = ratelimit.NewBucket(now, rate)
	default:
		g.rate.SetRate(now, rate)
	}
	return g.dispatch(now, nil)
}

// StartProbation admits few requests at the same time until the first response of a target, which
// may state a rate that is not known yet.
func (g *Gate) StartProbation(now time.Duration) { g.probationEndsAt = now + maxProbation }

const (
	// probationRequests is the number of requests at a target on probation.
	probationRequests = 4
	// maxProbation ends the probation of a target that does not respond.
	maxProbation = time.Second
)

// tryAdmit reports whether a request may be sent now. If so, its token is taken.
func (g *Gate) tryAdmit(now time.Duration) bool {
	if len(g.running) >= g.slots || now < g.probationEndsAt && len(g.running) >= probationRequests {
		return false
	}
	return g.rate == nil || g.rate.Take(now)
}

// rateLimitedLoad returns the slots and running requests to report for a target that states a rate:
// as many slots as the target takes requests at once, and the larger of the shares of its slots and
// of its tokens that are used. Senders that know nothing of rates thus see how much room is left.
func (g *Gate) rateLimitedLoad(now time.Duration) (slots, running int) {
	slots = min(int(math.Ceil(g.rate.Depth())), g.slots)
	if !g.rate.Ready(now) {
		return slots, max(len(g.running)*slots/g.slots, slots)
	}
	used := max(float64(len(g.running))/float64(g.slots), 1-g.rate.Tokens(now)/g.rate.Depth())
	return slots, int(used * float64(slots))
}

// tokenWait returns the time until there are count tokens.
func (g *Gate) tokenWait(now time.Duration, count int) time.Duration {
	if g.rate == nil {
		return 0
	}
	return g.rate.Wait(now, count)
}

// NextToken returns the time until a further request would get a token.
func (g *Gate) NextToken(now time.Duration) time.Duration { return g.tokenWait(now, len(g.queue)+1) }
