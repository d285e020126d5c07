package membership

import (
	"fmt"
	"testing"

	"github.com/landingmast/landingmast/internal/wire"
)

// benchmarkNodes is the number of nodes in the benchmarks.
const benchmarkNodes = 84

func newBenchmarkNode() *testNode {
	n := newTestNode("node-0", "incarnation-0")
	records := make([]wire.NodeRecord, 0, benchmarkNodes)
	for i := 1; i < benchmarkNodes; i++ {
		records = append(records, wire.NodeRecord{
			Node: fmt.Sprintf("node-%d", i), Incarnation: fmt.Sprintf("incarnation-%d", i), Address: fmt.Sprintf("10.0.0.%d:8000", i), Zone: fmt.Sprintf("zone-%d", i%3),
			Service: "results", Instance: fmt.Sprintf("instance-%d", i), Slots: 50, Serving: true, Sequence: 3,
		})
	}
	n.membership.Merge(records)
	return n
}

// BenchmarkExchangeMessage measures the first message of an exchange among nodes that agree.
func BenchmarkExchangeMessage(b *testing.B) {
	n := newBenchmarkNode()
	b.ReportAllocs()
	for b.Loop() {
		n.exchanger.newMessage()
	}
}

// BenchmarkBroadcast measures the addresses and messages of a broadcast to all nodes.
func BenchmarkBroadcast(b *testing.B) {
	n := newBenchmarkNode()
	message := &wire.Broadcast{Records: []wire.NodeRecord{*n.membership.LocalRecord()}}
	b.ReportAllocs()
	for b.Loop() {
		for _, addresses := range n.membership.Addresses() {
			message.Forward = addresses
			if _, err := wire.BroadcastCodec.Encode(message); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkMerge measures a broadcast of the record of another node that changed.
func BenchmarkMerge(b *testing.B) {
	n := newBenchmarkNode()
	record := *n.membership.Record("node-7")
	b.ReportAllocs()
	for b.Loop() {
		record.Sequence++
		n.membership.Merge([]wire.NodeRecord{record})
	}
}
