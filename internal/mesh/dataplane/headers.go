package dataplane

import (
	"io"
	"net/http"
	"strings"

	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// hopByHop lists the connection-specific headers (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// copyHeaders copies the end-to-end headers, except reserved ones.
func copyHeaders(to, from http.Header) {
	named := map[string]bool{}
	for _, value := range from.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if named[name] || isReserved(name) {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
}

func isReserved(name string) bool {
	return strings.HasPrefix(name, wire.HeaderPrefix)
}

// stripReserved deletes the reserved headers and returns how many there were.
func stripReserved(header http.Header) int {
	stripped := 0
	for name := range header {
		if isReserved(name) {
			delete(header, name)
			stripped++
		}
	}
	return stripped
}

// net/http retries a request on a broken idle connection if the body can be rewound and
// the method or an Idempotency-Key header marks it as idempotent. Retries are limited by
// credits here, so setBody and lowercaseIdempotencyKeys prevent the implicit ones.

// opaqueBody hides the concrete type of a body from net/http.
type opaqueBody struct{ io.ReadCloser }

// setBody sets the body of a forwarded request. For methods that normally have a body, an
// empty one is sent with Content-Length: 0.
func setBody(request *http.Request, body io.ReadCloser, length int64) {
	request.ContentLength = length
	request.Body = opaqueBody{body}
	switch request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		if length == 0 {
			request.Body = http.NoBody
		}
	}
}

// lowercaseIdempotencyKeys lowercases the header names that make net/http treat a request
// as idempotent. Header names are case-insensitive, so receivers are not affected.
func lowercaseIdempotencyKeys(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, present := header[name]; present {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}
