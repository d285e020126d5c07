package design

import . "goa.design/goa/v3/dsl" //nolint:revive // the goa DSL is designed to be dot-imported.

// KeyValuePair is an entry as returned by the HTTP key-value API of Consul.
var KeyValuePair = Type("KeyValuePair", func() {
	Attribute("Key", String)
	Attribute("Value", Bytes, "value; base64 in JSON")
	Attribute("Session", String, "session that holds the key")
	Attribute("ModifyIndex", UInt64, "index of the last change; argument of compare-and-swap")
	Attribute("CreateIndex", UInt64)
	Required("Key", "Value", "ModifyIndex", "CreateIndex")
})

// SessionEntry is the response to the creation or renewal of a session (a lease).
var SessionEntry = Type("SessionEntry", func() {
	Attribute("ID", String)
	Attribute("TTL", String, "time to live, e.g. 10s")
	Required("ID")
})

// CatalogNode is a machine in the node catalog.
var CatalogNode = Type("CatalogNode", func() {
	Attribute("Node", String)
	Attribute("Address", String)
	Attribute("Meta", MapOf(String, String), "metadata; the value of state is live or leaving")
	Required("Node", "Address", "Meta")
})

var _ = Service("platform", func() {
	Description("The key-value service of the platform: the subset of Consul's HTTP API that landingmast uses.")
	Error("limited", ErrorResult, "rate limit exceeded; retry later")
	Error("unavailable", ErrorResult, "service unavailable")
	Error("missing", ErrorResult, "no such key or session")
	Error("malformed", ErrorResult, "malformed request")
	HTTP(func() {
		Response("limited", StatusTooManyRequests)
		Response("unavailable", StatusInternalServerError)
		Response("missing", StatusNotFound)
		Response("malformed", StatusBadRequest)
	})

	Method("get", func() {
		Description("Read a key. With index, block until its index is higher or the wait time ends.")
		Payload(func() {
			Attribute("key", String)
			Attribute("index", UInt64, "respond only when the index of the key is higher")
			Attribute("wait", String, "maximum wait time, e.g. 5s")
			Required("key")
		})
		Result(func() {
			Attribute("pairs", ArrayOf(KeyValuePair))
			Attribute("index", String, "index of the response")
			Required("pairs", "index")
		})
		HTTP(func() {
			GET("/v1/kv/{*key}")
			Param("index")
			Param("wait")
			Response(StatusOK, func() {
				Header("index:X-Consul-Index")
				Body("pairs")
			})
		})
	})
	Method("put", func() {
		Description("Write a key. With cas, write only if the index matches (0: only if the key is absent); with acquire or release, only with that session.")
		Payload(func() {
			Attribute("key", String)
			Attribute("cas", UInt64)
			Attribute("acquire", String)
			Attribute("release", String)
			Required("key")
		})
		Result(Boolean, "whether the value was written")
		HTTP(func() {
			PUT("/v1/kv/{*key}")
			Param("cas")
			Param("acquire")
			Param("release")
			SkipRequestBodyEncodeDecode()
		})
	})
	Method("create_session", func() {
		Payload(SessionRequest)
		Result(SessionEntry)
		HTTP(func() { PUT("/v1/session/create") })
	})
	Method("renew_session", func() {
		Payload(func() {
			Attribute("id", String)
			Required("id")
		})
		Result(ArrayOf(SessionEntry))
		HTTP(func() { PUT("/v1/session/renew/{id}") })
	})
	Method("destroy_session", func() {
		Payload(func() {
			Attribute("id", String)
			Required("id")
		})
		Result(Boolean)
		HTTP(func() { PUT("/v1/session/destroy/{id}") })
	})
	Method("catalog_nodes", func() {
		Description("The node catalog; it may be stale.")
		Result(func() {
			Attribute("nodes", ArrayOf(CatalogNode))
			Attribute("index", String, "index of the response")
			Required("nodes", "index")
		})
		HTTP(func() {
			GET("/v1/catalog/nodes")
			Response(StatusOK, func() {
				Header("index:X-Consul-Index")
				Body("nodes")
			})
		})
	})
})

// SessionRequest is the request to create a session.
var SessionRequest = Type("SessionRequest", func() {
	Attribute("Name", String)
	Attribute("TTL", String, "time to live, e.g. 10s")
	Required("TTL")
})
