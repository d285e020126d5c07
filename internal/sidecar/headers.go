// Package sidecar is the node that stands beside one target on a machine without
// a disk: clients and the target send their requests to it, it chooses a target
// of the right service and sends them to the node beside that target, which
// alone decides when its target gets them. What must outlive the processes lies
// in a store; everything else nodes tell each other.
package sidecar

import (
	"net/http"
	"strings"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

// Headers are the names of the headers that clients, nodes and targets use.
type Headers struct {
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

const reservedPrefix = "Landingmast-"

// endToEnd copies the headers that travel on: not those of one connection, and
// none that only nodes set.
func endToEnd(from http.Header) http.Header {
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

// shorten takes out of a request between two nodes what its SidecarCall tells too.
func (h Headers) shorten(header http.Header) {
	delete(header, h.RequestID)
	delete(header, h.Deadline)
}

// restore gives an answer the id of its request, which the node that asked knows. A node
// of the release before sends it.
func (h Headers) restore(answer *reply.Reply, call *wire.SidecarCall) {
	if h.RequestID != "" && answer.Outcome == outcome.Answered && answer.Header.Get(h.RequestID) == "" {
		answer.Header.Set(h.RequestID, call.RequestID)
	}
}
