package quarantine

import (
	"strings"

	"github.com/landingmast/landingmast/internal/core/crashes"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

// Request is a request with a lazily computed fingerprint. It is not safe for concurrent use.
type Request struct {
	Call        *wire.SidecarCall
	Body        *reply.Payload
	fingerprint *crashes.Fingerprint // nil until computed
}

// Fingerprint returns the fingerprint that identifies repetitions of the request.
func (r *Request) Fingerprint() crashes.Fingerprint {
	if r.fingerprint == nil {
		path, query, _ := strings.Cut(r.Call.URI, "?")
		prefix, length := r.Body.Prefix()
		fingerprint := crashes.FingerprintOf(crashes.Request{
			Method: r.Call.Method, Host: r.Call.Host, Path: path, Query: query, Body: prefix, Length: length, Caller: r.Call.Caller, Tenant: r.Call.Tenant,
		})
		r.fingerprint = &fingerprint
	}
	return *r.fingerprint
}

// Run describes a request that was in flight at a target when the target crashed.
type Run struct {
	Fingerprint crashes.Fingerprint
	Isolated    bool // no other suspect was in flight at the target
	Route       string
}
