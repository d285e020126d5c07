package quarantine

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/core/crashes"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/headers"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

// singleNode implements Nodes without other nodes.
type singleNode struct{ first bool }

func (n singleNode) RanksFirst([]byte) bool { return n.first }

func (singleNode) Addresses() map[string][]string { return nil }

func (singleNode) RandomAddress() string { return "" }

// singleKeyStore is a store with one key. It implements only Put.
type singleKeyStore struct {
	store.Store
	item   store.Item
	writes int
}

func (s *singleKeyStore) Put(_ context.Context, write store.Write) (int64, error) {
	if *write.IfRevision != s.item.Revision {
		return 0, store.ErrConflict
	}
	s.writes++
	s.item = store.Item{Key: write.Key, Value: write.Value, Revision: s.item.Revision + 1}
	return s.item.Revision, nil
}

func newTestControl(nodes Nodes, fakeStore store.Store) *Control {
	began := time.Now()
	events := eventlog.New("me", io.Discard)
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "calls"}, []string{"call", "result"})
	return New(Options{
		Zone: "a", Enabled: func() bool { return true }, Now: func() time.Duration { return time.Since(began) },
		Nodes: nodes, Events: events, Store: fakeStore, Key: "ends", Health: storehealth.New(events, calls),
	})
}

func requestFor(uri, caller string) *Request {
	return &Request{Call: &wire.SidecarCall{Method: "GET", URI: uri, Host: "h", Caller: caller}, Body: &reply.Payload{}}
}

// crashTargets reports crashes of a number of targets, each with the request in flight.
func crashTargets(c *Control, r *Request, targets int, alone bool) {
	for target := range targets {
		c.RecordCrash(fmt.Sprint("i-", target), "s", []Run{{Fingerprint: r.Fingerprint(), Isolated: alone, Route: "r"}})
	}
}

func TestDecisionsByNumberOfCrashes(t *testing.T) {
	for _, tc := range []struct {
		name      string
		ends      int
		alone     bool
		first     bool // the node ranks first for the content
		suspected bool
		refused   bool // by CheckAtEntry
		trial     bool
		maySend   bool // if not marked as a trial
		held      int
	}{
		{"no crash", 0, true, true, false, false, false, true, 0},
		{"one crash", 1, true, true, true, false, false, true, 0},
		{"three crashes", 3, true, true, true, true, false, false, 1},
		{"three crashes with other suspects, first node", 3, false, true, true, false, true, false, 1},
		{"three crashes with other suspects, other node", 3, false, false, true, true, false, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newTestControl(singleNode{first: tc.first}, nil)
				r := requestFor("/a?q", "caller")
				crashTargets(c, r, tc.ends, tc.alone)
				g.Expect(c.IsSuspected(r)).To(Equal(tc.suspected))
				verdict := c.CheckAtEntry(r)
				g.Expect(verdict.Refused).To(Equal(tc.refused))
				g.Expect(verdict.EndTrial != nil).To(Equal(tc.trial))
				g.Expect(c.MaySend(r)).To(Equal(tc.maySend))
				g.Expect(c.Count()).To(Equal(tc.held))
				g.Expect(c.CheckAtEntry(requestFor("/b", "caller"))).To(Equal(Verdict{}), "different content")
			})
		})
	}
}

// Only the first-ranked node may send a doubtful request, one at a time, and a success clears it.
func TestDoubtfulRequestIsTriedByFirstNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		crashing, retried := requestFor("/a?q", "one"), requestFor("/a?q", "another")

		other := newTestControl(singleNode{}, nil)
		crashTargets(other, crashing, 3, false)
		g.Expect(other.CheckAtEntry(retried).EndTrial).To(BeNil())

		c := newTestControl(singleNode{first: true}, nil)
		crashTargets(c, crashing, 3, false)
		trial := c.CheckAtEntry(retried)
		g.Expect(trial.Refused).To(BeFalse())
		g.Expect(trial.EndTrial).NotTo(BeNil())
		g.Expect(c.CheckAtEntry(retried).EndTrial).To(BeNil(), "a trial is in flight")
		g.Expect(c.MaySend(retried)).To(BeFalse(), "not marked as a trial")
		retried.Call.Trial = true
		g.Expect(c.MaySend(retried)).To(BeTrue())
		trial.EndTrial()
		g.Expect(c.CheckAtEntry(retried).EndTrial).NotTo(BeNil())

		c.RecordSuccess(crashing)
		g.Expect(c.Count()).To(BeZero())
		g.Expect(c.CheckAtEntry(retried)).To(Equal(Verdict{}))
	})
}

func TestRecentSuccessPreventsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newTestControl(singleNode{first: true}, nil)
		r := requestFor("/a", "caller")
		c.RecordSuccess(r)
		crashTargets(c, r, 3, true)
		g.Expect(c.IsSuspected(r)).To(BeFalse())
		time.Sleep(recentTTL)
		crashTargets(c, r, 3, true)
		g.Expect(c.MaySend(r)).To(BeFalse())
	})
}

// Evidence must be saved in one write after saveDelay, and loaded by a node that starts.
func TestEvidenceIsSavedAndLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fakeStore := &singleKeyStore{}
		c := newTestControl(singleNode{first: true}, fakeStore)
		time.Sleep(time.Second)
		r := requestFor("/a", "caller")
		crashTargets(c, r, 3, true)
		for began := time.Now(); time.Since(began) < time.Second; time.Sleep(50 * time.Millisecond) {
			c.Save(t.Context())
			synctest.Wait()
			if time.Since(began) < saveDelay {
				g.Expect(fakeStore.writes).To(BeZero())
			}
		}
		g.Expect(fakeStore.writes).To(Equal(1))
		g.Expect(fakeStore.item.Key).To(Equal("ends"))

		started := newTestControl(singleNode{first: true}, fakeStore)
		started.ApplyStored(&fakeStore.item)
		g.Expect(started.MaySend(r)).To(BeFalse())
		g.Expect(started.stored.digest).To(Equal(crashes.DigestOf(c.ledger.Persistent())))
		started.ApplyStored(&store.Item{Key: "ends", Deleted: true})
		g.Expect(started.MaySend(r)).To(BeFalse(), "evidence must survive its deletion from the store")
	})
}

// silentNode implements Nodes with one other node, which does not respond.
type silentNode struct{ singleNode }

func (silentNode) Addresses() map[string][]string { return map[string][]string{"a": {"10.0.0.1:1"}} }

// A node must not answer the sender of a crash before its broadcast, and must answer though a node does
// not respond.
func TestAwaitBroadcastIsBounded(t *testing.T) {
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, tc := range []struct {
		name    string
		nodes   Nodes
		crashes int
		enabled bool
		want    time.Duration
	}{
		{"no crash", singleNode{}, 0, true, 0},
		{"no other node", singleNode{}, 1, true, crashBatchDelay},
		{"silent node", silentNode{}, 1, true, deliveryTimeout},
		{"mechanism disabled", silentNode{}, 1, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newTestControl(tc.nodes, nil)
				c.options.Peers = peer.NewClient(silent, headers.Names{})
				c.options.Enabled = func() bool { return tc.enabled }
				crashTargets(c, requestFor("/a", "caller"), tc.crashes, true)
				began := time.Now()
				c.AwaitBroadcast(t.Context())
				g.Expect(time.Since(began)).To(Equal(tc.want))
				time.Sleep(time.Second) // for the broadcast to be given up
			})
		})
	}
}
