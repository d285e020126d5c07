package capacity

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/core/dissemination"
	"github.com/landingmast/landingmast/internal/lab/virtualtime"
	"github.com/landingmast/landingmast/internal/wire"
)

func median(values []float64) float64 {
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[len(sorted)/2]
}

// Overhead of messages on the wire, as MeasureWire reads it off real nodes.
type Overhead struct {
	Tell      float64 // bytes of one version message and its answer, headers and TLS included
	Handshake float64 // bytes of a new connection
}

// hollow is a node that has only its dissemination state.
type hollow struct {
	name   string
	region int
	state  *dissemination.State
}

// network runs hollow nodes in virtual time. Messages are encoded with the real
// codec, take the delay of their way and are lost now and then.
type network struct {
	random   *rand.Rand
	nodes    []*hollow
	byName   map[string]*hollow
	clock    virtualtime.Clock
	platform int64
	parted   func(a, b int) bool // regions that cannot talk now
	cutOff   map[int]bool        // regions that cannot reach the platform
	sentTell int
	bytes    int // of encoded messages and documents, both ways, without headers
	fetches  int
	reads    int
	delta    int
}

const (
	hollowTick    = 75 * time.Millisecond
	regionDelay   = 40 * time.Millisecond // one way, between regions
	zoneDelay     = time.Millisecond
	lossShare     = 0.01
	regions       = 8
	platformDelay = 10 * time.Millisecond
)

func newNetwork(nodes int, seed uint64, deltaBytes int) *network {
	n := &network{
		random: rand.New(rand.NewPCG(seed, 11)), byName: map[string]*hollow{}, parted: func(int, int) bool { return false },
		cutOff: map[int]bool{}, delta: deltaBytes,
	}
	names := make([]string, nodes)
	for index := range names {
		names[index] = fmt.Sprintf("service-%d-%d", index/targetsPerService, index%targetsPerService)
	}
	for index, name := range names {
		node := &hollow{name: name, region: index % regions, state: dissemination.New(dissemination.DefaultConfig(), n.random)}
		node.state.SetPeers(names) // oneself among thousands changes nothing
		n.nodes = append(n.nodes, node)
		n.byName[name] = node
	}
	for _, node := range n.nodes {
		n.clock.After(time.Duration(n.random.Int64N(int64(hollowTick))), func() { n.tick(node) })
	}
	return n
}

func (n *network) tick(node *hollow) {
	n.do(node, node.state.Tick(n.clock.Now()))
	n.clock.After(hollowTick, func() { n.tick(node) })
}

func (n *network) do(node *hollow, actions []dissemination.Action) {
	for _, action := range actions {
		switch action.Kind {
		case dissemination.ReadPlatform:
			n.readPlatform(node)
		case dissemination.Tell:
			n.tell(node, n.byName[action.Peer], action.Version)
		case dissemination.Fetch:
			n.fetch(node, n.byName[action.Peer])
		}
	}
}

func (n *network) readPlatform(node *hollow) {
	if n.cutOff[node.region] {
		return
	}
	n.reads++
	version := n.platform
	n.clock.After(2*platformDelay, func() { node.state.Installed(n.clock.Now(), version) })
}

// reach gives the delay between two nodes; false when the message is lost.
func (n *network) reach(from, to *hollow) (time.Duration, bool) {
	if n.parted(from.region, to.region) || n.random.Float64() < lossShare {
		return 0, false
	}
	if from.region != to.region {
		return regionDelay, true
	}
	return zoneDelay, true
}

func (n *network) tell(from, to *hollow, version int64) {
	if from == to {
		return
	}
	n.sentTell++
	n.bytes += encodedTell(from.name, version) + encodedTell(to.name, version)
	delay, ok := n.reach(from, to)
	if !ok {
		return
	}
	n.clock.After(delay, func() {
		answer := to.state.Version()
		if version > answer {
			n.do(to, to.state.Heard(n.clock.Now(), from.name, version))
		}
		n.clock.After(delay, func() { n.do(from, from.state.Heard(n.clock.Now(), to.name, answer)) })
	})
}

func (n *network) fetch(node, from *hollow) {
	n.fetches++
	n.bytes += n.delta
	delay, ok := n.reach(node, from)
	if !ok {
		return
	}
	n.clock.After(2*delay, func() { node.state.Installed(n.clock.Now(), from.state.Version()) })
}

func encodedTell(name string, version int64) int {
	data, err := wire.TellCodec.Encode(&wire.Tell{From: name, Incarnation: "1a2b3c4d5e6f7", Topic: wire.TopicBundle, Version: version})
	if err != nil {
		panic(err)
	}
	return len(data)
}

// spreadTime rolls a version and gives the time until every node that can hear
// of it has it, or the limit.
func (n *network) spreadTime(counts func(*hollow) bool, limit time.Duration) time.Duration {
	n.platform++
	began := n.clock.Now()
	for n.clock.Now()-began < limit {
		n.clock.Run(n.clock.Now() + 50*time.Millisecond)
		behind := false
		for _, node := range n.nodes {
			if counts(node) && node.state.Version() != n.platform {
				behind = true
				break
			}
		}
		if !behind {
			return n.clock.Now() - began
		}
	}
	return limit
}

func everyone(*hollow) bool { return true }

const (
	warmUp     = 20 * time.Second
	changes    = 12
	spreadStop = 60 * time.Second
	betweenTwo = 2 * time.Second
)

// Spread is how changes reach hollow nodes.
type Spread struct {
	Nodes          int
	Median, Worst  time.Duration // until a change is everywhere
	TellsPerNode   float64       // a second, at 19,000 changes a day
	QuietTells     float64       // a second, without changes
	TellsPerChange float64       // for each node
	BytesPerChange float64       // of encoded messages, for each node
	Reads          float64       // of the platform, a second, of all nodes
	HealedAfter    time.Duration // for the part that was cut off, after regions meet again
}

// changesPerSecond is 19,000 a day.
const changesPerSecond = 19000.0 / 86400

// Disseminate measures the spread of changes over hollow nodes.
func Disseminate(nodes int, deltaBytes int) Spread {
	n := newNetwork(nodes, uint64(nodes), deltaBytes)
	n.platform = 1
	n.clock.Run(warmUp)
	began, tells, reads := n.clock.Now(), n.sentTell, n.reads
	n.clock.Run(n.clock.Now() + warmUp)
	quiet := n.clock.Now() - began
	result := Spread{Nodes: nodes}
	result.QuietTells = float64(n.sentTell-tells) / quiet.Seconds() / float64(nodes)
	result.Reads = float64(n.reads-reads) / quiet.Seconds()
	var times []float64
	began, tells = n.clock.Now(), n.sentTell
	bytes := n.bytes
	for range changes {
		times = append(times, float64(n.spreadTime(everyone, spreadStop)))
		n.clock.Run(n.clock.Now() + betweenTwo)
	}
	busy := n.clock.Now() - began
	sort.Float64s(times)
	result.Median, result.Worst = time.Duration(times[len(times)/2]), time.Duration(times[len(times)-1])
	perNode := float64(n.sentTell-tells)/float64(nodes) - result.QuietTells*busy.Seconds()
	result.TellsPerChange = perNode / changes
	result.BytesPerChange = float64(n.bytes-bytes) / float64(nodes) / changes
	result.TellsPerNode = result.QuietTells + result.TellsPerChange*changesPerSecond
	result.HealedAfter = n.partAndHeal()
	return result
}

// partAndHeal parts half of the regions, and the platform, from the others for a
// minute with changes, and gives the time until all agree after they meet again.
func (n *network) partAndHeal() time.Duration {
	n.parted = func(a, b int) bool { return (a < regions/2) != (b < regions/2) }
	for region := regions / 2; region < regions; region++ {
		n.cutOff[region] = true
	}
	near := func(node *hollow) bool { return node.region < regions/2 }
	for range 3 {
		n.spreadTime(near, spreadStop)
		n.clock.Run(n.clock.Now() + 15*time.Second)
	}
	n.parted = func(int, int) bool { return false }
	clear(n.cutOff)
	began := n.clock.Now()
	for n.clock.Now()-began < spreadStop {
		n.clock.Run(n.clock.Now() + 50*time.Millisecond)
		agreed := true
		for _, node := range n.nodes {
			agreed = agreed && node.state.Version() == n.platform
		}
		if agreed {
			return n.clock.Now() - began
		}
	}
	return spreadStop
}
