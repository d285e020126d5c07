package sidecar

import (
	"net/http"
	"strconv"

	"github.com/landingmast/landingmast/internal/wire"
)

// grantScale is the factor of a granted part in its header.
const grantScale = 1000

// grantUnsaid is the part that a sender of the release before leaves to the calls.
const grantUnsaid = 0.5

// grant tells the part of the budgets for repeats that is left to a request's calls.
func grant(header http.Header, part float64) {
	header.Set(wire.HeaderSidecarGrant, strconv.Itoa(int(part*grantScale)))
}

// grantedBy reads that part. Anything but 0 to 1 would let the nodes together repeat
// more than the users' rule allows: it counts as unsaid.
func grantedBy(header http.Header) float64 {
	thousandths, err := strconv.Atoi(header.Get(wire.HeaderSidecarGrant))
	if err != nil || thousandths < 0 || thousandths > grantScale {
		return grantUnsaid
	}
	return float64(thousandths) / grantScale
}
