// Package targetlink is an HTTP/1.1 client for the local target. It pools connections, sends
// one request at a time on each, and accepts a response only if it echoes the id of the
// request. A late response to an earlier request is discarded and its connection is closed.
// A target may send a response again at any later time, so that a request that is sent more
// than once, such as one that was declined, goes out on another connection each time.
//
// net/http's Transport cannot be used here: it accepts any response on a connection and
// retries some requests on its own.
package targetlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/connreset"
	"github.com/landingmast/landingmast/internal/responses"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
)

// Errors returned by Do, wrapped; compare with errors.Is.
const (
	// ErrNotSent means that no connection could be opened and nothing was sent.
	ErrNotSent = errors.ConstError("no connection to the target (remedy: check that it is listening)")
	// ErrAbandoned means that the request was abandoned while it waited for a connection: nothing was sent.
	ErrAbandoned = errors.ConstError("request was abandoned before it was sent (remedy: send it to another target)")
	// ErrNoResponse means that the connection failed before a response: the request may have run.
	ErrNoResponse = errors.ConstError("connection to the target failed before a response (remedy: none; the request may have run)")
	// ErrInvalidResponse means that the response is invalid or not for this request: the request
	// may have run.
	ErrInvalidResponse = errors.ConstError("invalid response from the target (remedy: check the target)")
)

// Request is a request to the target.
type Request struct {
	ID     string // id that the response must echo
	Method string
	URI    string // path and query, unmodified
	Host   string
	Header http.Header // without hop-by-hop headers
	Body   []byte      // complete body, if Stream is nil
	Stream io.Reader   // streamed body
	Length int64       // length of Stream; -1 if unknown
	// Abandon ends the wait for a connection when it is closed; Do then returns ErrAbandoned. It may be nil.
	Abandon <-chan struct{}
	// BeforeSend is called when there is a connection, unless the request is abandoned. It may be nil.
	BeforeSend func()
}

// Response is a response. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Length int64 // -1 if unknown
	Body   io.ReadCloser
}

// Options configures a Link.
type Options struct {
	Address    string
	EchoHeader string // response header that carries the request id
	// Dial opens a connection; defaults to TCP with a timeout.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDial is called for each new connection; may be nil.
	OnDial func()
	// OnLateResponse is called for each discarded response to an earlier request; may be nil.
	OnLateResponse func()
}

// Link is a pool of connections to one target, safe for concurrent use.
type Link struct {
	options Options
	mu      sync.Mutex
	idle    []*connection // most recently used last
	closed  bool
}

const (
	dialTimeout            = time.Second
	defaultIdleTimeout     = 4 * time.Second // without a Keep-Alive timeout
	keepAliveFraction      = 0.75            // fraction of the target's keep-alive timeout
	bufferSize             = 4 << 10
	maxStaleResponses      = 4        // stale responses discarded per request
	maxStaleBodyBytes      = 64 << 10 // longest body of a stale response that is discarded
	maxResponseHeaderBytes = 64 << 10 // of a response and the interim responses before it
)

// New returns a Link.
func New(options Options) *Link {
	if options.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Link{options: options}
}

type connection struct {
	net.Conn
	reader       *bufio.Reader
	headerLimit  *headerLimitReader
	isIdle       func() bool
	idleDeadline time.Time
	sent         sentIDs
}

// headerLimitReader limits the size of response headers.
type headerLimitReader struct {
	source    io.Reader
	remaining int64
}

func (h *headerLimitReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, ErrInvalidResponse
	}
	count, err := h.source.Read(p[:min(int64(len(p)), h.remaining)])
	h.remaining -= int64(count)
	return count, err
}

const unlimited = int64(1) << 62

// Do sends a request and reads the response headers. Cancellation of ctx closes the
// connection, also while the response body is read.
func (l *Link) Do(ctx context.Context, request *Request) (*Response, error) {
	conn, err := l.acquire(ctx, request)
	switch {
	case isClosed(request.Abandon):
		if err == nil {
			_ = conn.Close()
		}
		return nil, ErrAbandoned
	case err != nil:
		return nil, errors.WithType(err, ErrNotSent)
	}
	if request.BeforeSend != nil {
		request.BeforeSend()
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	done, err := conn.send(request)
	if err != nil {
		stopCancel()
		_ = conn.Close()
		return nil, errors.WithType(err, ErrNoResponse)
	}
	response, discarded, err := l.readResponse(conn, request)
	if err != nil {
		stopCancel()
		_ = conn.Close()
		return nil, err
	}
	body := &responseBody{
		link: l, conn: conn, source: response.Body, stopCancel: stopCancel, writeDone: done,
		reusable: !discarded && !response.Close && isDelimited(response), idleTimeout: keepAliveTimeout(response.Header),
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: body}, nil
}

func isDelimited(response *http.Response) bool {
	if response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// keepAliveTimeout returns how long an idle connection may be reused.
func keepAliveTimeout(header http.Header) time.Duration {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * keepAliveFraction * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// isClosed reports whether a channel is closed; nil is not.
func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// acquire returns an open connection on which the request has not been sent before: an idle one, or a new
// one unless the request is abandoned before it is open.
func (l *Link) acquire(ctx context.Context, request *Request) (*connection, error) {
	id, abandon := hashID(request.ID), request.Abandon
	conn, err := l.acquireFor(ctx, id, abandon)
	if err == nil {
		conn.sent.add(id)
	}
	return conn, err
}

func (l *Link) acquireFor(ctx context.Context, id uint64, abandon <-chan struct{}) (*connection, error) {
	for {
		conn := l.takeIdle(id)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.idleDeadline) && conn.isIdle() {
			return conn, nil
		}
		_ = conn.Close()
	}
	if abandon == nil {
		return l.dial(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-abandon:
			cancel()
		case <-ctx.Done():
		}
	}()
	return l.dial(ctx)
}

func (l *Link) dial(ctx context.Context) (*connection, error) {
	raw, err := l.options.Dial(ctx, l.options.Address)
	if err != nil {
		return nil, err
	}
	if l.options.OnDial != nil {
		l.options.OnDial()
	}
	raw = connreset.Detect(raw)
	limit := &headerLimitReader{source: raw, remaining: unlimited}
	conn := &connection{Conn: raw, reader: bufio.NewReaderSize(limit, bufferSize), headerLimit: limit}
	if conn.isIdle = IdleCheck(raw); conn.isIdle == nil {
		conn.isIdle = func() bool { return true } // not a socket
	}
	return conn, nil
}

// Probe checks that the target accepts connections; the new connection is added to the pool.
func (l *Link) Probe(ctx context.Context) error {
	conn, err := l.dial(ctx)
	if err == nil {
		l.putIdle(conn, defaultIdleTimeout)
	}
	return err
}

// takeIdle returns the most recently used idle connection on which no request with the id was sent, or nil.
func (l *Link) takeIdle(id uint64) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	for index := len(l.idle) - 1; index >= 0; index-- {
		if conn := l.idle[index]; !conn.sent.contains(id) {
			l.idle = slices.Delete(l.idle, index, index+1)
			return conn
		}
	}
	return nil
}

func (l *Link) putIdle(conn *connection, timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || timeout <= 0 {
		_ = conn.Close()
		return
	}
	conn.idleDeadline = time.Now().Add(timeout)
	l.idle = append(l.idle, conn)
}

// Close closes idle connections; connections in use are closed on release.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, conn := range l.idle {
		_ = conn.Close()
	}
	l.idle = nil
}

// buffers holds *[]byte for the requests that are written.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// maxPooledBuffer is the capacity above which a buffer is not kept.
const maxPooledBuffer = 8 << 10

// send writes the request. A streamed body is written in the background while the response is read;
// its result is sent on the returned channel, which is nil otherwise.
func (c *connection) send(request *Request) (done <-chan error, err error) {
	buffer := buffers.Get().(*[]byte)
	chunked := request.Stream != nil && request.Length < 0
	data := appendHead((*buffer)[:0], request, chunked)
	data = append(data, request.Body...)
	_, err = c.Write(data)
	if cap(data) <= maxPooledBuffer {
		*buffer = data
		buffers.Put(buffer)
	}
	if err != nil || request.Stream == nil {
		return nil, err
	}
	written := make(chan error, 1)
	go func() { written <- copyBody(c.Conn, request, chunked) }()
	return written, nil
}

func appendHead(data []byte, request *Request, chunked bool) []byte {
	data = append(append(data, request.Method...), ' ')
	data = append(append(data, request.URI...), " HTTP/1.1\r\nHost: "...)
	data = append(append(data, request.Host...), "\r\n"...)
	for name, values := range request.Header {
		data = headers.AppendField(data, name, values)
	}
	switch {
	case chunked:
		data = append(data, "Transfer-Encoding: chunked\r\n"...)
	case request.Stream != nil:
		data = appendLength(data, request.Length)
	case len(request.Body) > 0 || methodExpectsBody(request.Method):
		data = appendLength(data, int64(len(request.Body)))
	}
	return append(data, "\r\n"...)
}

func appendLength(data []byte, length int64) []byte {
	data = strconv.AppendInt(append(data, "Content-Length: "...), length, 10)
	return append(data, "\r\n"...)
}

func methodExpectsBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// copyBody writes a streamed body. On error it closes the connection, so that the target
// does not mistake a truncated body for a complete one.
func copyBody(conn net.Conn, request *Request, chunked bool) error {
	var err error
	if chunked {
		err = copyChunks(conn, request.Stream)
	} else {
		var written int64
		written, err = io.Copy(conn, io.LimitReader(request.Stream, request.Length))
		if err == nil && written < request.Length {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil {
		_ = conn.Close()
	}
	return err
}

func copyChunks(conn net.Conn, source io.Reader) error {
	buffer := make([]byte, bufferSize)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			chunk := append([]byte(strconv.FormatInt(int64(count), 16)+"\r\n"), buffer[:count]...)
			if _, writeErr := conn.Write(append(chunk, '\r', '\n')); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			_, err = conn.Write([]byte("0\r\n\r\n"))
			return err
		}
		if err != nil {
			return err
		}
	}
}

// The requests that net/http needs to tell whether a response has a body.
var (
	withBody    = &http.Request{Method: http.MethodGet}
	withoutBody = &http.Request{Method: http.MethodHead}
)

// readResponse reads responses until one echoes the request id, and reports whether others
// were discarded.
func (l *Link) readResponse(conn *connection, request *Request) (*http.Response, bool, error) {
	httpRequest := withBody
	if request.Method == http.MethodHead {
		httpRequest = withoutBody
	}
	for stale := 0; stale <= maxStaleResponses; {
		conn.headerLimit.remaining = maxResponseHeaderBytes
		response, err := responses.Read(conn.reader, httpRequest)
		conn.headerLimit.remaining = unlimited
		if err != nil {
			if isDisconnect(err) {
				return nil, false, errors.WithType(err, ErrNoResponse)
			}
			return nil, false, errors.WithType(err, ErrInvalidResponse)
		}
		if response.Header.Get(l.options.EchoHeader) == request.ID {
			return response, stale > 0, nil
		}
		stale++
		if l.options.OnLateResponse != nil {
			l.options.OnLateResponse()
		}
		if !isDelimited(response) {
			break
		}
		// What follows a part of the body is not a response.
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBodyBytes+1)); err != nil || n > maxStaleBodyBytes {
			break
		}
	}
	return nil, false, ErrInvalidResponse
}

// isDisconnect reports whether err is a connection failure rather than a malformed response.
func isDisconnect(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || errors.Is(err, net.ErrClosed)
}

// responseBody releases the connection once the whole response was read.
type responseBody struct {
	link        *Link
	conn        *connection
	source      io.Reader
	stopCancel  func() bool
	writeDone   <-chan error // nil if the request body is not streamed
	reusable    bool
	idleTimeout time.Duration
	eof         bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	count, err := b.source.Read(p)
	if err == io.EOF {
		b.eof = true
	}
	return count, err
}

// Close returns the connection to the pool, or closes it if the request or the response is
// incomplete.
func (b *responseBody) Close() error {
	if b.conn == nil {
		return nil
	}
	conn := b.conn
	b.conn = nil
	alive := b.stopCancel()
	complete := b.eof && b.bodySent()
	if alive && complete && b.reusable && !conn.sent.full() && conn.reader.Buffered() == 0 {
		b.link.putIdle(conn, b.idleTimeout)
		return nil
	}
	return conn.Close()
}

func (b *responseBody) bodySent() bool {
	if b.writeDone == nil {
		return true
	}
	select {
	case err := <-b.writeDone:
		return err == nil
	default:
		return false
	}
}
