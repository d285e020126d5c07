package reply

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/landingmast/landingmast/internal/core/slots"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

func TestReadBuffered(t *testing.T) {
	broken := errors.New("broken")
	long := strings.Repeat("x", MaxBuffered+10)
	for _, tc := range []struct {
		name   string
		source io.Reader
		length int64
		data   string
		rest   string
		err    error
	}{
		{"known length", strings.NewReader("whole"), 5, "whole", "", nil},
		{"unknown length", strings.NewReader("whole"), -1, "whole", "", nil},
		{"empty", strings.NewReader(""), 0, "", "", nil},
		{"length without a body", strings.NewReader(""), 5, "", "", nil},
		{"read error", io.MultiReader(strings.NewReader("wh"), iotest.ErrReader(broken)), 5, "wh", "", broken},
		{"read error on the first byte", iotest.ErrReader(broken), 5, "", "", broken},
		{"truncated", strings.NewReader("wh"), 5, "wh", "", io.ErrUnexpectedEOF},
		{"read error after the last byte", io.MultiReader(strings.NewReader("whole"), iotest.ErrReader(broken)), 5, "whole", "", broken},
		{"long", strings.NewReader(long), int64(len(long)), "", long, nil},
		{"long, unknown length", strings.NewReader(long), -1, "", long, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			data, rest, err := ReadBuffered(tc.source, tc.length)
			if tc.err != nil {
				g.Expect(err).To(MatchError(tc.err))
				g.Expect(string(data)).To(Equal(tc.data))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			if tc.rest == "" {
				g.Expect(rest).To(BeNil())
				g.Expect(string(data)).To(Equal(tc.data))
				return
			}
			all, err := io.ReadAll(rest)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(all)).To(Equal(tc.rest))
		})
	}
}

func TestServiceTimeExcludesWaits(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reply Reply
		want  time.Duration
	}{
		{"no wait", Reply{}, 400 * time.Millisecond},
		{"own wait", Reply{Waited: 100 * time.Millisecond}, 300 * time.Millisecond},
		{"waits of calls", Reply{Needs: []wire.Need{{Calls: 4, Wait: 50 * time.Millisecond}}}, 200 * time.Millisecond},
		{"waits of parallel calls", Reply{Needs: []wire.Need{{Calls: 8, Wait: 50 * time.Millisecond}}}, 100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(tc.reply.ServiceTime(400 * time.Millisecond)).To(Equal(tc.want))
		})
	}
}

// transmit returns the reply as its receiver decodes it, sharing nothing with the one sent.
func transmit(t *testing.T, sent *Reply) *Reply {
	t.Helper()
	g := NewWithT(t)
	head, err := wire.SidecarResultCodec.EncodeHeader(sent.Result())
	g.Expect(err).NotTo(HaveOccurred())
	result, err := wire.SidecarResultCodec.DecodeHeader(head)
	g.Expect(err).NotTo(HaveOccurred())
	received := FromResult(result)
	received.SetUsage(EncodeUsage(sent))
	return received
}

// Slot times and offered loads must survive the way to the sender, where a price is made of them.
func TestUsageIsEncodedWithTheResult(t *testing.T) {
	g := NewWithT(t)
	sent := &Reply{
		SlotTime: 40 * time.Millisecond, Load: slots.Load{Slots: 9, Offered: 1.25},
		Needs: []wire.Need{{Service: "deep", Calls: 4, SlotTime: 220 * time.Millisecond, Offered: 0.5}, {Service: "old", Calls: 1}},
	}
	received := transmit(t, sent)
	g.Expect(received.SlotTime).To(Equal(sent.SlotTime))
	g.Expect(received.Load.Offered).To(Equal(1.25))
	g.Expect(received.Needs[0].SlotTime).To(Equal(220 * time.Millisecond))
	g.Expect(received.Needs[0].Offered).To(Equal(0.5))
	g.Expect(received.Needs[1].Offered).To(BeZero(), "a service whose nodes report nothing")
}

// A load below a thousandth must not become 0, or the slot time of calls to idle targets is lost.
func TestUsageOfIdleTargetsIsEncoded(t *testing.T) {
	g := NewWithT(t)
	sent := &Reply{Needs: []wire.Need{{Service: "deep", Calls: 1, SlotTime: 10 * time.Millisecond, Offered: 0.0002}}}
	received := transmit(t, sent)
	g.Expect(received.Needs[0].SlotTime).To(Equal(10 * time.Millisecond))
	g.Expect(received.Needs[0].Offered).To(BeNumerically(">", 0))
}

// Nodes of the previous release send no usage, and what cannot be read must not become a load.
func TestInvalidUsageIsIgnored(t *testing.T) {
	negative, err := wire.UsageCodec.EncodeHeader(&wire.Usage{Services: []wire.ServiceUsage{{SlotTime: -1, Offered: 1000}, {Service: "deep", SlotTime: 1, Offered: -5}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, head := range []string{"", "not Avro", negative} {
		g := NewWithT(t)
		received := &Reply{Needs: []wire.Need{{Service: "deep", Calls: 1}}}
		received.SetUsage(head)
		g.Expect(received.Load.Offered).To(BeZero())
		g.Expect(received.Needs[0].Offered).To(BeZero())
	}
	NewWithT(t).Expect(EncodeUsage(&Reply{})).To(BeEmpty())
}

// What a tenant asks for relative to its share must survive the way to the start of the chain, also if it
// is little; 0 stays unknown.
func TestTenantLoadIsEncodedWithTheResult(t *testing.T) {
	g := NewWithT(t)
	sent := &Reply{
		TenantLoad: 2.5, Load: slots.Load{Slots: 9, Offered: 1.25},
		Needs: []wire.Need{{Service: "deep", Calls: 4, Offered: 0.5, TenantLoad: 0.0001}, {Service: "files", Calls: 1, Offered: 0.5}},
	}
	received := transmit(t, sent)
	g.Expect(received.TenantLoad).To(Equal(2.5))
	g.Expect(received.Needs[0].TenantLoad).To(Equal(0.001))
	g.Expect(received.Needs[1].TenantLoad).To(BeZero())
}
