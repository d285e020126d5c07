package fleet

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/quotas"
	"github.com/landingmast/landingmast/internal/testbed"
	"github.com/landingmast/landingmast/internal/wire"
	"github.com/landingmast/landingmast/platform"
	. "github.com/onsi/gomega"
)

// oddValues returns values that no node writes, or that lie, made from a valid one.
func oddValues(valid []byte) [][]byte {
	values := [][]byte{
		nil,
		{0},
		[]byte("{}"), []byte("null"),
		[]byte(strings.Repeat("[", 20_000)), []byte(`{"address":"127.0.0.1:99999","slots":1e999}`),
		bytes.Repeat([]byte{0xff}, 1000),
		append(bytes.Clone(valid[:8]), bytes.Repeat([]byte{0xff}, 1000)...), // lengths that are too large
		append(bytes.Clone(valid[:8]), 0xfe, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01),
		append(bytes.Clone(valid), valid...),
	}
	for cut := 0; cut < len(valid); cut += 1 + len(valid)/8 {
		values = append(values, valid[:cut])
		changed := bytes.Clone(valid)
		changed[cut] ^= 0x55
		values = append(values, changed)
	}
	return values
}

// oddEntries returns the values of the keys of another writer, which writes into all folders of the nodes.
func oddEntries(g *WithT, machine *testbed.Machine) map[string][]byte {
	entries := map[string][]byte{}
	add := func(prefix string, valid []byte) {
		for index, value := range oddValues(valid) {
			entries[fmt.Sprintf("%sodd-%d", prefix, index)] = value
		}
	}
	encoded := func(data []byte, err error) []byte {
		g.Expect(err).NotTo(HaveOccurred())
		return data
	}
	record := wire.NodeRecord{Node: "node-odd", Incarnation: "i", Sequence: 1, Address: "10.9.9.9:1", Zone: "a", Service: machine.Target.Service, Instance: "i-odd", Slots: 10, Serving: true}
	add(platform.NodePrefix, encoded(wire.NodeRecordCodec.Encode(&record)))
	add(platform.DeparturePrefix, encoded(wire.DeparturesCodec.Encode(&wire.Departures{Instances: []string{"i-odd"}})))
	keeper := wire.KeeperRecord{Node: "node-odd", Incarnation: "i", Address: "10.9.9.9:1", Part: 1}
	add(platform.QuotaPrefix, encoded(wire.KeeperRecordCodec.Encode(&keeper)))
	add(platform.RecordPrefix, encoded(wire.CrashesCodec.Encode(&wire.Crashes{})))
	for index, change := range []func(r *wire.NodeRecord){
		func(r *wire.NodeRecord) { r.Address = "10.9.9.9:99999" },
		func(r *wire.NodeRecord) { r.Address = "10.9.9.9:-1" },
		func(r *wire.NodeRecord) { r.Address = "" },
		func(r *wire.NodeRecord) { r.Address = strings.Repeat("[", 1000) },
		func(r *wire.NodeRecord) { r.Slots = math.MaxInt32 },
		func(r *wire.NodeRecord) { r.Slots = -1 },
		func(r *wire.NodeRecord) {
			r.Started, r.Sequence, r.WarmupRemaining = math.MaxInt64, math.MaxInt64, math.MaxInt64
		},
		func(r *wire.NodeRecord) {
			r.Started, r.Sequence, r.WarmupRemaining = math.MinInt64, math.MinInt64, math.MinInt64
		},
		func(r *wire.NodeRecord) { r.Zone = "nowhere" },
		func(r *wire.NodeRecord) { r.Node = "" },
		func(r *wire.NodeRecord) { r.Node = strings.Repeat("n", 1000) },
	} {
		lying := record
		lying.Node = fmt.Sprintf("node-lying-%d", index)
		change(&lying)
		entries[fmt.Sprintf("%slying-%d", platform.NodePrefix, index)] = encoded(wire.NodeRecordCodec.Encode(&lying))
	}
	for shard := range quotas.Shards { // the keys of the keepers themselves
		entries[fmt.Sprintf("%s%d", platform.QuotaPrefix, shard)] = oddValues(encoded(wire.KeeperRecordCodec.Encode(&keeper)))[shard+4]
	}
	entries[platform.CrashesKey] = []byte(strings.Repeat("[", 20_000))
	return entries
}

// Guards against entries of another writer among those of the nodes, after which nodes end or no longer follow
// the store.
func TestOddEntriesDoNotStopTheNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		plan := largePlan(20)
		for index := range plan.Routes {
			plan.Routes[index].RequestsPerSecond = 50
		}
		mesh, err := testbed.New(plan)
		g.Expect(err).NotTo(HaveOccurred())
		defer mesh.Close()
		time.Sleep(testbed.StartupTime)
		load := make(chan struct{})
		go func() { defer close(load); mesh.Load(20 * time.Second) }()
		for key, value := range oddEntries(g, mesh.Machines[0]) {
			mesh.Store.Write(key, value)
		}
		inForce := func(when string) {
			version := mesh.Configure(nil)
			time.Sleep(applyBound)
			for _, machine := range mesh.Machines {
				g.Expect(machine.Version()).To(Equal(uint64(version)), "%s: %s", when, machine.IP)
				g.Expect(machine.Ready()).To(BeTrue(), "%s: %s", when, machine.IP)
			}
		}
		inForce("after the entries")
		restarted := mesh.RandomMachines(rand.New(rand.NewPCG(1, 2)), 0.3)
		testbed.KillAndRestart(restarted)
		time.Sleep(2 * time.Second)
		inForce("after restarts")
		mesh.Store.Compact() // all followers list the entries again
		inForce("after a compaction")
		<-load
		g.Expect(mesh.Judge.Violations()).To(BeEmpty())
		t.Logf("answers %v", mesh.Tally.Status)
		for _, route := range plan.Routes {
			g.Expect(mesh.Tally.Share(route.Prefix)).To(BeNumerically(">", 0.97), route.Prefix)
		}
	})
}
