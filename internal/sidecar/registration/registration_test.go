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

// fakeStore records the calls that concern leases and node records.
type fakeStore struct {
	store.Store

	mutex    sync.Mutex
	items    []store.Item
	grantErr error // returned by Grant
	renewals map[int64]int
	expired  map[int64]bool
	granted  int64
	written  []store.Write
	revoked  []int64
}

// List implements store.Store.
func (s *fakeStore) List(context.Context, string) ([]store.Item, int64, error) {
	return s.items, 1, nil
}

// Grant implements store.Store.
func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.grantErr != nil {
		return store.Lease{}, s.grantErr
	}
	s.granted++
	return store.Lease{ID: s.granted, TTL: ttl}, nil
}

// KeepAlive implements store.Store.
func (s *fakeStore) KeepAlive(_ context.Context, lease int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.expired[lease] {
		return store.ErrLeaseExpired
	}
	s.renewals[lease]++
	return nil
}

// Put implements store.Store.
func (s *fakeStore) Put(_ context.Context, write store.Write) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.written = append(s.written, write)
	return int64(len(s.written)), nil
}

// Revoke implements store.Store.
func (s *fakeStore) Revoke(_ context.Context, lease int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revoked = append(s.revoked, lease)
	return nil
}

// expire marks a lease as expired.
func (s *fakeStore) expire(lease int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expired[lease] = true
}

// fakeMembers records the calls of Members. It knows the nodes whose records were merged.
type fakeMembers struct {
	merged     []string
	superseded int
	changed    int
}

// LocalRecord implements Members.
func (m *fakeMembers) LocalRecord() *wire.NodeRecord {
	return &wire.NodeRecord{Node: "me", Incarnation: "second"}
}

// AnnounceLocalRecord implements Members.
func (m *fakeMembers) AnnounceLocalRecord() { m.changed++ }

// Supersede implements Members.
func (m *fakeMembers) Supersede(*wire.NodeRecord) { m.superseded++ }

// PeerCount implements Members.
func (m *fakeMembers) PeerCount() int { return len(m.merged) }

// MergeStored implements Members.
func (m *fakeMembers) MergeStored(record *wire.NodeRecord) { m.merged = append(m.merged, record.Node) }

// MarkStoreListed implements Members.
func (m *fakeMembers) MarkStoreListed() {}

// Apply implements Members.
func (m *fakeMembers) Apply() {}

// testNode is a Registration with fake dependencies.
type testNode struct {
	*Registration
	store       *fakeStore
	members     *fakeMembers
	otherKeys   []string // keys of listed items that are not node records
	meetCalls   int
	listedCalls int
	targetLeft  bool
}

func newTestNode(items ...store.Item) *testNode {
	events := eventlog.New("me", io.Discard)
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "calls"}, []string{"call", "result"})
	n := &testNode{store: &fakeStore{items: items, renewals: map[int64]int{}, expired: map[int64]bool{}}, members: &fakeMembers{}}
	checked := &settings.Settings{Node: "me", Zone: "a"}
	checked.Listen.Inbound = "10.0.0.1:1"
	checked.Store.Lease = units.Duration(30 * time.Second)
	n.Registration = New(Options{
		Settings: func() *settings.Settings { return checked }, Store: n.store, Health: storehealth.New(events, calls),
		Probe:        func(context.Context) bool { return true },
		RecordPrefix: "p/", NodePrefix: "p/nodes/", Members: n.members,
		ApplyOther:    func(item *store.Item) { n.otherKeys = append(n.otherKeys, item.Key) },
		SyncWithPeers: func(context.Context) { n.meetCalls++ },
		OnListed:      func() { n.listedCalls++ },
		TargetLeft:    func() bool { return n.targetLeft },
	})
	return n
}

func recordItem(t *testing.T, record wire.NodeRecord, lease int64) store.Item {
	t.Helper()
	value, err := wire.NodeRecordCodec.Encode(&record)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return store.Item{Key: "p/nodes/" + record.Node, Value: value, Lease: lease}
}

func TestLeaseOfPreviousProcessIsAdopted(t *testing.T) {
	for _, tc := range []struct {
		name    string
		own     *wire.NodeRecord // record in the store; nil if there is none
		expired bool             // the lease of own
		written int
		renewed int // ID of the renewed lease
	}{
		{"no record", nil, false, 1, 1},
		{"same address and zone", &wire.NodeRecord{Node: "me", Address: "10.0.0.1:1", Zone: "a"}, false, 0, 7},
		{"same, lease expired", &wire.NodeRecord{Node: "me", Address: "10.0.0.1:1", Zone: "a"}, true, 1, 1},
		{"another address", &wire.NodeRecord{Node: "me", Address: "10.0.0.2:1", Zone: "a"}, false, 1, 1},
		{"another zone", &wire.NodeRecord{Node: "me", Address: "10.0.0.1:1", Zone: "b"}, false, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				items := []store.Item{recordItem(t, wire.NodeRecord{Node: "other"}, 3), {Key: "p/ends"}}
				if tc.own != nil {
					items = append(items, recordItem(t, *tc.own, 7))
				}
				n := newTestNode(items...)
				n.store.expired[7] = tc.expired
				ctx, cancel := context.WithCancel(t.Context())
				go n.Run(ctx)
				time.Sleep(31 * time.Second)
				cancel()
				synctest.Wait()
				g.Expect(n.members.merged).To(Equal([]string{"other"}))
				g.Expect(n.otherKeys).To(Equal([]string{"p/ends"}))
				g.Expect([]int{n.meetCalls, n.listedCalls}).To(Equal([]int{1, 1}))
				g.Expect(n.store.written).To(HaveLen(tc.written))
				g.Expect(n.store.renewals[int64(tc.renewed)]).To(BeNumerically(">=", renewalsPerTTL))
			})
		})
	}
}

func TestLostRecordIsRewritten(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(n *testNode)
		wait time.Duration // until the record is rewritten
	}{
		{"the store has no record", func(n *testNode) { n.MarkLost() }, time.Millisecond},
		{"the lease has expired", func(n *testNode) { n.store.expire(1) }, 10 * time.Second},
		{"RenewNow finds the lease expired", func(n *testNode) { n.store.expire(1); n.RenewNow() }, time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newTestNode(recordItem(t, wire.NodeRecord{Node: "other"}, 3))
				ctx, cancel := context.WithCancel(t.Context())
				go n.Run(ctx)
				time.Sleep(time.Second)
				synctest.Wait()
				g.Expect(n.store.written).To(HaveLen(1))
				tc.lose(n)
				time.Sleep(tc.wait)
				synctest.Wait()
				g.Expect(n.store.written).To(HaveLen(2))
				g.Expect(n.store.written[1].Key).To(Equal("p/nodes/me"))
				g.Expect(n.members.changed).To(Equal(1))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a node that does not report an outage of the store or does not recover from it.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newTestNode(recordItem(t, wire.NodeRecord{Node: "other"}, 3))
		n.store.grantErr = store.ErrUnavailable
		ctx, cancel := context.WithCancel(t.Context())
		go n.Run(ctx)
		time.Sleep(5 * time.Second)
		g.Expect(n.StoreUnreachable()).To(BeTrue())
		n.store.mutex.Lock()
		n.store.grantErr = nil
		n.store.mutex.Unlock()
		time.Sleep(retryMinDelay + retryJitter)
		synctest.Wait()
		g.Expect(n.StoreUnreachable()).To(BeFalse())
		g.Expect(n.store.written).To(HaveLen(1))
		cancel()
		synctest.Wait()
	})
}

func TestRecordIsWithdrawnWithTarget(t *testing.T) {
	for _, left := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestNode(recordItem(t, wire.NodeRecord{Node: "other"}, 3))
			n.targetLeft = left
			n.Deregister()
			g.Expect(n.store.revoked).To(BeEmpty(), "no lease is held yet")
			ctx, cancel := context.WithCancel(t.Context())
			go n.Run(ctx)
			time.Sleep(time.Second)
			cancel()
			synctest.Wait()
			n.Deregister()
			g.Expect(len(n.store.revoked) == 1).To(Equal(left))
		})
	}
}
