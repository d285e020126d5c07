package dataplane

import (
	"io"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/landingmast/landingmast/internal/failure"
)

const relayBuffer = 32 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBuffer]byte) }}

// body sums up a relayed body.
type body struct {
	length int64
	digest uint64
}

// relay copies a body of any length without holding it whole. With a known
// length the last byte is held back until check has passed, so that a body that
// turns out to be broken never reaches the receiver as a whole one; with an
// unknown length (-1) the receiver learns of the failure by the missing end of the
// chunked coding. flush sends each piece on at once, for bodies that are streamed.
func relay(w http.ResponseWriter, source io.Reader, length int64, flush bool, keep *keeper, check func(body) error) (body, error) {
	buffer := relayBuffers.Get().(*[relayBuffer]byte)
	defer relayBuffers.Put(buffer)
	digest := xxhash.New()
	var sum body
	var held []byte
	for {
		count, readErr := source.Read(buffer[:])
		piece := buffer[:count]
		_, _ = digest.Write(piece)
		keep.write(piece)
		sum.length += int64(count)
		if length > 0 && sum.length == length && count > 0 {
			held = []byte{piece[count-1]}
			piece = piece[:count-1]
		}
		if length >= 0 && sum.length > length {
			return sum, failure.New(failure.Internal, "look at the target", "body is longer than the %d bytes announced", length)
		}
		if len(piece) > 0 {
			if _, err := w.Write(piece); err != nil {
				return sum, errReceiverGone
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
	if err := check(sum); err != nil {
		return sum, err
	}
	if len(held) > 0 {
		if _, err := w.Write(held); err != nil {
			return sum, errReceiverGone
		}
	}
	return sum, nil
}

// keeper keeps a copy of a body up to a bound; nil keeps nothing.
type keeper struct {
	data     []byte
	maximum  int
	exceeded bool
}

func (k *keeper) write(piece []byte) {
	if k == nil || k.exceeded {
		return
	}
	if len(k.data)+len(piece) > k.maximum {
		k.exceeded, k.data = true, nil
		return
	}
	k.data = append(k.data, piece...)
}

// replayBody lets a request body be sent again as long as what was read of it
// fits a bound. It is used by one attempt at a time.
type replayBody struct {
	source  io.Reader
	mutex   sync.Mutex
	kept    []byte
	read    int // bytes read from source
	ended   error
	attempt int
}

const replayMaximum = 64 << 10

// replayable tells whether the body can be sent again: nothing was read of it,
// or all of it was and it is kept. It never waits for a slow sender.
func (b *replayBody) replayable() bool {
	if !b.mutex.TryLock() {
		return false
	}
	defer b.mutex.Unlock()
	return b.read == 0 || (b.ended == io.EOF && b.read <= replayMaximum)
}

// next gives the body for a new attempt. A reader of an earlier attempt reads
// nothing more from then on.
func (b *replayBody) next() io.ReadCloser {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.attempt++
	return &replayReader{body: b, attempt: b.attempt}
}

type replayReader struct {
	body    *replayBody
	attempt int
	place   int
}

// Read implements io.Reader.
func (r *replayReader) Read(piece []byte) (int, error) {
	b := r.body
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if r.attempt != b.attempt {
		return 0, io.ErrClosedPipe
	}
	if r.place < b.read && r.place < len(b.kept) {
		count := copy(piece, b.kept[r.place:])
		r.place += count
		return count, nil
	}
	if b.ended != nil {
		return 0, b.ended
	}
	count, err := b.source.Read(piece)
	if b.read+count <= replayMaximum {
		b.kept = append(b.kept, piece[:count]...)
	}
	b.read += count
	r.place += count
	if err != nil {
		b.ended = err
	}
	return count, err
}

// Close implements io.Closer; the source stays open for further attempts.
func (r *replayReader) Close() error { return nil }
