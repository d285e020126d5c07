package wire

import (
	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/core/crashes"
)

// CrashEvidence is that a target ended while it ran a request.
type CrashEvidence struct {
	Content  []byte `avro:"content"` // digest of method, host, path and body
	Query    int64  `avro:"query"`   // digest of these and of the query
	Variant  int64  `avro:"variant"` // digest of these and of caller and tenant
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
{"name":"content","type":"bytes"},{"name":"query","type":"long"},{"name":"variant","type":"long"},{"name":"instance","type":"string"},
{"name":"service","type":"string"},{"name":"route","type":"string"},{"name":"at_ms","type":"long"},
{"name":"cleared","type":"boolean"},{"name":"alone","type":"boolean","default":false}]}},"default":[]},{"name":"asks","type":"boolean","default":false}]}`

// CrashesCodec writes and reads Crashes.
var CrashesCodec = codec.New[Crashes](MaxMessage, crashesSchema)

// CrashForms writes evidence in the form of messages.
func CrashForms(evidence []crashes.Evidence) []CrashEvidence {
	forms := make([]CrashEvidence, 0, len(evidence))
	for _, one := range evidence {
		forms = append(forms, CrashEvidence{
			Content: one.Content[:], Query: int64(one.Query), Variant: int64(one.Variant), Instance: one.Instance, Service: one.Service, Route: one.Route, At: one.At,
			Cleared: one.Cleared, Alone: one.Alone,
		})
	}
	return forms
}

// Known reads the evidence of a message.
func (m *Crashes) Known() []crashes.Evidence {
	evidence := make([]crashes.Evidence, 0, len(m.Evidence))
	for _, form := range m.Evidence {
		one := crashes.Evidence{Instance: form.Instance, Service: form.Service, Route: form.Route, At: form.At, Cleared: form.Cleared, Alone: form.Alone}
		copy(one.Content[:], form.Content)
		one.Query, one.Variant = crashes.Query(form.Query), crashes.Variant(form.Variant)
		evidence = append(evidence, one)
	}
	return evidence
}
