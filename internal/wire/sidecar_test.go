package wire

import (
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/codec"
	. "github.com/onsi/gomega"
)

func TestSidecarMessagesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	record := NodeRecord{Node: "n", Incarnation: "i", Sequence: 3, Started: 9, Address: "10.1.0.1:8003", Zone: "a", Service: "s", Instance: "x", Slots: 4, Serving: true}
	news := &Broadcast{
		From: "10.1.0.2:8003", Forward: []string{"10.1.0.3:8003"}, Version: 7, Records: []NodeRecord{record}, Heartbeat: true, Follower: "f", StoreReachable: true,
		Missing: []string{"m"}, Removed: []NodeRecord{record},
	}
	data, err := BroadcastCodec.Encode(news)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(BroadcastCodec.Decode(data)).To(Equal(news))

	head, err := PongCodec.EncodeHeader(&Pong{Node: "n", StoreUnreachable: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(PongCodec.DecodeHeader(head)).To(Equal(&Pong{Node: "n", StoreUnreachable: true}))

	withdrawal := &Withdrawal{Node: "n", MaxWait: 2_000_000, Calls: true}
	data, err = WithdrawalCodec.Encode(withdrawal)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(WithdrawalCodec.Decode(data)).To(Equal(withdrawal))

	waits := &Waits{Services: []ServiceWait{{Service: "s", Wait: 1500}}}
	head, err = WaitsCodec.EncodeHeader(waits)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(WaitsCodec.DecodeHeader(head)).To(Equal(waits))
}

// Messages written with an older schema are accepted and have no sender.
func TestExchangeCodecReadsOlderSchemas(t *testing.T) {
	for _, tc := range []struct{ name, schema string }{{"first release", ExchangeSchemaV1}, {"previous release", ExchangeSchemaV2}} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			data, err := codec.New[Exchange](MaxMessage, tc.schema).Encode(&Exchange{Digest: 4, Version: 2, From: "lost"})
			g.Expect(err).NotTo(HaveOccurred())
			read, err := ExchangeCodec.Decode(data)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read.Version).To(Equal(int64(2)))
			g.Expect(read.From).To(BeEmpty())
		})
	}
}

// A wait inside the result would make it unreadable to nodes of the previous release.
func TestSidecarResultOmitsWait(t *testing.T) {
	g := NewWithT(t)
	head, err := SidecarResultCodec.EncodeHeader(&SidecarResult{Outcome: "answered", Downstream: []Need{{Service: "s", Calls: 1, Wait: time.Second}}})
	g.Expect(err).NotTo(HaveOccurred())
	read, err := SidecarResultCodec.DecodeHeader(head)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Downstream[0].Wait).To(BeZero())
}

func FuzzDecodeMessages(f *testing.F) {
	for _, seed := range [][]byte{nil, {1, 2, 3}, []byte("0123456789abcdef")} {
		f.Add(seed)
	}
	data, _ := BroadcastCodec.Encode(&Broadcast{From: "10.1.0.2:8003"})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = BroadcastCodec.Decode(data)
		_, _ = WaitsCodec.Decode(data)
		_, _ = PongCodec.Decode(data)
		_, _ = CrashesCodec.Decode(data)
	})
}
