// Package wire defines the messages that mesh nodes exchange: call metadata and
// control messages (bundles, claims, machines). docs/mesh/PROTOCOL.md lists them.
package wire

import "github.com/landingmast/landingmast/internal/codec"

// ProtocolVersion is the version of the node-to-node protocol implemented here.
const ProtocolVersion = 1

// Header names used between nodes. Entry and egress ports strip every header with
// HeaderPrefix, so callers cannot set them.
const (
	HeaderPrefix = "Landingmast-"
	HeaderCall   = "Landingmast-Call"
	HeaderResult = "Landingmast-Result"
	TrailerEnd   = "Landingmast-End"
)

// Header names exposed to callers and targets.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderOutcome   = "Landingmast-Outcome"
	HeaderReason    = "Landingmast-Reason"
	HeaderDeadline  = "X-Request-Deadline-Ms"
)

// Call is the metadata of a call between two nodes.
type Call struct {
	Protocol   int    `avro:"protocol"`
	RequestID  string `avro:"request_id"`
	CallID     string `avro:"call_id"`
	Service    string `avro:"service"`
	Method     string `avro:"method"`
	Class      string `avro:"class"`
	Level      int    `avro:"level"`
	Rank       int    `avro:"rank"`
	Depth      int    `avro:"depth"`
	Remaining  int64  `avro:"remaining_us"` // time until the deadline, in microseconds
	Credits    int    `avro:"credits"`      // retry credits lent with this call
	AtMostOnce bool   `avro:"at_most_once"`
	Key        string `avro:"key"`
	From       string `avro:"from"`
}

// Result is the header of a response to a call.
type Result struct {
	Outcome       string `avro:"outcome"`
	Reason        string `avro:"reason"`
	Status        int    `avro:"status"`         // status code of the target's response
	ContentLength int64  `avro:"content_length"` // of the target's response; -1 if unknown
	Cursor        int    `avro:"cursor"`         // highest rank admitted by this node; -1 if unknown
	PathCursor    int    `avro:"path_cursor"`    // lowest cursor downstream for this class; -1 if unknown
	Executor      string `avro:"executor"`       // node holding the claim on the key, to be called instead
	RetryAfter    int64  `avro:"retry_after"`    // in milliseconds
}

// End is the trailer of a response to a call.
type End struct {
	CallID  string `avro:"call_id"`
	Unspent int    `avro:"unspent"` // retry credits returned to the caller
	Length  int64  `avro:"length"`  // body length in bytes
	Digest  int64  `avro:"digest"`  // xxhash64 of the body
	Broken  bool   `avro:"broken"`  // the target's response was truncated
}

const (
	callSchema = `{"type":"record","name":"Call","fields":[
{"name":"protocol","type":"int","default":1},{"name":"request_id","type":"string"},{"name":"call_id","type":"string"},
{"name":"service","type":"string"},{"name":"method","type":"string"},{"name":"class","type":"string"},
{"name":"level","type":"int"},{"name":"rank","type":"int"},{"name":"depth","type":"int"},
{"name":"remaining_us","type":"long"},{"name":"credits","type":"int","default":0},
{"name":"at_most_once","type":"boolean","default":false},{"name":"key","type":"string","default":""},
{"name":"from","type":"string","default":""}]}`
	resultSchema = `{"type":"record","name":"Result","fields":[
{"name":"outcome","type":"string"},{"name":"reason","type":"string"},{"name":"status","type":"int"},
{"name":"content_length","type":"long"},{"name":"cursor","type":"int","default":-1},
{"name":"path_cursor","type":"int","default":-1},
{"name":"executor","type":"string","default":""},
{"name":"retry_after","type":"long","default":0}]}`
	endSchema = `{"type":"record","name":"End","fields":[
{"name":"call_id","type":"string"},{"name":"unspent","type":"int"},{"name":"length","type":"long"},
{"name":"digest","type":"long"},{"name":"broken","type":"boolean","default":false}]}`
)

// Codecs of the call metadata.
var (
	CallCodec   = codec.New[Call](codec.MaxHeader, callSchema)
	ResultCodec = codec.New[Result](codec.MaxHeader, resultSchema)
	EndCodec    = codec.New[End](codec.MaxHeader, endSchema)
)
