// Package crashes decides which requests are held back because they crash the targets that run
// them. Nodes share evidence of the requests that a target was running when it crashed. A
// request that was present at several crashes and has succeeded nowhere is held back by all
// nodes. The package uses no locks, clocks or sockets.
package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/juju/errors"
)

// Content is the digest of a request's method, host, path and body.
type Content [16]byte

// String returns the digest in hexadecimal.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// ParseContent parses the result of String.
func ParseContent(text string) (Content, error) {
	var content Content
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(content) {
		return content, errors.Errorf("%q is no digest of %d hexadecimal digits", text, 2*len(content))
	}
	copy(content[:], data)
	return content, nil
}

// Query is the digest of a content and a query.
type Query uint64

// Variant is the digest of a content, a query, the calling service and the tenant.
type Variant uint64

// Fingerprint is a request's fingerprint. It identifies retries, whose request ids differ.
type Fingerprint struct {
	Content Content
	Query   Query
	Variant Variant
}

// Request holds the input of FingerprintOf.
type Request struct {
	Method, Host, Path, Query string
	Body                      []byte // the whole body, or the beginning of a long one
	Length                    int64  // of the whole body, in bytes
	Caller, Tenant            string
}

// maxInlineBody is the size in bytes above which a body is hashed separately instead of copied.
const maxInlineBody = 256

// FingerprintOf returns the fingerprint of a request. The digest is cryptographic, so that clients
// can't construct a request that collides with another one.
func FingerprintOf(r Request) Fingerprint {
	var buf [1024]byte // large enough for most requests, to avoid an allocation
	data := buf[:0]
	for _, part := range []string{r.Method, r.Host, r.Path} {
		data = appendField(data, part)
	}
	data = binary.BigEndian.AppendUint64(data, uint64(r.Length))
	body := r.Body
	if len(body) > maxInlineBody {
		digest := sha256.Sum256(body)
		body = digest[:]
	}
	data = append(data, body...)
	content := sha256.Sum256(data)
	data = appendField(append(data[:0], content[:]...), r.Query)
	query := sha256.Sum256(data)
	data = appendField(appendField(data, r.Caller), r.Tenant)
	variant := sha256.Sum256(data)
	return Fingerprint{
		Content: Content(content[:len(Content{})]), Query: Query(binary.BigEndian.Uint64(query[:])), Variant: Variant(binary.BigEndian.Uint64(variant[:])),
	}
}

// appendField appends a length-prefixed field, so that different lists of fields never encode to
// the same bytes.
func appendField(data []byte, field string) []byte {
	return append(binary.BigEndian.AppendUint64(data, uint64(len(field))), field...)
}
