package registration

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/units"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

// leases is a store that counts the calls for leases and records.
type leases struct {
	store.Store

	mutex   sync.Mutex
	items   []store.Item
	failing error // of Grant
	kept    map[int64]int
	gone    map[int64]bool
	granted int64
	written []store.Write
	revoked []int64
}

// List implements store.Store.
func (s *leases) List(context.Context, string) ([]store.Item, int64, error) { return s.items, 1, nil }

// Grant implements store.Store.
func (s *leases) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failing != nil {
		return store.Lease{}, s.failing
	}
	s.granted++
	return store.Lease{ID: s.granted, TTL: ttl}, nil
}

// Keep implements store.Store.
func (s *leases) Keep(_ context.Context, lease int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.gone[lease] {
		return store.ErrLeaseGone
	}
	s.kept[lease]++
	return nil
}

// Put implements store.Store.
func (s *leases) Put(_ context.Context, write store.Write) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.written = append(s.written, write)
	return int64(len(s.written)), nil
}

// Revoke implements store.Store.
func (s *leases) Revoke(_ context.Context, lease int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revoked = append(s.revoked, lease)
	return nil
}

// end ends a lease.
func (s *leases) end(lease int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gone[lease] = true
}

// records are those of a node that knows some others.
type records struct {
	put       []string
	outranked int
	changed   int
}

// LocalRecord implements Members.
func (r *records) LocalRecord() *wire.NodeRecord {
	return &wire.NodeRecord{Node: "me", Incarnation: "second"}
}

// Changed implements Members.
func (r *records) Changed() { r.changed++ }

// Supersede implements Members.
func (r *records) Supersede(*wire.NodeRecord) { r.outranked++ }

// Others implements Members.
func (r *records) Others() int { return len(r.put) }

// MergeStored implements Members.
func (r *records) MergeStored(record *wire.NodeRecord) { r.put = append(r.put, record.Node) }

// MarkStoreListed implements Members.
func (r *records) MarkStoreListed() {}

// Apply implements Members.
func (r *records) Apply() {}

// testNode is a registration with all that it calls.
type testNode struct {
	*Registration
	store   *leases
	records *records
	others  []string // keys that were listed besides the records
	met     int
	listed  int
	left    bool
}

func newTestNode(items ...store.Item) *testNode {
	events := eventlog.New("me", io.Discard)
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "calls"}, []string{"call", "result"})
	n := &testNode{store: &leases{items: items, kept: map[int64]int{}, gone: map[int64]bool{}}, records: &records{}}
	checked := &settings.Settings{Node: "me", Zone: "a"}
	checked.Listen.Inbound = "10.0.0.1:1"
	checked.Store.Lease = units.Duration(30 * time.Second)
	n.Registration = New(Options{
		Settings: func() *settings.Settings { return checked }, Store: n.store, Health: storehealth.New(events, calls),
		Probe:        func(context.Context) bool { return true },
		RecordPrefix: "p/", NodePrefix: "p/nodes/", Members: n.records,
		TakeOther:  func(item *store.Item) { n.others = append(n.others, item.Key) },
		Meet:       func(context.Context) { n.met++ },
		Listed:     func() { n.listed++ },
		TargetLeft: func() bool { return n.left },
	})
	return n
}

func item(t *testing.T, record wire.NodeRecord, lease int64) store.Item {
	t.Helper()
	value, err := wire.NodeRecordCodec.Encode(&record)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return store.Item{Key: "p/nodes/" + record.Node, Value: value, Lease: lease}
}

func TestLeaseOfTheProcessBeforeIsTakenOver(t *testing.T) {
	for _, tc := range []struct {
		name    string
		own     *wire.NodeRecord // in the store; nil: none
		over    bool             // its lease is
		written int
		renewed int // the lease that is renewed
	}{
		{"no record", nil, false, 1, 1},
		{"same address and zone", &wire.NodeRecord{Node: "me", Address: "10.0.0.1:1", Zone: "a"}, false, 0, 7},
		{"same, but the lease is over", &wire.NodeRecord{Node: "me", Address: "10.0.0.1:1", Zone: "a"}, true, 1, 1},
		{"another address", &wire.NodeRecord{Node: "me", Address: "10.0.0.2:1", Zone: "a"}, false, 1, 1},
		{"another zone", &wire.NodeRecord{Node: "me", Address: "10.0.0.1:1", Zone: "b"}, false, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				items := []store.Item{item(t, wire.NodeRecord{Node: "other"}, 3), {Key: "p/ends"}}
				if tc.own != nil {
					items = append(items, item(t, *tc.own, 7))
				}
				n := newTestNode(items...)
				n.store.gone[7] = tc.over
				ctx, cancel := context.WithCancel(t.Context())
				go n.Run(ctx)
				time.Sleep(31 * time.Second)
				cancel()
				synctest.Wait()
				g.Expect(n.records.put).To(Equal([]string{"other"}))
				g.Expect(n.others).To(Equal([]string{"p/ends"}))
				g.Expect([]int{n.met, n.listed}).To(Equal([]int{1, 1}))
				g.Expect(n.store.written).To(HaveLen(tc.written))
				g.Expect(n.store.kept[int64(tc.renewed)]).To(BeNumerically(">=", renewals))
			})
		})
	}
}

func TestRecordThatIsLostIsWrittenAnew(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(n *testNode)
		by   time.Duration // it is written again
	}{
		{"the store has no record", func(n *testNode) { n.Lost() }, time.Millisecond},
		{"the lease is over", func(n *testNode) { n.store.end(1) }, 10 * time.Second},
		{"the lease is over, as is found on waking", func(n *testNode) { n.store.end(1); n.RenewNow() }, time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newTestNode(item(t, wire.NodeRecord{Node: "other"}, 3))
				ctx, cancel := context.WithCancel(t.Context())
				go n.Run(ctx)
				time.Sleep(time.Second)
				synctest.Wait()
				g.Expect(n.store.written).To(HaveLen(1))
				tc.lose(n)
				time.Sleep(tc.by)
				synctest.Wait()
				g.Expect(n.store.written).To(HaveLen(2))
				g.Expect(n.store.written[1].Key).To(Equal("p/nodes/me"))
				g.Expect(n.records.changed).To(Equal(1))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// While the store does not serve the node it says so, and tries again after pauses.
func TestNodeThatTheStoreDoesNotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newTestNode(item(t, wire.NodeRecord{Node: "other"}, 3))
		n.store.failing = store.ErrUnavailable
		ctx, cancel := context.WithCancel(t.Context())
		go n.Run(ctx)
		time.Sleep(5 * time.Second)
		g.Expect(n.TurnedAway()).To(BeTrue())
		n.store.mutex.Lock()
		n.store.failing = nil
		n.store.mutex.Unlock()
		time.Sleep(retryLeast + retrySpread)
		synctest.Wait()
		g.Expect(n.TurnedAway()).To(BeFalse())
		g.Expect(n.store.written).To(HaveLen(1))
		cancel()
		synctest.Wait()
	})
}

func TestRecordIsWithdrawnWithTheTarget(t *testing.T) {
	for _, left := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestNode(item(t, wire.NodeRecord{Node: "other"}, 3))
			n.left = left
			n.Withdraw()
			g.Expect(n.store.revoked).To(BeEmpty(), "there is no lease yet")
			ctx, cancel := context.WithCancel(t.Context())
			go n.Run(ctx)
			time.Sleep(time.Second)
			cancel()
			synctest.Wait()
			n.Withdraw()
			g.Expect(len(n.store.revoked) == 1).To(Equal(left))
		})
	}
}
