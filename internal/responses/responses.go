// Package responses reads HTTP/1.1 responses as RFC 9110 and RFC 9112 define them.
//
// net/http is more lenient: it takes any status code of three characters, any version, and names of fields
// that hold blanks. In HTTP/1.0 it takes a chunked body as it stands, with the framing of its chunks. Such a
// message is no response: nothing that it states may be used, and none of it may be passed on.
package responses

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that a message is not a response by RFC 9110 or RFC 9112; compare with errors.Is.
const ErrInvalid = errors.ConstError("invalid HTTP response (remedy: look at the server that sent it)")

// Read reads the head of the final response to a request, of which only the method matters, and skips interim
// responses. The body must be read from the result. The caller limits the bytes that are read from r until Read
// returns.
//
// The error is ErrInvalid, one of net/http for a message that it cannot parse, or one of r.
func Read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := read(r, request)
		if err != nil {
			return nil, err
		}
		if !isInterim(response.StatusCode) {
			return response, Validate(response)
		}
		if err := validateHead(response); err != nil {
			return nil, err
		}
	}
}

// isInterim reports whether another response follows. A server switches protocols only if the request asks for
// it, which none does here.
func isInterim(status int) bool {
	return status >= minStatus && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// Validate checks what net/http does not check of a final response that it has parsed. It replaces the body by
// one whose Read returns ErrInvalid instead of io.EOF if a trailer field is invalid.
func Validate(response *http.Response) error {
	if err := validateHead(response); err != nil {
		return err
	}
	if !IsFinal(response.StatusCode) {
		return invalid("status %d, which no request asks for", response.StatusCode)
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{response.Body, response}
	}
	return nil
}

// IsFinal reports whether a status code is one of a final response.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

func validateHead(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return invalid("version %.20q", response.Proto)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus, !httpguts.ValidHeaderFieldValue(response.Status):
		return invalid("status %.40q", response.Status)
	}
	return validateNames(response.Header)
}

// Range of status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

func invalid(format string, arguments ...any) error {
	return errors.Annotatef(ErrInvalid, format, arguments...)
}

// validateNames checks the names of fields. net/http has checked their values.
func validateNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid("field name %.40q", name)
		}
	}
	return nil
}

// chunkedBody checks the trailer fields, which net/http reads at the end of the body.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := validateNames(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}

const http10 = "HTTP/1.0 "

func read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	if version, err := r.Peek(len(http10)); err == nil && string(version) == http10 {
		return readHTTP10(r, request)
	}
	return http.ReadResponse(r, request)
}

// readHTTP10 reads the head of a response of HTTP/1.0, which has no transfer codings. net/http drops a field
// that states one and takes the framing of the chunks for the body. The connection cannot be reused.
func readHTTP10(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	head, err := copyHead(r)
	if err != nil {
		return nil, err
	}
	fields := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := fields.ReadLine(); err != nil {
		return nil, err
	}
	header, err := fields.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	if _, coded := header["Transfer-Encoding"]; coded {
		return nil, invalid("Transfer-Encoding in HTTP/1.0")
	}
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), r)), request)
	if err != nil {
		return nil, err
	}
	response.Close = true
	return response, nil
}

// copyHead reads the lines up to the empty one that ends a head.
func copyHead(r *bufio.Reader) ([]byte, error) {
	var head []byte
	for {
		line, err := r.ReadBytes('\n')
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		head = append(head, line...)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return head, nil
		}
	}
}
