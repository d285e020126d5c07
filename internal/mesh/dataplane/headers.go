package dataplane

import (
	"io"
	"net/http"
	"strings"

	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// copyHeaders copies what travels end to end; reserved headers stay behind.
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

// stripReserved removes the headers that only landingmast sets and gives their number.
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

// net/http sends some requests a second time of its own accord when a reused
// connection breaks: those whose body it can repeat and whose method or
// Idempotency-Key header says that they may be. Retries are counted and bounded
// here, so setBody and hideKeys see to it that it never does.

// opaqueBody hides from net/http what a body is.
type opaqueBody struct{ io.ReadCloser }

// setBody sets the body of a forwarded request. An empty body of a method that
// usually has one is sent as Content-Length: 0.
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

// hideKeys renames the headers by which net/http takes a request for repeatable
// to lower case; names are case-insensitive to the receiver.
func hideKeys(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, present := header[name]; present {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}
