// Package codec writes and reads the Avro messages between landingmastd processes;
// the messages themselves stand in internal/wire (sidecar) and internal/mesh/wire.
// Every message begins with the fingerprint of the schema that it was written with,
// so that processes of two versions run side by side: a reader that knows the
// writer's schema resolves it into its own, and fields that are new have defaults.
// It owns no state; codecs are made once, at the start, and are safe for concurrent use.
package codec

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hamba/avro/v2"
	"github.com/landingmast/landingmast/internal/failure"
)

// MaxHeader bounds the messages that travel in headers, in bytes.
const MaxHeader = 8 << 10

// fingerprintBytes precede every message.
const fingerprintBytes = 8

// Codec writes and reads one type of message.
type Codec[Message any] struct {
	schema      avro.Schema
	fingerprint uint64
	readers     map[uint64]avro.Schema // by the writer's fingerprint
	maximum     int
}

// New makes the codec of a message with its current schema and the older
// ones that are still understood. maximum bounds a message, in bytes. A schema
// that cannot be parsed is a fault of the program.
func New[Message any](maximum int, current string, older ...string) *Codec[Message] {
	schema := avro.MustParse(current)
	codec := &Codec[Message]{schema: schema, fingerprint: xxhash.Sum64String(schema.String()), maximum: maximum}
	codec.readers = map[uint64]avro.Schema{codec.fingerprint: schema}
	for _, text := range older {
		writer := avro.MustParse(text)
		resolved, err := avro.NewSchemaCompatibility().Resolve(schema, writer)
		if err != nil {
			panic(err)
		}
		codec.readers[xxhash.Sum64String(writer.String())] = resolved
	}
	return codec
}

// Encode writes a message.
func (c *Codec[Message]) Encode(message *Message) ([]byte, error) {
	body, err := avro.Marshal(c.schema, message)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "message cannot be written")
	}
	framed := make([]byte, fingerprintBytes, fingerprintBytes+len(body))
	binary.BigEndian.PutUint64(framed, c.fingerprint)
	return append(framed, body...), nil
}

// Decode reads a message. Whatever the bytes are, it gives a message or a typed error.
func (c *Codec[Message]) Decode(data []byte) (message *Message, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			message, err = nil, failure.New(failure.BadInput, "send messages of the node protocol only", "message cannot be read: %v", cause)
		}
	}()
	if len(data) < fingerprintBytes || len(data) > c.maximum {
		return nil, failure.New(failure.BadInput, "send messages of the node protocol only", "message of %d bytes; allowed are %d to %d", len(data), fingerprintBytes, c.maximum)
	}
	schema, known := c.readers[binary.BigEndian.Uint64(data)]
	if !known {
		return nil, failure.New(failure.BadInput, "run versions of landingmastd that are at most one release apart", "message was written with an unknown schema")
	}
	message = new(Message)
	if err := limited.Unmarshal(schema, data[fingerprintBytes:], message); err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "send messages of the node protocol only", "message cannot be read")
	}
	return message, nil
}

// limited bounds what a hostile length field can allocate.
var limited = avro.Config{MaxByteSliceSize: 4 << 20, MaxSliceAllocSize: 1 << 20}.Freeze()

// EncodeHeader writes a message as a header value.
func (c *Codec[Message]) EncodeHeader(message *Message) (string, error) {
	data, err := c.Encode(message)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

// DecodeHeader reads a message out of a header value.
func (c *Codec[Message]) DecodeHeader(value string) (*Message, error) {
	data, err := base64.RawURLEncoding.DecodeString(value)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "send messages of the node protocol only", "header cannot be read")
	}
	return c.Decode(data)
}
