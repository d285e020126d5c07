// Package crashes decides which requests are held back since they end the targets that
// run them. Nodes tell each other which requests a target was running when it ended; a
// request that was there at several ends, and has ended well nowhere, is held back by all of
// them. It is a state machine without locks, clocks or sockets.
package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/juju/errors"
)

// Content is the digest of what a target reads of a request: method, host, path and body.
type Content [16]byte

// String gives the digest as operators see it.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// ParseContent reads a digest as String gives it.
func ParseContent(text string) (Content, error) {
	var content Content
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(content) {
		return content, errors.Errorf("%q is no digest of %d hexadecimal digits", text, 2*len(content))
	}
	copy(content[:], data)
	return content, nil
}

// Query is the digest of a content with a query.
type Query uint64

// Variant is the digest of a content with a query, the service of the machine where the
// request began and its tenant.
type Variant uint64

// Print is what a request is known by when it comes again: its id differs each time.
type Print struct {
	Content Content
	Query   Query
	Variant Variant
}

// Request is what a print is made of.
type Request struct {
	Method, Host, Path, Query string
	Body                      []byte // all of it, or its begin where it is long
	Length                    int64  // of the body
	Caller, Tenant            string
}

// bodyApart is the length in bytes from which a body is hashed by itself, so that it is not
// copied.
const bodyApart = 256

// PrintOf makes the print of a request. The digest is cryptographic, so that nobody can make
// a request that is taken for another one.
func PrintOf(r Request) Print {
	var room [1024]byte // most requests fit, so that nothing is allocated
	text := room[:0]
	for _, part := range []string{r.Method, r.Host, r.Path} {
		text = add(text, part)
	}
	text = binary.BigEndian.AppendUint64(text, uint64(r.Length))
	body := r.Body
	if len(body) > bodyApart {
		digest := sha256.Sum256(body)
		body = digest[:]
	}
	text = append(text, body...)
	content := sha256.Sum256(text)
	text = add(append(text[:0], content[:]...), r.Query)
	query := sha256.Sum256(text)
	text = add(add(text, r.Caller), r.Tenant)
	variant := sha256.Sum256(text)
	return Print{
		Content: Content(content[:len(Content{})]), Query: Query(binary.BigEndian.Uint64(query[:])), Variant: Variant(binary.BigEndian.Uint64(variant[:])),
	}
}

// add appends a text so that no two lists of texts give the same bytes.
func add(text []byte, part string) []byte {
	return append(binary.BigEndian.AppendUint64(text, uint64(len(part))), part...)
}
