// Package retryafter decides when the sender of a refused request is invited to come back.
// Two things speak against each other: a sender that comes back before a shortage is over is
// refused again, and one that comes back late has little of its own time left to be served
// in. Senders that were refused at one moment are spread, so that they do not return at one.
//
// The package knows no clock and draws nothing: a caller hands in a random number.
package retryafter

import (
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
)

// Times after which a refused sender may come back. No measurement set them: a node that
// cannot serve yet or no longer is replaced by another one, or knows its configuration,
// within about a second; a gate without room at one attempt has a slot free soon after.
const (
	unready     = 500 * time.Millisecond
	noRoom      = 400 * time.Millisecond
	noAllowance = 300 * time.Millisecond
)

// Parts of its own time after which a sender comes back at the latest: as late as senders
// wait, when the shortage may be over, with most of their time left.
const (
	partOfTime      = 3
	partOfTimeQuota = 3
)

// Span is a Retry-After that is yet to be drawn: Least, and up to Spread more.
type Span struct {
	Least, Spread time.Duration
}

// At draws the Retry-After by a random number of 0 up to 1; 0: the sender is not invited.
func (s Span) At(random float64) time.Duration {
	return s.Least + time.Duration(random*float64(s.Spread))
}

// jittered is a span of once to twice a time.
func jittered(least time.Duration) Span { return Span{Least: least, Spread: least} }

// Unready is for a node that cannot serve now: it stops, has no configuration or cannot
// trust the one it has.
func Unready() Span { return Span{Least: unready} }

// Shed is for a request that is refused where its chain begins; senderTime is how long its
// sender waits for one attempt.
func Shed(senderTime time.Duration) Span { return jittered(senderTime / (2 * partOfTime)) }

// NotRun is for a request that no target took for a reason. One that is held back since
// targets ended with it is not to come again.
func NotRun(reason outcome.Reason) Span {
	if reason == outcome.ReasonEndsTargets {
		return Span{}
	}
	return jittered(noRoom)
}

// NoAllowance is for a request of a tenant with a limit while no keeper of its quota can be
// asked; one may be found by then.
func NoAllowance() Span { return jittered(noAllowance) }

// QuotaMost bounds the Retry-After of a request beyond its tenant's limit, whose keeper
// knows when there is room again.
func QuotaMost(senderTime time.Duration) time.Duration { return senderTime / partOfTimeQuota }
