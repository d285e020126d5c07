// Package duplex lets an answer begin before its request was read whole, and sees to it that the
// sender is told when the connection ends with that answer.
//
// net/http reads the rest of a request before it writes an answer, unless full duplex is enabled.
// With full duplex it reads the rest after the answer, and panics when it then waits for the next
// request ("invalid concurrent Body.Read call"): the connection closes without a word, and a
// sender that has already taken it for its next call cannot tell whether that call ran. So a
// head that goes out before the request was read to its end asks to close the connection.
//
// The package owns the request's body while a handler runs, and the head of its answer. It relies
// on handlers that write through the writer and read through the body that Begin gives them.
package duplex

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Writer writes the answer to one request. Its methods are not safe for concurrent use, as those
// of http.ResponseWriter.
type Writer struct {
	http.ResponseWriter
	body   *body
	last   func() bool
	headed bool
	ends   bool // the head asked to close the connection
}

// Begin enables full duplex for a request. It gives the writer of its answer, and the request
// with a body that notes its end; the handler uses these from then on. last tells, when the head
// is written, whether the connection has to end with this answer for another reason, such as a
// planned stop; nil: never.
func Begin(w http.ResponseWriter, r *http.Request, last func() bool) (*Writer, *http.Request) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	made := &Writer{ResponseWriter: w, last: last}
	if r.Body == nil || r.Body == http.NoBody {
		return made, r
	}
	made.body = &body{source: r.Body, length: r.ContentLength, awaited: r.Header.Get("Expect") != ""}
	// net/http looks at the body of its own request to choose how it closes the connection.
	r = r.WithContext(r.Context())
	r.Body = made.body
	return made, r
}

// Unwrap gives the writer below, for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if status >= http.StatusOK && !w.headed {
		w.headed = true
		if w.ends = w.mustEnd(); w.ends {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(data []byte) (int, error) {
	if !w.headed {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// ReadFrom implements io.ReaderFrom, so that a long answer is copied as net/http copies it.
func (w *Writer) ReadFrom(source io.Reader) (int64, error) {
	if !w.headed {
		w.WriteHeader(http.StatusOK)
	}
	return io.Copy(w.ResponseWriter, source)
}

// Closes tells whether the head of the answer asked to close the connection; false before it.
func (w *Writer) Closes() bool { return w.ends }

func (w *Writer) mustEnd() bool {
	return w.body.unread() || w.isLast()
}

func (w *Writer) isLast() bool { return w.last != nil && w.last() }

// ReadRest reads what a handler that refuses a request has left of a short body, so that its
// connection can be used again. It has to be called before the head is written. A body that is
// long, of unknown length or not there within restTime is left unread, and the connection ends
// with the answer.
func (w *Writer) ReadRest() {
	if !w.body.unread() || !w.body.short() || w.isLast() {
		return
	}
	deadlines := http.NewResponseController(w.ResponseWriter)
	if err := deadlines.SetReadDeadline(time.Now().Add(restTime)); err != nil {
		return
	}
	w.body.discard()
	_ = deadlines.SetReadDeadline(time.Time{}) // net/http sets its own for the next request
}

// Bounds of ReadRest.
const (
	restBytes = 64 << 10
	restTime  = 10 * time.Millisecond // what has been sent is there by then; a refusal does not wait for more
)

// body is the body of a request; nil is one without.
type body struct {
	source  io.ReadCloser
	length  int64
	awaited bool // the sender waits to be asked for it
	reading sync.Mutex
	ended   atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	return b.read(data)
}

func (b *body) read(data []byte) (int, error) {
	n, err := b.source.Read(data)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error { return b.source.Close() }

func (b *body) unread() bool { return b != nil && !b.ended.Load() }

func (b *body) short() bool { return b.length > 0 && b.length <= restBytes && !b.awaited }

// discard reads to the end, unless somebody else reads: a sending that failed may not yet have
// let go of the body.
func (b *body) discard() {
	if !b.reading.TryLock() {
		return
	}
	defer b.reading.Unlock()
	_, _ = io.Copy(io.Discard, readerFunc(b.read))
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(data []byte) (int, error) { return f(data) }
