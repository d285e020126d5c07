// Package duplex lets handlers respond before they have read the whole request body, and announces
// to the client when the connection closes after that response.
//
// By default net/http reads the rest of the request body before it writes a response. In full
// duplex mode it reads the rest after the response, and panics while waiting for the next request
// ("invalid concurrent Body.Read call"). The connection then closes unannounced, and a client that
// has already reused it cannot tell whether its next request was executed. A response whose header
// is written before the body was read completely therefore carries "Connection: close".
//
// Handlers must use the Writer and the request returned by Begin.
package duplex

import (
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Writer is the http.ResponseWriter of one request. Its methods are not safe for concurrent use.
type Writer struct {
	http.ResponseWriter
	body        *body
	closeAfter  func() bool
	noChunks    bool // the client knows no chunked coding (HTTP/1.0)
	wroteHeader bool
	closes      bool // the header carries "Connection: close"
}

// Begin enables full duplex mode for a request. It returns the writer of the response, and the
// request with a body that tracks whether it was read completely; the handler must use these.
// closeAfter is called when the header is written and reports whether the connection has to close
// after this response for another reason, such as a shutdown. It may be nil.
func Begin(w http.ResponseWriter, r *http.Request, closeAfter func() bool) (*Writer, *http.Request) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	writer := &Writer{ResponseWriter: w, closeAfter: closeAfter, noChunks: !r.ProtoAtLeast(1, 1)}
	if r.Body == nil || r.Body == http.NoBody {
		return writer, r
	}
	writer.body = &body{src: r.Body, length: r.ContentLength, expectContinue: r.Header.Get("Expect") != ""}
	// The original request keeps its body, by which net/http decides how to close the connection.
	r = r.WithContext(r.Context())
	r.Body = writer.body
	return writer, r
}

// NoticeDisconnect lets net/http notice a client that has closed its connection, which ends the context
// of the request. It must be called after the body was read. On a busy machine a request is handled long
// after it arrived: the goroutine that watches the connection has been started, but on a single processor
// does not run before the handler blocks, which is after the request was passed on.
func NoticeDisconnect() { runtime.Gosched() }

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		if w.closes = w.mustClose(); w.closes {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// ReadFrom implements io.ReaderFrom, so that net/http can optimize copying large responses.
func (w *Writer) ReadFrom(src io.Reader) (int64, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return io.Copy(w.ResponseWriter, src)
}

// ClosesConnection reports whether the response header carries "Connection: close". It returns
// false until the header is written.
func (w *Writer) ClosesConnection() bool { return w.closes }

func (w *Writer) mustClose() bool {
	return w.body.unread() || w.closeRequested()
}

func (w *Writer) closeRequested() bool { return w.closeAfter != nil && w.closeAfter() }

// Abort ends a response whose body cannot be completed, so that the client sees that it is incomplete. It does
// not return, but panics with http.ErrAbortHandler. The body of a response without a length ends with the
// connection in HTTP/1.0: net/http would close the connection, Abort resets it.
func (w *Writer) Abort() {
	if w.noChunks && w.Header().Get("Content-Length") == "" {
		if conn, _, err := http.NewResponseController(w.ResponseWriter).Hijack(); err == nil {
			if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
				_ = socket.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// DrainBody discards the unread part of a short request body, so that the connection can be reused
// after the request is rejected. It must be called before the header is written. A body that is
// long, of unknown length or not received within drainTimeout is left unread, and the connection
// closes after the response.
func (w *Writer) DrainBody() {
	if !w.body.unread() || !w.body.drainable() || w.closeRequested() {
		return
	}
	controller := http.NewResponseController(w.ResponseWriter)
	if err := controller.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return
	}
	w.body.discard()
	_ = controller.SetReadDeadline(time.Time{}) // net/http sets a new deadline for the next request
}

// Limits of DrainBody.
const (
	maxDrainBytes = 64 << 10
	drainTimeout  = 10 * time.Millisecond // enough for data already sent; a rejection must not wait for more
)

// body wraps a request body and records whether it was read to the end. A nil *body stands for a
// request without a body.
type body struct {
	src            io.ReadCloser
	length         int64
	expectContinue bool // the client sends the body only after a 100 Continue
	mu             sync.Mutex
	eof            atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read(data)
}

func (b *body) read(data []byte) (int, error) {
	n, err := b.src.Read(data)
	if err == io.EOF {
		b.eof.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error { return b.src.Close() }

func (b *body) unread() bool { return b != nil && !b.eof.Load() }

func (b *body) drainable() bool {
	return b.length > 0 && b.length <= maxDrainBytes && !b.expectContinue
}

// discard reads the body to the end, unless another goroutine is reading it: a failed attempt to
// forward the request may not have released the body yet.
func (b *body) discard() {
	if !b.mu.TryLock() {
		return
	}
	defer b.mu.Unlock()
	_, _ = io.Copy(io.Discard, readerFunc(b.read))
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(data []byte) (int, error) { return f(data) }
