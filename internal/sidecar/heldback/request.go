package heldback

import (
	"strings"

	"github.com/landingmast/landingmast/internal/core/crashes"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

// Request is a request with its fingerprint, which is computed when it is first asked
// for. It is not safe for concurrent use.
type Request struct {
	Call        *wire.SidecarCall
	Body        *reply.Payload
	fingerprint *crashes.Print // nil: not computed yet
}

// Fingerprint is what the request is known by when it comes again.
func (r *Request) Fingerprint() crashes.Print {
	if r.fingerprint == nil {
		path, query, _ := strings.Cut(r.Call.URI, "?")
		begin, length := r.Body.Begin()
		fingerprint := crashes.PrintOf(crashes.Request{
			Method: r.Call.Method, Host: r.Call.Host, Path: path, Query: query, Body: begin, Length: length, Caller: r.Call.Caller, Tenant: r.Call.Tenant,
		})
		r.fingerprint = &fingerprint
	}
	return *r.fingerprint
}

// Run is a run of a request that was at a target when the target ended.
type Run struct {
	Fingerprint crashes.Print
	Alone       bool // no other suspected request was at the target
	Route       string
}
