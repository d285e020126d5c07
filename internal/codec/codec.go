// Package codec encodes and decodes the Avro messages exchanged by landingmastd processes. The
// messages are defined in internal/wire (sidecar) and internal/mesh/wire.
//
// Every message starts with the fingerprint of the schema that it was written with, so that
// processes of adjacent versions interoperate: a reader that knows the writer's schema resolves
// it to its own, and new fields have defaults.
package codec

import (
	"encoding/base64"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hamba/avro/v2"
	"github.com/landingmast/landingmast/internal/failure"
)

// MaxHeader is the maximum size of a message sent in a header, in bytes before base64 encoding.
const MaxHeader = 8 << 10

// fingerprintBytes is the length of the schema fingerprint that precedes every message.
const fingerprintBytes = 8

// Codec encodes and decodes messages of one type. It is safe for concurrent use.
type Codec[Message any] struct {
	schema      avro.Schema
	fingerprint uint64
	readers     map[uint64]avro.Schema // keyed by the fingerprint of the writer's schema
	maxSize     int
}

// New returns a codec that writes the current schema and also reads the older ones. Messages
// larger than maxSize bytes are rejected by Decode. New panics if a schema is invalid or if an
// older schema is incompatible with the current one.
func New[Message any](maxSize int, current string, older ...string) *Codec[Message] {
	schema := avro.MustParse(current)
	codec := &Codec[Message]{schema: schema, fingerprint: xxhash.Sum64String(schema.String()), maxSize: maxSize}
	codec.readers = map[uint64]avro.Schema{codec.fingerprint: schema}
	for _, olderSchema := range older {
		writer := avro.MustParse(olderSchema)
		resolved, err := avro.NewSchemaCompatibility().Resolve(schema, writer)
		if err != nil {
			panic(err)
		}
		codec.readers[xxhash.Sum64String(writer.String())] = resolved
	}
	return codec
}

// Encode returns the message in Avro binary encoding, preceded by the schema fingerprint.
func (c *Codec[Message]) Encode(message *Message) ([]byte, error) { return c.appendTo(nil, message) }

// appendTo appends the encoded message to data.
func (c *Codec[Message]) appendTo(data []byte, message *Message) ([]byte, error) {
	body, err := avro.Marshal(c.schema, message)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "message cannot be written")
	}
	data = slices.Grow(data, fingerprintBytes+len(body))
	return append(binary.BigEndian.AppendUint64(data, c.fingerprint), body...), nil
}

// Decode decodes a message. Malformed input yields an error of kind BadInput, never a panic.
func (c *Codec[Message]) Decode(data []byte) (message *Message, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			message, err = nil, failure.New(failure.BadInput, "send messages of the node protocol only", "message cannot be read: %v", reason)
		}
	}()
	if len(data) < fingerprintBytes || len(data) > c.maxSize {
		return nil, failure.New(failure.BadInput, "send messages of the node protocol only", "message of %d bytes; allowed are %d to %d", len(data), fingerprintBytes, c.maxSize)
	}
	schema, known := c.readers[binary.BigEndian.Uint64(data)]
	if !known {
		return nil, failure.New(failure.BadInput, "run versions of landingmastd that are at most one release apart", "message was written with an unknown schema")
	}
	message = new(Message)
	if err := decoder.Unmarshal(schema, data[fingerprintBytes:], message); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "send messages of the node protocol only", "message cannot be read")
	}
	return message, nil
}

// decoder limits the memory that a malicious length field can make the decoder allocate.
var decoder = avro.Config{MaxByteSliceSize: 4 << 20, MaxSliceAllocSize: 1 << 20}.Freeze()

// scratch holds the buffers of one message in a header.
type scratch struct {
	data []byte // binary encoding
	text []byte // base64 encoding
}

// scratches holds *scratch. A message in a header is limited to MaxHeader, and so are the buffers
// unless a larger one is sent.
var scratches = sync.Pool{New: func() any { return new(scratch) }}

func (s *scratch) release() {
	if cap(s.text) <= 2*MaxHeader {
		scratches.Put(s)
	}
}

// EncodeHeader encodes a message as a header value.
func (c *Codec[Message]) EncodeHeader(message *Message) (string, error) {
	s := scratches.Get().(*scratch)
	defer s.release()
	data, err := c.appendTo(s.data[:0], message)
	if err != nil {
		return "", err
	}
	s.data = data
	s.text = base64.RawURLEncoding.AppendEncode(s.text[:0], data)
	return string(s.text), nil
}

// DecodeHeader decodes a message from a header value.
func (c *Codec[Message]) DecodeHeader(value string) (*Message, error) {
	s := scratches.Get().(*scratch)
	defer s.release()
	s.text = append(s.text[:0], value...)
	data, err := base64.RawURLEncoding.AppendDecode(s.data[:0], s.text)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "send messages of the node protocol only", "header cannot be read")
	}
	s.data = data
	return c.Decode(data)
}
