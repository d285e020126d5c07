package membership

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/landingmast/landingmast/internal/codec"
	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

// newMeteredNode returns a node that serves exchanges over HTTP, its address, and the number of
// body bytes received and sent.
func newMeteredNode(t *testing.T, name string) (n *testNode, address string, bytes *atomic.Int64) {
	t.Helper()
	n = newTestNode(name, name)
	bytes = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bytes.Add(r.ContentLength)
		n.exchanger.ServeHTTP(countingWriter{w, bytes}, r)
	}))
	t.Cleanup(func() {
		n.peers.Transport.CloseIdleConnections()
		server.Close()
	})
	return n, strings.TrimPrefix(server.URL, "http://"), bytes
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c countingWriter) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return c.ResponseWriter.Write(data)
}

func addRecords(n *testNode, from, to int) {
	var records []wire.NodeRecord
	for i := from; i < to; i++ {
		records = append(records, wire.NodeRecord{
			Node: fmt.Sprintf("node-%d", i), Incarnation: fmt.Sprintf("incarnation-%d", i), Started: 1, Sequence: 1,
			Address: fmt.Sprintf("10.1.%d.%d:8003", i/250, i%250), Zone: "zone-a", Service: "service-a", Instance: fmt.Sprintf("i-%d", i), Slots: 20, Serving: true,
		})
	}
	n.membership.Merge(records)
}

// Guards against nodes sending all records when only a few differ: control traffic is limited to
// 4 KB per second and node.
func TestExchangeSendsOnlyDifferences(t *testing.T) {
	const others = 2000
	for _, tc := range []struct {
		name        string
		here, there [2]int // range of known records
		maxBytes    int64  // in both directions
	}{
		{"equal", [2]int{0, others}, [2]int{0, others}, 16 << 10},
		{"one more here", [2]int{0, others}, [2]int{1, others}, 16 << 10},
		{"one more there", [2]int{1, others}, [2]int{0, others}, 16 << 10},
		{"one more on both sides", [2]int{0, others - 1}, [2]int{1, others}, 24 << 10},
		{"nothing there", [2]int{0, others}, [2]int{0, 0}, 1 << 20},
		{"nothing here", [2]int{0, 0}, [2]int{0, others}, 1 << 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			here, _, _ := newMeteredNode(t, "here")
			there, address, bytes := newMeteredNode(t, "there")
			addRecords(here, tc.here[0], tc.here[1])
			addRecords(there, tc.there[0], tc.there[1])
			here.exchanger.Sync(context.Background(), address)
			t.Logf("%d bytes", bytes.Load())
			g.Expect(here.membership.digests()).To(Equal(there.membership.digests()))
			g.Expect(here.membership.PeerCount()).To(Equal(there.membership.PeerCount()))
			g.Expect(bytes.Load()).To(BeNumerically("<", tc.maxBytes))
		})
	}
}

// Guards against losing the records of a node of the previous release, which answers with all of
// its records and without bucket digests.
func TestExchangeWithOlderRelease(t *testing.T) {
	g := NewWithT(t)
	here, _, _ := newMeteredNode(t, "here")
	addRecords(here, 0, 10)
	old := codec.New[wire.Exchange](4<<20, wire.ExchangeSchemaV1)
	var received *wire.Exchange
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		received, _ = wire.ExchangeCodec.Decode(data)
		answer, _ := old.Encode(&wire.Exchange{Digest: 1, Version: 0, Records: []wire.NodeRecord{{Node: "old", Incarnation: "o", Address: "10.2.0.1:1", Started: 1}}})
		_, _ = w.Write(answer)
	}))
	defer server.Close()
	defer here.peers.Transport.CloseIdleConnections()
	here.exchanger.Sync(context.Background(), strings.TrimPrefix(server.URL, "http://"))
	g.Expect(here.membership.Incarnation("old")).To(Equal("o"))
	g.Expect(received).NotTo(BeNil())
}
