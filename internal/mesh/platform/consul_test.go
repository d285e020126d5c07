package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
	"github.com/landingmast/landingmast/internal/mesh/platform"
	. "github.com/onsi/gomega"
)

func newStore(t *testing.T) (*standin.Platform, platform.Store) {
	service := standin.NewPlatform()
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return service, platform.NewConsul(server.Listener.Addr().String(), time.Second)
}

func TestCompareAndSwap(t *testing.T) {
	g := NewWithT(t)
	_, store := newStore(t)
	ctx := context.Background()
	entry, err := store.Get(ctx, "landingmast/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entry.Index).To(BeZero())
	g.Expect(store.CompareAndSwap(ctx, "landingmast/m/x", []byte("one"), 0)).To(BeTrue())
	g.Expect(store.CompareAndSwap(ctx, "landingmast/m/x", []byte("two"), 0)).To(BeFalse())
	entry, err = store.Get(ctx, "landingmast/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(entry.Value)).To(Equal("one"))
	g.Expect(store.CompareAndSwap(ctx, "landingmast/m/x", []byte("two"), entry.Index)).To(BeTrue())
}

func TestErrorKinds(t *testing.T) {
	g := NewWithT(t)
	service, store := newStore(t)
	ctx := context.Background()
	service.SetFaults(standin.Faults{DropResponses: true})
	_, err := store.CompareAndSwap(ctx, "k", []byte("one"), 0)
	g.Expect(failure.Is(err, failure.Uncertain)).To(BeTrue())
	service.SetFaults(standin.Faults{})
	entry, err := store.Get(ctx, "k")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(entry.Value)).To(Equal("one")) // the write took effect although its response was lost

	service.SetFaults(standin.Faults{Down: true})
	_, err = store.Get(ctx, "k")
	g.Expect(failure.Is(err, failure.Unavailable)).To(BeTrue())

	service.SetFaults(standin.Faults{RateLimit: 0.001})
	_, err = store.CompareAndSwap(ctx, "k", []byte("two"), entry.Index)
	g.Expect(failure.Is(err, failure.RateLimited)).To(BeTrue())
}

func TestMachines(t *testing.T) {
	g := NewWithT(t)
	service, store := newStore(t)
	service.SetMachine("n-1", "live")
	service.SetMachine("n-2", "leaving")
	machines, index, err := store.Machines(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(index).To(BeNumerically(">", 1))
	g.Expect(machines).To(ConsistOf(platform.Machine{Node: "n-1"}, platform.Machine{Node: "n-2", Leaving: true}))
	service.SetFaults(standin.Faults{CatalogLag: time.Hour})
	machines, _, err = store.Machines(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(machines).To(BeEmpty())
}

func TestDecodeReleaseRecordRejectsMalformedData(t *testing.T) {
	g := NewWithT(t)
	for _, data := range [][]byte{nil, []byte("{}"), {0x1f, 0x8b, 0, 0}} {
		_, err := platform.DecodeReleaseRecord(data)
		g.Expect(failure.Is(err, failure.BadInput)).To(BeTrue())
	}
}
