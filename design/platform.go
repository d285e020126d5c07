package design

import . "goa.design/goa/v3/dsl" //nolint:revive // goa's DSL is meant to be dot-imported.

// KeyValuePair is one entry as the published HTTP key-value protocol of Consul returns it.
var KeyValuePair = Type("KeyValuePair", func() {
	Attribute("Key", String)
	Attribute("Value", Bytes, "value; base64 in JSON")
	Attribute("Session", String, "session that holds the key")
	Attribute("ModifyIndex", UInt64, "index of the last change, the argument of compare-and-swap")
	Attribute("CreateIndex", UInt64)
	Required("Key", "Value", "ModifyIndex", "CreateIndex")
})

// SessionEntry is the answer to the creation of a session (a lease).
var SessionEntry = Type("SessionEntry", func() {
	Attribute("ID", String)
	Attribute("TTL", String, "time to live, e.g. 10s")
	Required("ID")
})

// CatalogNode is one machine of the lagging machine list.
var CatalogNode = Type("CatalogNode", func() {
	Attribute("Node", String)
	Attribute("Address", String)
	Attribute("Meta", MapOf(String, String), "state is live or leaving")
	Required("Node", "Address", "Meta")
})

var _ = Service("platform", func() {
	Description("The platform's key-value service: Consul's published HTTP protocol, as far as it is used.")
	Error("limited", ErrorResult, "rate limit reached; ask again later")
	Error("unavailable", ErrorResult, "the service is down")
	Error("missing", ErrorResult, "no such key or session")
	Error("malformed", ErrorResult, "unusable request")
	HTTP(func() {
		Response("limited", StatusTooManyRequests)
		Response("unavailable", StatusInternalServerError)
		Response("missing", StatusNotFound)
		Response("malformed", StatusBadRequest)
	})

	Method("get", func() {
		Description("Read one key; with index, wait until it changes past that index or the wait ends.")
		Payload(func() {
			Attribute("key", String)
			Attribute("index", UInt64, "answer only when the key's index is higher")
			Attribute("wait", String, "longest wait, e.g. 5s")
			Required("key")
		})
		Result(func() {
			Attribute("pairs", ArrayOf(KeyValuePair))
			Attribute("index", String, "index of the answer")
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
		Description("Write one key; cas writes only at that index (0: only if absent), acquire and release only with the session.")
		Payload(func() {
			Attribute("key", String)
			Attribute("cas", UInt64)
			Attribute("acquire", String)
			Attribute("release", String)
			Required("key")
		})
		Result(Boolean, "whether the write took place")
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
		Description("The machine list; it may lag.")
		Result(func() {
			Attribute("nodes", ArrayOf(CatalogNode))
			Attribute("index", String, "index of the answer")
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

// SessionRequest asks for a session.
var SessionRequest = Type("SessionRequest", func() {
	Attribute("Name", String)
	Attribute("TTL", String, "time to live, e.g. 10s")
	Required("TTL")
})
