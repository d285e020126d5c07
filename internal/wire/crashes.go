package wire

import (
	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/core/crashes"
)

// CrashEvidence records that a target terminated while it was running a request.
type CrashEvidence struct {
	Content  []byte `avro:"content"` // digest of method, host, path and body
	Query    int64  `avro:"query"`   // digest of the above and the query string
	Variant  int64  `avro:"variant"` // digest of the above, the caller and the tenant
	Instance string `avro:"instance"`
	Service  string `avro:"service"`
	Route    string `avro:"route"`
	At       int64  `avro:"at_ms"`   // Unix time, by the clock of the node next to the target
	Cleared  bool   `avro:"cleared"` // the request has completed normally since, or an operator lifted the block
	Isolated bool   `avro:"alone"`   // no other suspect request was running on the target
}

// Crashes carries evidence about requests that terminated their targets, in broadcasts between
// nodes and in the store.
type Crashes struct {
	Forward  []string        `avro:"forward"` // addresses of the nodes to forward the message to
	Digest   int64           `avro:"digest"`  // of all evidence that the sender holds
	Evidence []CrashEvidence `avro:"evidence"`
	// WantReply requests all evidence of the receiver if the digests differ.
	WantReply bool `avro:"asks"`
}

const crashesSchema = `{"type":"record","name":"Crashes","fields":[
{"name":"forward","type":{"type":"array","items":"string"},"default":[]},{"name":"digest","type":"long"},
{"name":"evidence","type":{"type":"array","items":{"type":"record","name":"CrashEvidence","fields":[
{"name":"content","type":"bytes"},{"name":"query","type":"long"},{"name":"variant","type":"long"},{"name":"instance","type":"string"},
{"name":"service","type":"string"},{"name":"route","type":"string"},{"name":"at_ms","type":"long"},
{"name":"cleared","type":"boolean"},{"name":"alone","type":"boolean","default":false}]}},"default":[]},{"name":"asks","type":"boolean","default":false}]}`

// CrashesCodec encodes and decodes Crashes.
var CrashesCodec = codec.New[Crashes](MaxMessage, crashesSchema)

// EncodeEvidence converts evidence to its message form.
func EncodeEvidence(evidence []crashes.Evidence) []CrashEvidence {
	messages := make([]CrashEvidence, 0, len(evidence))
	for _, ev := range evidence {
		messages = append(messages, CrashEvidence{
			Content: ev.Content[:], Query: int64(ev.Query), Variant: int64(ev.Variant), Instance: ev.Instance, Service: ev.Service, Route: ev.Route, At: ev.CrashedAtMillis,
			Cleared: ev.Cleared, Isolated: ev.Isolated,
		})
	}
	return messages
}

// DecodeEvidence converts the evidence of the message to its internal form.
func (c *Crashes) DecodeEvidence() []crashes.Evidence {
	evidence := make([]crashes.Evidence, 0, len(c.Evidence))
	for _, msg := range c.Evidence {
		ev := crashes.Evidence{Instance: msg.Instance, Service: msg.Service, Route: msg.Route, CrashedAtMillis: msg.At, Cleared: msg.Cleared, Isolated: msg.Isolated}
		copy(ev.Content[:], msg.Content)
		ev.Query, ev.Variant = crashes.Query(msg.Query), crashes.Variant(msg.Variant)
		evidence = append(evidence, ev)
	}
	return evidence
}
