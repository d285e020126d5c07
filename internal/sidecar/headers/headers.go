// Package headers filters and rewrites the headers of requests and responses: it removes hop-by-hop
// and reserved fields and extracts client keys. The names of platform headers are supplied as
// Names. The package is stateless.
package headers

import (
	"net/http"
	"strings"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

// Names holds the names of the headers used by clients, nodes and targets.
type Names struct {
	RequestID      string // id of one client attempt; echoed by targets
	Deadline       string // milliseconds until the sender times out
	Signature      string // marks a response as written by the target
	ExpectInstance string // the only instance allowed to execute the request
	Instance       string // the instance that responded
	Load           string // running, waiting, slots
	RateLimit      string // requests per second that the target takes from all senders
	Leaving        string // "1" if the target accepts no new requests
	NotRun         string // set if the target did not execute the request
	Caller         string // service that sent the request
	Tenant         string // tenant of the client's key; set only by nodes
	Key            string // the client's key
	KeyScheme      string // authentication scheme that precedes the key
}

// isHopByHop reports whether a header is connection-specific (RFC 9110, section 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}

// reservedPrefix starts the names of headers that only nodes may set.
const reservedPrefix = "Landingmast-"

// EndToEnd copies the end-to-end headers, leaving out hop-by-hop headers and reserved ones.
func EndToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from))
	options := connectionOptions(from)
	for name, values := range from {
		if !isLocal(name, options) {
			to[name] = values
		}
	}
	return to
}

// KeepEndToEnd removes hop-by-hop headers and reserved ones, and returns the header.
func KeepEndToEnd(header http.Header) http.Header {
	options := connectionOptions(header)
	for name := range header {
		if isLocal(name, options) {
			delete(header, name)
		}
	}
	return header
}

// isLocal reports whether a header is not passed on. options are the names listed in the Connection
// header.
func isLocal(name string, options map[string]bool) bool {
	return isHopByHop(name) || strings.HasPrefix(name, reservedPrefix) || options[name]
}

// connectionOptions returns the names listed in the Connection header.
func connectionOptions(from http.Header) map[string]bool {
	values := from["Connection"]
	if len(values) == 0 {
		return nil
	}
	options := map[string]bool{}
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			options[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}

// RemoveCallHeaders removes the headers that are also carried by the SidecarCall.
func (n Names) RemoveCallHeaders(header http.Header) {
	delete(header, n.RequestID)
	delete(header, n.Deadline)
}

// IsCallHeader reports whether RemoveCallHeaders removes a header.
func (n Names) IsCallHeader(name string) bool { return name == n.RequestID || name == n.Deadline }

// AppendField appends a header field to an HTTP/1.1 message, one line per value. Line breaks in values
// are replaced by spaces, as net/http does.
func AppendField(message []byte, name string, values []string) []byte {
	for _, value := range values {
		message = append(append(message, name...), ": "...)
		start := len(message)
		message = append(message, value...)
		for index := start; index < len(message); index++ {
			if message[index] == '\n' || message[index] == '\r' {
				message[index] = ' '
			}
		}
		message = append(message, "\r\n"...)
	}
	return message
}

// RestoreRequestID adds the request id to a response that lacks it. Nodes of the previous release
// still send it.
func (n Names) RestoreRequestID(response *reply.Reply, call *wire.SidecarCall) {
	if n.RequestID != "" && response.Outcome == outcome.Answered && response.Header.Get(n.RequestID) == "" {
		response.Header.Set(n.RequestID, call.RequestID)
	}
}

// ClientKey returns the key of a request, or an empty string.
func (n Names) ClientKey(header http.Header) string {
	scheme, key, found := strings.Cut(header.Get(n.Key), " ")
	if !found || !strings.EqualFold(scheme, n.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// RemoveIdentity removes the client's key and any tenant header set by the client, in every
// spelling that a target might accept.
func (n Names) RemoveIdentity(header http.Header) {
	for name := range header {
		if equalFieldName(name, n.Tenant) || equalFieldName(name, n.Key) {
			delete(header, name)
		}
	}
}

// equalFieldName reports whether two header names are equal ignoring case and treating underscores
// as hyphens, as CGI gateways do.
func equalFieldName(a, b string) bool {
	return len(a) == len(b) && strings.EqualFold(strings.ReplaceAll(a, "_", "-"), b)
}
