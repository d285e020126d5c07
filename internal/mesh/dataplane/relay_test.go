package dataplane

import (
	"bytes"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"
)

const errCheck = errors.ConstError("digest does not match")

func TestRelayNeverDeliversUnverifiedBody(t *testing.T) {
	g := NewWithT(t)
	whole := bytes.Repeat([]byte("x"), 3*relayBufferSize)
	for _, source := range []io.Reader{bytes.NewReader(whole), iotest.OneByteReader(bytes.NewReader(whole[:500]))} {
		data, _ := io.ReadAll(source)
		receiver := httptest.NewRecorder()
		_, err := relay(receiver, bytes.NewReader(data), int64(len(data)), false, nil, func(bodySum) error { return errCheck })
		g.Expect(err).To(MatchError(errCheck))
		g.Expect(receiver.Body.Len()).To(Equal(len(data) - 1))

		// A plain copy delivers the complete body before verification.
		plain := httptest.NewRecorder()
		_, _ = io.Copy(plain, bytes.NewReader(data))
		g.Expect(plain.Body.Len()).To(Equal(len(data)))
	}
}

func TestRelayDeliversVerifiedBody(t *testing.T) {
	g := NewWithT(t)
	for _, length := range []int{0, 1, relayBufferSize, relayBufferSize + 1, 5*relayBufferSize - 1} {
		data := bytes.Repeat([]byte("y"), length)
		receiver := httptest.NewRecorder()
		sum, err := relay(receiver, bytes.NewReader(data), int64(length), false, nil, func(bodySum) error { return nil })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(sum.length).To(Equal(int64(length)))
		g.Expect(receiver.Body.Bytes()).To(Equal(append([]byte(nil), data...)))
	}
}

func TestRelayRejectsLengthMismatch(t *testing.T) {
	g := NewWithT(t)
	accept := func(bodySum) error { return nil }
	_, err := relay(httptest.NewRecorder(), strings.NewReader("abc"), 5, false, nil, accept)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	_, err = relay(httptest.NewRecorder(), strings.NewReader("abcdefg"), 5, false, nil, accept)
	g.Expect(err).To(HaveOccurred())
}

func TestBodyIsReplayableOnlyWhenFullyBuffered(t *testing.T) {
	g := NewWithT(t)
	small := &replayBody{source: strings.NewReader("small")}
	g.Expect(small.replayable()).To(BeTrue()) // nothing read
	first, _ := io.ReadAll(small.next())
	g.Expect(small.replayable()).To(BeTrue())
	again, _ := io.ReadAll(small.next())
	g.Expect(again).To(Equal(first))

	half := &replayBody{source: strings.NewReader(strings.Repeat("z", 2*maxReplayBody))}
	_, _ = io.CopyN(io.Discard, half.next(), 10)
	g.Expect(half.replayable()).To(BeFalse())
	large := &replayBody{source: strings.NewReader(strings.Repeat("z", 2*maxReplayBody))}
	_, _ = io.Copy(io.Discard, large.next())
	g.Expect(large.replayable()).To(BeFalse())
}

func TestSupersededReplayReaderIsClosed(t *testing.T) {
	g := NewWithT(t)
	shared := &replayBody{source: strings.NewReader("abcdef")}
	first := shared.next()
	_ = shared.next()
	_, err := first.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.ErrClosedPipe))
}

func TestRefusalSetsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for range 200 {
		receiver := httptest.NewRecorder()
		newRefusal("not-run", "queue_full").write(receiver, "r")
		g.Expect(receiver.Code).To(Equal(503))
		seen[receiver.Header().Get("Retry-After")] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">", 1)) // jittered
	receiver := httptest.NewRecorder()
	newRefusal("not-run", "no_key").write(receiver, "r")
	g.Expect(receiver.Header().Get("Retry-After")).To(BeEmpty()) // a retry cannot succeed
	g.Expect(receiver.Body.String()).To(ContainSubstring("remedy"))
}
