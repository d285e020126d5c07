package entry

import (
	"net/http"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/outcome"
)

// headerSlack is tolerated above the limit of a request's head, since clients count the request
// line and the separators differently.
const headerSlack = 4 << 10

// checkLimits returns the status and reason for rejecting a request that exceeds the configured
// limits, or 0. Bodies of unknown length are limited while they are read.
func checkLimits(r *http.Request, limits intent.Limits) (status int, reason outcome.Reason) {
	switch {
	case limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes:
		return http.StatusRequestEntityTooLarge, outcome.ReasonBodyTooLarge
	case limits.MaxHeaderBytes > 0 && headSize(r) > limits.MaxHeaderBytes+headerSlack:
		return http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonHeadTooLarge
	}
	return 0, outcome.ReasonNone
}

// headSize returns the size in bytes of the request line and the header fields.
func headSize(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}
