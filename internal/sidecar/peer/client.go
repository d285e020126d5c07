// Package peer holds the connections from one node to others: calls and their settling,
// messages of control, and the signs of life by which a node is taken for dead or back.
//
// It owns the connections that rest, and for each node that has requests when it was last
// heard of. It relies on package wire for the form of a call and on package reply for that
// of its answer; who the other nodes are, and what is done about one that is silent, is
// told by its callers. All of it is safe for concurrent use.
package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

// Bounds of the connections between nodes; no measurement set them. A request whose connection
// is not there after peerDialTimeout goes elsewhere.
const (
	peerDialTimeout = 500 * time.Millisecond
	peerIdle        = 30 * time.Second
	peerConnections = 256
	peerBuffer      = 4 << 10
)

// Paths between nodes.
const (
	CallPath   = "/call"
	SettlePath = "/settle"
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to other nodes.
type Client struct {
	Transport *http.Transport
	names     headers.Names
}

func NewClient(dial Dialer, names headers.Names) *Client {
	return &Client{names: names, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: peerConnections, IdleConnTimeout: peerIdle, DisableCompression: true,
		ReadBufferSize: peerBuffer, WriteBufferSize: peerBuffer,
	}}
}

// CloseIdle closes the connections that rest.
func (p *Client) CloseIdle() { p.Transport.CloseIdleConnections() }

// opaqueBody hides from net/http what a body is, so that it never sends a
// request a second time of its own accord.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

// hideKeys renames the headers by which net/http takes a request for repeatable
// to lower case; names are case-insensitive to the receiver.
func hideKeys(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, present := header[name]; present {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// Call sends one request to the node at an address. The reply's stream, if it has
// one, must be closed.
func (p *Client) Call(ctx context.Context, address string, call *wire.SidecarCall, header http.Header, body *reply.Payload) *reply.Reply {
	request := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: CallPath}, Host: address,
		Header: header.Clone(), ProtoMajor: 1, ProtoMinor: 1,
	})
	hideKeys(request.Header)
	p.names.RemoveCallHeaders(request.Header)
	if err := call.SetHeaders(request.Header); err != nil {
		return reply.NotRun(outcome.ReasonBadMessage)
	}
	if _, present := request.Header["User-Agent"]; !present {
		request.Header["User-Agent"] = []string{""}
	}
	switch {
	case body.Stream != nil:
		request.Body, request.ContentLength = opaqueBody{body.Stream}, body.Length
	case len(body.Data) > 0:
		request.Body, request.ContentLength = opaqueBody{bytes.NewReader(body.Data)}, int64(len(body.Data))
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := p.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return unanswered(ctx, connected.Load())
	}
	answer := readReply(ctx, response)
	p.names.RestoreRequestID(answer, call)
	return answer
}

// Post sends a control message to the node at an address and gives the answer's body.
func (p *Client) Post(ctx context.Context, address, path string, data []byte) ([]byte, error) {
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: path}, Host: address,
		Header: http.Header{"User-Agent": {""}},
	}
	if len(data) > 0 {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(len(data))
	}
	response, err := p.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "none; another node is asked", "%s at %s", path, address)
	}
	defer response.Body.Close()
	read, err := io.ReadAll(io.LimitReader(response.Body, wire.MaxMessage))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "none; another node is asked", "%s at %s", path, address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, failure.New(failure.Unavailable, "none; another node is asked", "%s at %s: status %d", path, address, response.StatusCode)
	}
	return read, nil
}

// BareAnswer has an answer carry no header that net/http adds of its own.
func BareAnswer(w http.ResponseWriter) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
}

// Settle asks a node what became of a request that was sent to it.
func (p *Client) Settle(ctx context.Context, address string, call *wire.SidecarCall) *reply.Reply {
	head, err := wire.SidecarCallCodec.EncodeHeader(call)
	if err != nil {
		return reply.Unknown(outcome.ReasonBadMessage)
	}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: SettlePath}, Host: address,
		Header: http.Header{"User-Agent": {""}, wire.HeaderSidecarCall: {head}},
	}
	response, err := p.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if ctx.Err() != nil {
			return reply.Unknown(reply.CancelReason(ctx))
		}
		return reply.Unknown(outcome.ReasonLost)
	}
	answer := readReply(ctx, response)
	p.names.RestoreRequestID(answer, call)
	return answer
}

// unanswered sorts a failed round trip: without a connection nothing was sent.
func unanswered(ctx context.Context, connected bool) *reply.Reply {
	switch {
	case !connected && ctx.Err() != nil:
		return reply.NotRun(reply.CancelReason(ctx))
	case !connected:
		return reply.NotRun(outcome.ReasonUnreachable)
	case ctx.Err() != nil:
		return reply.Unknown(reply.CancelReason(ctx))
	default:
		return reply.Unknown(outcome.ReasonLost)
	}
}

// readReply reads the head of a reply and its body, whole unless it is long.
func readReply(ctx context.Context, response *http.Response) *reply.Reply {
	result, err := wire.SidecarResultCodec.DecodeHeader(response.Header.Get(wire.HeaderSidecarResult))
	if err != nil {
		_ = response.Body.Close()
		return reply.Unknown(outcome.ReasonBadMessage)
	}
	answer := reply.FromResult(result)
	answer.SetWaits(response.Header.Get(wire.HeaderSidecarWaits))
	data, rest, err := reply.ReadBuffered(response.Body, response.ContentLength)
	if err != nil {
		_ = response.Body.Close()
		lost := reply.Unknown(outcome.ReasonLost)
		if ctx.Err() != nil {
			lost.Reason = reply.CancelReason(ctx)
		}
		return lost
	}
	answer.Header, answer.Body = headers.EndToEnd(response.Header), data
	if rest == nil {
		_ = response.Body.Close()
		return answer
	}
	answer.Body = nil
	answer.Stream = struct {
		io.Reader
		io.Closer
	}{rest, response.Body}
	return answer
}
