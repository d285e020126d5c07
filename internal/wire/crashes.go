package wire

// CrashEvidence is that a target ended while it ran a request.
type CrashEvidence struct {
	Content  []byte `avro:"content"` // digest of method, host, path and body
	Variant  int64  `avro:"variant"` // digest of these and of query, caller and tenant
	Instance string `avro:"instance"`
	Service  string `avro:"service"`
	Route    string `avro:"route"`
	At       int64  `avro:"at_ms"`   // since 1970, by the clock of the node beside the target
	Cleared  bool   `avro:"cleared"` // it has ended well since, or was lifted
	Alone    bool   `avro:"alone"`   // no other suspected request was at the target
}

// Crashes is what nodes tell each other of requests that targets ended with, and what they
// keep of it in the store.
type Crashes struct {
	Forward  []string        `avro:"forward"` // addresses of the nodes to pass it on to
	Digest   int64           `avro:"digest"`  // of all evidence that the sender has
	Evidence []CrashEvidence `avro:"evidence"`
	// Asks tells that the answer is to hold all evidence of the receiver if its digest is
	// another one.
	Asks bool `avro:"asks"`
}

const crashesSchema = `{"type":"record","name":"Crashes","fields":[
{"name":"forward","type":{"type":"array","items":"string"},"default":[]},{"name":"digest","type":"long"},
{"name":"evidence","type":{"type":"array","items":{"type":"record","name":"CrashEvidence","fields":[
{"name":"content","type":"bytes"},{"name":"variant","type":"long"},{"name":"instance","type":"string"},
{"name":"service","type":"string"},{"name":"route","type":"string"},{"name":"at_ms","type":"long"},
{"name":"cleared","type":"boolean"},{"name":"alone","type":"boolean","default":false}]}},"default":[]},{"name":"asks","type":"boolean","default":false}]}`

// CrashesCodec writes and reads Crashes.
var CrashesCodec = NewCodec[Crashes](maxExchange, crashesSchema)
