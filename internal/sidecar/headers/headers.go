// Package headers holds what a node does to the headers of requests and answers: which
// of them travel on, which only nodes may set, where a client's key stands. The names of
// the platform's headers come in as Names; this package knows none of them. It owns no
// state.
package headers

import (
	"net/http"
	"strings"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

// Names are the names of the headers that clients, nodes and targets use.
type Names struct {
	RequestID      string // id of one client attempt; echoed by targets
	Deadline       string // milliseconds that the sender will wait
	Signature      string // the target's mark on its answer
	ExpectInstance string // instance that alone may run the request
	Instance       string // instance that answered
	Load           string // running, waiting, slots
	NotRun         string // the target did not run the request
	Caller         string // service on the machine where the request began
	Tenant         string // whose key the client's request carried; set by nodes alone
	Key            string // carries a client's key
	KeyScheme      string // word before the key
}

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// reservedPrefix begins the headers that only nodes set.
const reservedPrefix = "Landingmast-"

// EndToEnd copies the headers that travel on: not those of one connection, and
// none that only nodes set.
func EndToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from)+4)
	named := connectionOptions(from)
	for name, values := range from {
		if named[name] || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		to[name] = values
	}
	for _, name := range hopByHop {
		delete(to, name)
	}
	return to
}

// connectionOptions gives the headers that Connection names.
func connectionOptions(from http.Header) map[string]bool {
	values := from["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// RemoveCallHeaders takes out of a request between two nodes what its SidecarCall tells too.
func (h Names) RemoveCallHeaders(header http.Header) {
	delete(header, h.RequestID)
	delete(header, h.Deadline)
}

// RestoreRequestID gives an answer the id of its request, which the node that asked knows. A node
// of the release before sends it.
func (h Names) RestoreRequestID(answer *reply.Reply, call *wire.SidecarCall) {
	if h.RequestID != "" && answer.Outcome == outcome.Answered && answer.Header.Get(h.RequestID) == "" {
		answer.Header.Set(h.RequestID, call.RequestID)
	}
}

// ClientKey gives the key that a request carries; empty: none.
func (h Names) ClientKey(header http.Header) string {
	scheme, key, found := strings.Cut(header.Get(h.Key), " ")
	if !found || !strings.EqualFold(scheme, h.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// RemoveIdentity takes out of a request what only nodes may tell of its tenant, in every
// spelling that a target might read as such, and its key.
func (h Names) RemoveIdentity(header http.Header) {
	for name := range header {
		if sameField(name, h.Tenant) || sameField(name, h.Key) {
			delete(header, name)
		}
	}
}

// sameField tells whether two names of header fields are one to a reader that takes
// underscores for hyphens, as gateways to CGI-like programs do.
func sameField(a, b string) bool {
	return len(a) == len(b) && strings.EqualFold(strings.ReplaceAll(a, "_", "-"), b)
}
