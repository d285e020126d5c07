package heldback

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/core/crashes"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/reply"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

// noOthers is a node that knows no other one.
type noOthers struct{ first bool }

// IsFirstFor implements Nodes.
func (n noOthers) IsFirstFor([]byte) bool { return n.first }

// Addresses implements Nodes.
func (noOthers) Addresses() map[string][]string { return nil }

// AnyAddress implements Nodes.
func (noOthers) AnyAddress() string { return "" }

// oneKey is a store with one key; other calls than Put are not expected.
type oneKey struct {
	store.Store
	item   store.Item
	writes int
}

// Put implements store.Store.
func (s *oneKey) Put(_ context.Context, write store.Write) (int64, error) {
	if *write.IfRevision != s.item.Revision {
		return 0, store.ErrConflict
	}
	s.writes++
	s.item = store.Item{Key: write.Key, Value: write.Value, Revision: s.item.Revision + 1}
	return s.item.Revision, nil
}

func newTestControl(nodes Nodes, kept store.Store) *Control {
	began := time.Now()
	events := eventlog.New("me", io.Discard)
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "calls"}, []string{"call", "result"})
	return New(Options{
		Zone: "a", Enabled: func() bool { return true }, Now: func() time.Duration { return time.Since(began) },
		Nodes: nodes, Events: events, Store: kept, Key: "ends", Health: storehealth.New(events, calls),
	})
}

func requestFor(uri, caller string) *Request {
	return &Request{Call: &wire.SidecarCall{Method: "GET", URI: uri, Host: "h", Caller: caller}, Body: &reply.Payload{}}
}

// endTargets ends targets with a request at each.
func endTargets(c *Control, r *Request, targets int, alone bool) {
	for target := range targets {
		c.TargetEnded(fmt.Sprint("i-", target), "s", []Run{{Fingerprint: r.Fingerprint(), Alone: alone, Route: "r"}})
	}
}

func TestRequestIsHeldBackByWhatItEnded(t *testing.T) {
	for _, tc := range []struct {
		name      string
		ends      int
		alone     bool
		first     bool // the node is the first one for the content
		suspected bool
		refused   bool // where it begins
		trial     bool
		maySend   bool // to the target, but for a trial
		held      int
	}{
		{"no end", 0, true, true, false, false, false, true, 0},
		{"one end", 1, true, true, true, false, false, true, 0},
		{"three ends", 3, true, true, true, true, false, false, 1},
		{"three ends with other suspects, at the first node", 3, false, true, true, false, true, false, 1},
		{"three ends with other suspects, at another node", 3, false, false, true, true, false, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := newTestControl(noOthers{first: tc.first}, nil)
				r := requestFor("/a?q", "caller")
				endTargets(c, r, tc.ends, tc.alone)
				g.Expect(c.Suspected(r)).To(Equal(tc.suspected))
				verdict := c.AtStart(r)
				g.Expect(verdict.Refused).To(Equal(tc.refused))
				g.Expect(verdict.EndTrial != nil).To(Equal(tc.trial))
				g.Expect(c.MaySend(r)).To(Equal(tc.maySend))
				g.Expect(c.Count()).To(Equal(tc.held))
				g.Expect(c.AtStart(requestFor("/b", "caller"))).To(Equal(Verdict{}), "another content")
			})
		})
	}
}

// A doubtful request is sent by the first node for its content alone, one at a time, and its
// good end clears it.
func TestDoubtfulRequestIsTriedByOneNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ended, asked := requestFor("/a?q", "one"), requestFor("/a?q", "another")

		other := newTestControl(noOthers{}, nil)
		endTargets(other, ended, 3, false)
		g.Expect(other.AtStart(asked).EndTrial).To(BeNil())

		c := newTestControl(noOthers{first: true}, nil)
		endTargets(c, ended, 3, false)
		trial := c.AtStart(asked)
		g.Expect(trial.Refused).To(BeFalse())
		g.Expect(trial.EndTrial).NotTo(BeNil())
		g.Expect(c.AtStart(asked).EndTrial).To(BeNil(), "one is under way")
		g.Expect(c.MaySend(asked)).To(BeFalse(), "it is not marked as the trial")
		asked.Call.Trial = true
		g.Expect(c.MaySend(asked)).To(BeTrue())
		trial.EndTrial()
		g.Expect(c.AtStart(asked).EndTrial).NotTo(BeNil())

		c.EndedWell(ended)
		g.Expect(c.Count()).To(BeZero())
		g.Expect(c.AtStart(asked)).To(Equal(Verdict{}))
	})
}

func TestRequestThatEndedWellOfLateIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newTestControl(noOthers{first: true}, nil)
		r := requestFor("/a", "caller")
		c.EndedWell(r)
		endTargets(c, r, 3, true)
		g.Expect(c.Suspected(r)).To(BeFalse())
		time.Sleep(goodFor)
		endTargets(c, r, 3, true)
		g.Expect(c.MaySend(r)).To(BeFalse())
	})
}

// Evidence is written once, after it was gathered, and a node that starts reads it.
func TestEvidenceOutlivesTheNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kept := &oneKey{}
		c := newTestControl(noOthers{first: true}, kept)
		time.Sleep(time.Second)
		r := requestFor("/a", "caller")
		endTargets(c, r, 3, true)
		for began := time.Now(); time.Since(began) < time.Second; time.Sleep(50 * time.Millisecond) {
			c.Save(t.Context())
			synctest.Wait()
			if time.Since(began) < saveAfter {
				g.Expect(kept.writes).To(BeZero())
			}
		}
		g.Expect(kept.writes).To(Equal(1))
		g.Expect(kept.item.Key).To(Equal("ends"))

		started := newTestControl(noOthers{first: true}, kept)
		started.TakeStored(&kept.item)
		g.Expect(started.MaySend(r)).To(BeFalse())
		g.Expect(started.stored.digest).To(Equal(crashes.DigestOf(c.ledger.Lasting())))
		started.TakeStored(&store.Item{Key: "ends", Gone: true})
		g.Expect(started.MaySend(r)).To(BeFalse(), "what the store has lost the nodes still know")
	})
}
