// Package design defines the HTTP APIs of the project in the goa DSL: the admin API
// of a node (this file) and the platform's key-value service (platform.go).
// `make generate` generates the packages in gen/ from it.
package design

import . "goa.design/goa/v3/dsl" //nolint:revive // the goa DSL is designed to be dot-imported.

var _ = API("landingmast", func() {
	Title("landingmast")
	Description("Overload control for deep service call graphs: admin API and platform client.")
})

// NodeStatus is the status of a node, reported by itself or by a peer.
var NodeStatus = Type("NodeStatus", func() {
	Attribute("node", String, "name of the node")
	Attribute("service", String, "service of its target; empty for an entry")
	Attribute("zone", String, "zone of the node")
	Attribute("address", String, "peer address, host:port")
	Attribute("state", String, "active, leaving, draining or unreachable")
	Attribute("incarnation", String, "random id of this process instance")
	Attribute("bundle_version", Int64, "version of the active bundle")
	Attribute("bundle_digest", String, "digest of the active bundle")
	Attribute("in_flight", Int, "calls in progress at the target")
	Attribute("queued", Int, "calls waiting for a slot")
	Attribute("limit", Int, "current adaptive concurrency limit of the target")
	Attribute("admitted", UInt64, "calls admitted since process start")
	Attribute("refused", UInt64, "calls rejected before being run, since process start")
	Attribute("shed_by_level", MapOf(String, UInt64), "rejected calls by importance level since process start")
	Attribute("bundles_rejected", UInt64, "bundles rejected for an invalid signature, signer or digest")
	Attribute("voter_epoch", Int64, "epoch of the voter set that this node belongs to; 0 if it is not a voter")
	Attribute("program_version", String, "version of landingmastd")
	Required("node", "service", "zone", "address", "state", "incarnation", "bundle_version", "bundle_digest",
		"in_flight", "queued", "limit", "admitted", "refused", "shed_by_level", "bundles_rejected", "voter_epoch",
		"program_version")
})

// Decision is a recorded decision about a call, with the values it was based on.
var Decision = Type("Decision", func() {
	Attribute("request_id", String, "request id, shared by all calls of the chain")
	Attribute("call_id", String, "id of the call within the chain")
	Attribute("node", String, "node that made the decision")
	Attribute("depth", Int, "number of hops from the entry")
	Attribute("at", String, "time of the decision, RFC 3339 with microseconds")
	Attribute("action", String, "admit, refuse, route, retry, no_retry, lose, claim or answer")
	Attribute("reason", String, "reason code")
	Attribute("service", String, "called service")
	Attribute("class", String, "request class")
	Attribute("level", String, "importance level")
	Attribute("peer", String, "node that the call is sent to, if any")
	Attribute("numbers", MapOf(String, Float64), "values that the decision was based on")
	Required("request_id", "call_id", "node", "depth", "at", "action", "reason", "service", "class", "level", "peer", "numbers")
})

// ServiceStatus is the state of a service in the routing table of the queried node.
var ServiceStatus = Type("ServiceStatus", func() {
	Attribute("service", String)
	Attribute("targets", ArrayOf(EndpointStatus))
	Required("service", "targets")
})

// EndpointStatus is the state of a target in the routing table of the queried node.
var EndpointStatus = Type("EndpointStatus", func() {
	Attribute("node", String)
	Attribute("zone", String)
	Attribute("state", String, "active, joining, leaving or ejected")
	Attribute("in_flight", Int, "calls from this node in progress at the target")
	Attribute("success_rate", Float64, "moving average of the success rate, 0 to 1")
	Attribute("latency_ms", Float64, "moving average of the response time, ms")
	Attribute("cursor", Int, "highest rank that the target admits")
	Required("node", "zone", "state", "in_flight", "success_rate", "latency_ms", "cursor")
})

// Problem is the error response of the admin API.
var Problem = Type("Problem", func() {
	ErrorName("name", String, "kind of error")
	Attribute("message", String, "error message")
	Attribute("remedy", String, "suggested remedy")
	Required("name", "message", "remedy")
})

var _ = Service("admin", func() {
	Description("Inspection and control of a node and, through it, of its peers.")
	Error("not_found", Problem)
	Error("bad_input", Problem)
	HTTP(func() {
		Response("not_found", StatusNotFound)
		Response("bad_input", StatusBadRequest)
	})

	Method("status", func() {
		Description("Status of this node.")
		Result(NodeStatus)
		HTTP(func() { GET("/v1/status") })
	})
	Method("nodes", func() {
		Description("Status of every node in the bundle, queried through the peer port.")
		Result(ArrayOf(NodeStatus))
		HTTP(func() { GET("/v1/nodes") })
	})
	Method("services", func() {
		Description("Services and targets in the routing table of this node.")
		Result(ArrayOf(ServiceStatus))
		HTTP(func() { GET("/v1/services") })
	})
	Method("explain", func() {
		Description("Decision records of a request, from all nodes of the chain unless local is set.")
		Payload(func() {
			Attribute("request_id", String, "request id from the X-Request-Id response header", func() {
				MinLength(1)
				MaxLength(128)
			})
			Attribute("local", Boolean, "return only the records of this node", func() { Default(false) })
			Required("request_id")
		})
		Result(ArrayOf(Decision))
		HTTP(func() {
			GET("/v1/explain/{request_id}")
			Param("local")
		})
	})
	Method("drain", func() {
		Description("Stop accepting new calls on this node; calls in progress continue.")
		Result(NodeStatus)
		HTTP(func() { POST("/v1/drain") })
	})
	Method("bundle", func() {
		Description("Signed bundle that is active on this node.")
		Result(func() {
			Attribute("version", Int64)
			Attribute("digest", String)
			Attribute("signer", String)
			Attribute("release", Bytes, "signed bundle, JSON")
			Required("version", "digest", "signer", "release")
		})
		HTTP(func() { GET("/v1/bundle") })
	})
	Method("version", func() {
		Description("Version of landingmastd.")
		Result(String)
		HTTP(func() { GET("/v1/version") })
	})
})
