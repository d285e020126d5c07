// Package design describes, in goa's DSL, the two HTTP interfaces of the
// project: the operators' admin API of every node (this file) and the
// platform's key-value service (platform.go). `make generate` turns it into
// the committed packages below gen/.
package design

import . "goa.design/goa/v3/dsl" //nolint:revive // goa's DSL is meant to be dot-imported.

var _ = API("landingmast", func() {
	Title("landingmast")
	Description("Overload control for deep service call graphs: admin API and platform port.")
})

// NodeStatus is one node as its own admin API, or a peer's status message, tells it.
var NodeStatus = Type("NodeStatus", func() {
	Attribute("node", String, "name of the node")
	Attribute("service", String, "service of the target beside it; empty for an entry")
	Attribute("zone", String, "zone of the node")
	Attribute("address", String, "peer address, host:port")
	Attribute("state", String, "active, leaving, draining or unreachable")
	Attribute("incarnation", String, "random name of this run of the process")
	Attribute("bundle_version", Int64, "bundle in force")
	Attribute("bundle_digest", String, "digest of the bundle in force")
	Attribute("in_flight", Int, "calls now handed over to the target")
	Attribute("queued", Int, "calls now waiting for a slot")
	Attribute("limit", Int, "learned concurrency limit of the target")
	Attribute("admitted", UInt64, "calls admitted since start")
	Attribute("refused", UInt64, "calls refused as not run since start")
	Attribute("shed_by_level", MapOf(String, UInt64), "refusals by importance level since start")
	Attribute("bundles_rejected", UInt64, "releases refused for a bad signature, signer or digest")
	Attribute("voter_epoch", Int64, "epoch of the voter set that this node votes in; 0 when it is no voter")
	Attribute("program_version", String, "version of landingmastd")
	Required("node", "service", "zone", "address", "state", "incarnation", "bundle_version", "bundle_digest",
		"in_flight", "queued", "limit", "admitted", "refused", "shed_by_level", "bundles_rejected", "voter_epoch",
		"program_version")
})

// Decision is one recorded decision about one call, with the numbers behind it.
var Decision = Type("Decision", func() {
	Attribute("request_id", String, "request id of the whole chain")
	Attribute("call_id", String, "id of this call in the chain")
	Attribute("node", String, "node that decided")
	Attribute("depth", Int, "hops below the entry")
	Attribute("at", String, "time of the decision, RFC 3339 with microseconds")
	Attribute("action", String, "admit, refuse, route, retry, no_retry, lose, claim or answer")
	Attribute("reason", String, "why, as a fixed word")
	Attribute("service", String, "service that is called")
	Attribute("class", String, "request class")
	Attribute("level", String, "importance level")
	Attribute("peer", String, "node that the call goes to, when there is one")
	Attribute("numbers", MapOf(String, Float64), "values that the decision was made on")
	Required("request_id", "call_id", "node", "depth", "at", "action", "reason", "service", "class", "level", "peer", "numbers")
})

// ServiceStatus sums up one service as the asked node sees it.
var ServiceStatus = Type("ServiceStatus", func() {
	Attribute("service", String)
	Attribute("targets", ArrayOf(EndpointStatus))
	Required("service", "targets")
})

// EndpointStatus is one target as the asked node's routing sees it.
var EndpointStatus = Type("EndpointStatus", func() {
	Attribute("node", String)
	Attribute("zone", String)
	Attribute("state", String, "active, joining, leaving or ejected")
	Attribute("in_flight", Int, "calls of this node that are at the target")
	Attribute("success_rate", Float64, "moving share of calls that were not failures, 0 to 1")
	Attribute("latency_ms", Float64, "moving mean of answer times, ms")
	Attribute("cursor", Int, "highest rank that the target still admits")
	Required("node", "zone", "state", "in_flight", "success_rate", "latency_ms", "cursor")
})

// Problem is the admin API's error body.
var Problem = Type("Problem", func() {
	ErrorName("name", String, "kind of error")
	Attribute("message", String, "what is wrong")
	Attribute("remedy", String, "what to do about it")
	Required("name", "message", "remedy")
})

var _ = Service("admin", func() {
	Description("Operators' view of one node, and through it of its peers.")
	Error("not_found", Problem)
	Error("bad_input", Problem)
	HTTP(func() {
		Response("not_found", StatusNotFound)
		Response("bad_input", StatusBadRequest)
	})

	Method("status", func() {
		Description("State of this node.")
		Result(NodeStatus)
		HTTP(func() { GET("/v1/status") })
	})
	Method("nodes", func() {
		Description("State of every node that the bundle names, asked for through the peer port.")
		Result(ArrayOf(NodeStatus))
		HTTP(func() { GET("/v1/nodes") })
	})
	Method("services", func() {
		Description("Services and targets as this node's routing sees them.")
		Result(ArrayOf(ServiceStatus))
		HTTP(func() { GET("/v1/services") })
	})
	Method("explain", func() {
		Description("Decision records of one request; over all nodes of the chain unless local is set.")
		Payload(func() {
			Attribute("request_id", String, "request id as the X-Request-Id header of the answer gave it", func() {
				MinLength(1)
				MaxLength(128)
			})
			Attribute("local", Boolean, "only this node's records", func() { Default(false) })
			Required("request_id")
		})
		Result(ArrayOf(Decision))
		HTTP(func() {
			GET("/v1/explain/{request_id}")
			Param("local")
		})
	})
	Method("drain", func() {
		Description("Stop taking new work here; what is in flight goes on.")
		Result(NodeStatus)
		HTTP(func() { POST("/v1/drain") })
	})
	Method("bundle", func() {
		Description("Release in force on this node, as signed.")
		Result(func() {
			Attribute("version", Int64)
			Attribute("digest", String)
			Attribute("signer", String)
			Attribute("release", Bytes, "the signed release, JSON")
			Required("version", "digest", "signer", "release")
		})
		HTTP(func() { GET("/v1/bundle") })
	})
	Method("version", func() {
		Description("Version of the program.")
		Result(String)
		HTTP(func() { GET("/v1/version") })
	})
})
