// Package peer connects a node to other nodes: it sends requests, outcome queries and control
// messages, and detects unresponsive nodes.
//
// The package owns the pool of idle connections and, for each node with requests in flight, the
// time of its last sign of life. Package wire defines the encoding of calls and package reply that
// of responses. Callers supply the addresses of nodes and handle liveness changes. All exported
// types are safe for concurrent use.
package peer

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/core/outcome"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/responses"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/wire"
)

// Limits of the connections between nodes. A request that cannot connect within dialTimeout is
// sent to another node.
const (
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 30 * time.Second
	maxIdlePerPeer = 256
	bufferSize     = 4 << 10
)

// URL paths served to other nodes.
const (
	CallPath     = "/call"
	SettlePath   = "/settle"
	WithdrawPath = "/withdraw"
)

type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests, outcome queries and control messages to other nodes.
type Client struct {
	Transport *http.Transport // control messages and calls with long bodies
	calls     *connections
	names     headers.Names
}

func NewClient(dial Dialer, names headers.Names) *Client {
	dialer := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	return &Client{names: names, calls: newConnections(dialer), Transport: &http.Transport{
		DialContext:         dialer,
		MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleTimeout, DisableCompression: true,
		ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
	}}
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() {
	c.Transport.CloseIdleConnections()
	c.calls.close()
}

// opaqueBody hides the type of a request body from net/http, so that the transport never resends a
// request on its own.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

// hideIdempotencyKeys lower-cases the headers that make net/http treat a request as idempotent. The
// receiver ignores the case of header names.
func hideIdempotencyKeys(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, present := header[name]; present {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// Call sends one request to the node at an address. abort, which may be nil, ends the call, and a body
// that is still being read. The caller must close the reply.
func (c *Client) Call(ctx context.Context, address string, call *wire.SidecarCall, header http.Header, body *reply.Payload, abort *Abort) *reply.Reply {
	added := make(http.Header, maxCallHeaders)
	if err := call.EncodeHeaders(added); err != nil {
		return reply.NotRun(outcome.ReasonBadMessage)
	}
	if body.Stream != nil || len(body.Data) > maxDirectBody {
		return c.callLong(ctx, address, call, added, header, body, abort)
	}
	response, connected, err := c.calls.roundTrip(ctx, address, added, header, c.names, body.Data, abort)
	return c.finish(ctx, call, response, connected, err, abort)
}

// callLong is Call for a body that is too long to be written before the response is read.
func (c *Client) callLong(ctx context.Context, address string, call *wire.SidecarCall, added, header http.Header, body *reply.Payload, abort *Abort) *reply.Reply {
	ctx, cancel := context.WithCancel(ctx)
	abort.attach(cancel)
	response, connected, err := c.sendLong(ctx, address, added, header, body)
	answer := c.finish(ctx, call, response, connected, err, abort)
	if answer.Stream == nil {
		abort.detach()
		cancel()
	}
	return answer
}

// finish returns the reply to a call from its response, or from the error of its round trip.
func (c *Client) finish(ctx context.Context, call *wire.SidecarCall, response *http.Response, connected bool, err error, abort *Abort) *reply.Reply {
	if err != nil {
		return classifyError(ctx, connected, abort.Aborted())
	}
	answer := readReply(ctx, response)
	c.names.RestoreRequestID(answer, call)
	return answer
}

// maxCallHeaders is the largest number of headers that describe a call.
const maxCallHeaders = 5

// sendLong sends a request while the response is read. connected reports whether the error came after
// a connection was established.
func (c *Client) sendLong(ctx context.Context, address string, added, header http.Header, body *reply.Payload) (response *http.Response, connected bool, err error) {
	request := (&http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: CallPath}, Host: address,
		Header: header.Clone(), ProtoMajor: 1, ProtoMinor: 1,
	})
	hideIdempotencyKeys(request.Header)
	c.names.RemoveCallHeaders(request.Header)
	maps.Copy(request.Header, added)
	if _, present := request.Header["User-Agent"]; !present {
		request.Header["User-Agent"] = []string{""}
	}
	if body.Stream != nil {
		request.Body, request.ContentLength = opaqueBody{body.Stream}, body.Length
	} else {
		request.Body, request.ContentLength = opaqueBody{bytes.NewReader(body.Data)}, int64(len(body.Data))
	}
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	response, err = c.roundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return response, gotConn.Load(), err
}

// roundTrip sends a request by net/http and returns the response unless it is invalid.
func (c *Client) roundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := responses.Validate(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// Post sends a control message to the node at an address and returns the body of the response.
func (c *Client) Post(ctx context.Context, address, path string, data []byte) ([]byte, error) {
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: path}, Host: address,
		Header: http.Header{"User-Agent": {""}},
	}
	if len(data) > 0 {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(len(data))
	}
	response, err := c.roundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "none; another node is tried", "POST %s to %s", path, address)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, wire.MaxMessage))
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "none; another node is tried", "reading the response to POST %s from %s", path, address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, failure.New(failure.Unavailable, "none; another node is tried", "POST %s to %s: status %d", path, address, response.StatusCode)
	}
	return content, nil
}

// OmitDefaultHeaders keeps net/http from adding default headers to a response.
func OmitDefaultHeaders(w http.ResponseWriter) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
}

// Settle queries a node for the outcome of a request that was sent to it.
func (c *Client) Settle(ctx context.Context, address string, call *wire.SidecarCall) *reply.Reply {
	head, err := wire.SidecarCallCodec.EncodeHeader(call)
	if err != nil {
		return reply.Unknown(outcome.ReasonBadMessage)
	}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: SettlePath}, Host: address,
		Header: http.Header{"User-Agent": {""}, wire.HeaderSidecarCall: {head}},
	}
	response, err := c.roundTrip(request.WithContext(ctx))
	if err != nil {
		if ctx.Err() != nil {
			return reply.Unknown(reply.CancelReason(ctx))
		}
		return reply.Unknown(outcome.ReasonLost)
	}
	answer := readReply(ctx, response)
	c.names.RestoreRequestID(answer, call)
	return answer
}

// Withdraw takes back requests that wait at the node at an address. Nodes of earlier releases do not know
// this message and return an error.
func (c *Client) Withdraw(ctx context.Context, address string, withdrawal *wire.Withdrawal) error {
	data, err := wire.WithdrawalCodec.Encode(withdrawal)
	if err != nil {
		return err
	}
	_, err = c.Post(ctx, address, WithdrawPath, data)
	return err
}

// classifyError returns the reply to a failed round trip. Nothing was sent without a connection.
func classifyError(ctx context.Context, connected, aborted bool) *reply.Reply {
	switch {
	case !connected && (aborted || ctx.Err() != nil):
		return reply.NotRun(reply.CancelReason(ctx))
	case !connected:
		return reply.NotRun(outcome.ReasonUnreachable)
	case ctx.Err() != nil:
		return reply.Unknown(reply.CancelReason(ctx))
	default:
		return reply.Unknown(outcome.ReasonLost)
	}
}

// readReply reads the head of a reply and its body, buffering all of it unless it is long. Nodes always tell
// where the body ends: the end of the connection may be that of a part.
func readReply(ctx context.Context, response *http.Response) *reply.Reply {
	if !isDelimited(response) {
		_ = response.Body.Close()
		return reply.Unknown(outcome.ReasonBadMessage)
	}
	result, err := wire.SidecarResultCodec.DecodeHeader(response.Header.Get(wire.HeaderSidecarResult))
	if err != nil {
		_ = response.Body.Close()
		return reply.Unknown(outcome.ReasonBadMessage)
	}
	answer := reply.FromResult(result)
	if answer.Outcome == outcome.Answered && !responses.IsFinal(answer.Status) {
		_ = response.Body.Close()
		return reply.Unknown(outcome.ReasonInvalidResponse)
	}
	answer.SetWaits(response.Header.Get(wire.HeaderSidecarWaits))
	answer.SetUsage(response.Header.Get(wire.HeaderSidecarUsage))
	answer.SetPace(response.Header.Get(wire.HeaderSidecarPace))
	answer.TargetState = wire.DecodeTargetState(response.Header)
	data, rest, err := reply.ReadBuffered(response.Body, response.ContentLength)
	if err != nil {
		_ = response.Body.Close()
		lost := reply.Unknown(outcome.ReasonLost)
		if ctx.Err() != nil {
			lost.Reason = reply.CancelReason(ctx)
		}
		return lost
	}
	answer.Header, answer.Body = headers.KeepEndToEnd(response.Header), data
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
