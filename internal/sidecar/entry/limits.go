package entry

import (
	"net/http"

	"github.com/landingmast/landingmast/internal/core/intent"
	"github.com/landingmast/landingmast/internal/core/outcome"
)

// headerSlack is allowed beyond the limit of a request's head, since senders
// count the request line and the separators differently.
const headerSlack = 4 << 10

// refusedBySize gives the status with which a request is refused that is larger
// than the operators allow; 0 when it is not. A body that does not tell its length
// is bounded while it is read.
func refusedBySize(r *http.Request, limits intent.Limits) (status int, reason outcome.Reason) {
	switch {
	case limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes:
		return http.StatusRequestEntityTooLarge, outcome.ReasonBodyTooLarge
	case limits.MaxHeaderBytes > 0 && headSize(r) > limits.MaxHeaderBytes+headerSlack:
		return http.StatusRequestHeaderFieldsTooLarge, outcome.ReasonHeadTooLarge
	}
	return 0, outcome.ReasonNone
}

// headSize is the size of a request's line and header fields, in bytes.
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
