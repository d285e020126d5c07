package dataplane

import (
	"io"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/failure"
)

const relayBufferSize = 32 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferSize]byte) }}

// bodySum holds the length and digest of a relayed body.
type bodySum struct {
	length int64
	digest uint64
}

// relay streams source to w. If the length is known, it withholds the last byte until verify
// succeeds, so the receiver never sees a corrupt body as complete. If it is unknown (-1),
// the receiver detects a failure by the missing end of the chunked encoding. flush forwards
// each chunk immediately.
func relay(w http.ResponseWriter, source io.Reader, length int64, flush bool, stored *boundedCopy, verify func(bodySum) error) (bodySum, error) {
	buffer := relayBuffers.Get().(*[relayBufferSize]byte)
	defer relayBuffers.Put(buffer)
	digest := xxhash.New()
	var sum bodySum
	var lastByte []byte
	for {
		n, readErr := source.Read(buffer[:])
		chunk := buffer[:n]
		_, _ = digest.Write(chunk)
		stored.write(chunk)
		sum.length += int64(n)
		if length > 0 && sum.length == length && n > 0 {
			lastByte = []byte{chunk[n-1]}
			chunk = chunk[:n-1]
		}
		if length >= 0 && sum.length > length {
			return sum, failure.New(failure.Internal, "look at the target", "body exceeds the declared length of %d bytes", length)
		}
		if len(chunk) > 0 {
			if _, err := w.Write(chunk); err != nil {
				return sum, errClientGone
			}
			if flush {
				_ = http.NewResponseController(w).Flush()
			}
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			return sum, readErr
		}
	}
	sum.digest = digest.Sum64()
	if length >= 0 && sum.length < length {
		return sum, io.ErrUnexpectedEOF
	}
	if err := verify(sum); err != nil {
		return sum, err
	}
	if len(lastByte) > 0 {
		if _, err := w.Write(lastByte); err != nil {
			return sum, errClientGone
		}
	}
	return sum, nil
}

// boundedCopy stores a copy of a body up to limit bytes; a nil boundedCopy stores nothing.
type boundedCopy struct {
	data     []byte
	limit    int
	exceeded bool
}

func (c *boundedCopy) write(p []byte) {
	if c == nil || c.exceeded {
		return
	}
	if len(c.data)+len(p) > c.limit {
		c.exceeded, c.data = true, nil
		return
	}
	c.data = append(c.data, p...)
}

// replayBody allows a request body to be resent if it was not read yet or is fully buffered.
// Only the latest reader returned by next may read it.
type replayBody struct {
	source    io.Reader
	mutex     sync.Mutex
	buffered  []byte
	bytesRead int
	readErr   error
	attempt   int
}

const maxReplayBody = 64 << 10

// replayable reports whether the body can be resent. It returns false if a read is in
// progress, without waiting for it.
func (b *replayBody) replayable() bool {
	if !b.mutex.TryLock() {
		return false
	}
	defer b.mutex.Unlock()
	return b.bytesRead == 0 || (b.readErr == io.EOF && b.bytesRead <= maxReplayBody)
}

// next returns a reader of the body for a new attempt and invalidates earlier readers.
func (b *replayBody) next() io.ReadCloser {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.attempt++
	return &replayReader{body: b, attempt: b.attempt}
}

type replayReader struct {
	body    *replayBody
	attempt int
	offset  int
}

// Read implements io.Reader.
func (r *replayReader) Read(p []byte) (int, error) {
	b := r.body
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if r.attempt != b.attempt {
		return 0, io.ErrClosedPipe
	}
	if r.offset < b.bytesRead && r.offset < len(b.buffered) {
		n := copy(p, b.buffered[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.readErr != nil {
		return 0, b.readErr
	}
	n, err := b.source.Read(p)
	if b.bytesRead+n <= maxReplayBody {
		b.buffered = append(b.buffered, p[:n]...)
	}
	b.bytesRead += n
	r.offset += n
	if err != nil {
		b.readErr = err
	}
	return n, err
}

// Close implements io.Closer. It leaves the source open for further attempts.
func (r *replayReader) Close() error { return nil }
