package wire

import (
	"testing"

	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
	. "github.com/onsi/gomega"
)

func TestMessageRoundTrip(t *testing.T) {
	g := NewWithT(t)
	call := &Call{Protocol: 1, RequestID: "r", CallID: "c", Service: "s", Rank: 70, Remaining: 5, Credits: 3, AtMostOnce: true, Key: "k"}
	header, err := CallCodec.EncodeHeader(call)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(CallCodec.DecodeHeader(header)).To(Equal(call))

	release := &bundle.Release{Mesh: "m", Version: 9, Base: 8, Digest: []byte{1}, Signature: []byte{2}, Sections: []bundle.Section{{Name: "head", Body: []byte("{}")}}, Removed: []string{"service/x"}}
	data, err := ReleaseCodec.Encode(release)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ReleaseCodec.Decode(data)).To(Equal(release))

	entry := claim.Entry{Key: "k", Promised: claim.Ballot{Epoch: 1, Round: 2, Proposer: "p"}, Executor: claim.Executor{Node: "n", Incarnation: "i"}}
	seal := &SealReply{Installed: true, Entries: []claim.Entry{entry}}
	data, err = SealReplyCodec.Encode(seal)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(SealReplyCodec.Decode(data)).To(Equal(seal))
}

func TestOlderWriterIsRead(t *testing.T) {
	g := NewWithT(t)
	older := `{"type":"record","name":"Query","fields":[]}`
	reader := codec.New[NameMessage](100, querySchema, older)
	writer := codec.New[struct{}](100, older)
	data, err := writer.Encode(&struct{}{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reader.Decode(data)).To(Equal(&NameMessage{}))
}

func FuzzDecodeMessages(f *testing.F) {
	for _, seed := range [][]byte{nil, {1, 2, 3}, []byte("0123456789abcdef")} {
		f.Add(seed)
	}
	data, _ := CallCodec.Encode(&Call{RequestID: "r"})
	f.Add(data)
	data, _ = SealReplyCodec.Encode(&SealReply{Entries: []claim.Entry{{Key: "k"}}})
	f.Add(data)
	data, _ = ReleaseCodec.Encode(&bundle.Release{Mesh: "m"})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = CallCodec.Decode(data)
		_, _ = ResultCodec.Decode(data)
		_, _ = EndCodec.Decode(data)
		_, _ = SealReplyCodec.Decode(data)
		_, _ = ReleaseCodec.Decode(data)
		_, _ = VoteCodec.Decode(data)
		_, _ = InstallCodec.Decode(data)
	})
}
