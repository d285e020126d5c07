package wire

import (
	"testing"

	"github.com/landingmast/landingmast/internal/core/crashes"
	. "github.com/onsi/gomega"
)

func TestCrashesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	evidence := []crashes.Evidence{
		{Fingerprint: crashes.FingerprintOf(crashes.Request{Path: "/a", Query: "q", Caller: "c"}), Instance: "i-1", Service: "s", Route: "r", CrashedAtMillis: 5, Isolated: true},
		{Fingerprint: crashes.FingerprintOf(crashes.Request{Path: "/b"}), Instance: "i-2", Cleared: true},
	}
	data, err := CrashesCodec.Encode(&Crashes{Forward: []string{"x:1"}, Digest: 7, Evidence: EncodeEvidence(evidence), WantReply: true})
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := CrashesCodec.Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.DecodeEvidence()).To(Equal(evidence))
	g.Expect(decoded.Forward).To(Equal([]string{"x:1"}))
	g.Expect(decoded.WantReply).To(BeTrue())
	g.Expect(CrashesCodec.Decode(data[:len(data)-3])).Error().To(HaveOccurred())
}
