package node

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/dissemination"
	"github.com/landingmast/landingmast/internal/mesh/platform"
	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// machineList is the newest known version of the platform's machine list.
type machineList struct {
	version int64
	leaving map[string]bool
}

// disseminator runs the dissemination protocol for the bundle and the machine list.
type disseminator struct {
	node      *Node
	mu        sync.Mutex
	states    map[wire.Topic]*dissemination.State
	addresses map[string]string
	wg        sync.WaitGroup
	reading   map[wire.Topic]bool
}

type globalRandom struct{}

func (globalRandom) IntN(n int) int      { return rand.IntN(n) }
func (globalRandom) ExpFloat64() float64 { return rand.ExpFloat64() }
func (globalRandom) Float64() float64    { return rand.Float64() }

const tickInterval = 75 * time.Millisecond

func newDisseminator(node *Node) *disseminator {
	d := &disseminator{node: node, states: map[wire.Topic]*dissemination.State{}, addresses: map[string]string{}, reading: map[wire.Topic]bool{}}
	for _, topic := range []wire.Topic{wire.TopicBundle, wire.TopicMachines} {
		d.states[topic] = dissemination.New(dissemination.DefaultConfig(), globalRandom{})
	}
	return d
}

func (d *disseminator) now() time.Duration { return time.Since(d.node.startTime) }

// setPeers sets the peers to exchange versions with. The caller holds the mutex of the node.
func (d *disseminator) setPeers(installed *bundle.Bundle, self string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.addresses)
	var peers []string
	for _, node := range installed.Nodes() {
		if node.Name != self {
			d.addresses[node.Name] = node.Address
			peers = append(peers, node.Name)
		}
	}
	sort.Strings(peers)
	for _, state := range d.states {
		state.SetPeers(peers)
	}
}

// run bootstraps the node and then drives the protocol until ctx is done.
func (d *disseminator) run(ctx context.Context) {
	d.bootstrap(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer d.wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for topic := range d.states {
				d.execute(ctx, topic, d.step(topic, (*dissemination.State).Tick))
			}
		}
	}
}

func (d *disseminator) step(topic wire.Topic, transition func(*dissemination.State, time.Duration) []dissemination.Action) []dissemination.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return transition(d.states[topic], d.now())
}

func (d *disseminator) markInstalled(topic wire.Topic, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[topic].HandleInstalled(d.now(), version)
}

func (d *disseminator) version(topic wire.Topic) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.states[topic].Version()
}

func (d *disseminator) execute(ctx context.Context, topic wire.Topic, actions []dissemination.Action) {
	for _, action := range actions {
		switch action.Kind {
		case dissemination.ReadPlatform:
			d.wg.Go(func() { d.readPlatform(ctx, topic) })
		case dissemination.SendVersion:
			d.wg.Go(func() { d.exchangeVersions(ctx, topic, action) })
		case dissemination.Fetch:
			d.wg.Go(func() { d.fetch(ctx, topic, d.peerAddress(action.Peer)) })
		}
	}
}

func (d *disseminator) peerAddress(peer string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses[peer]
}

func (d *disseminator) exchangeVersions(ctx context.Context, topic wire.Topic, action dissemination.Action) {
	address := d.peerAddress(action.Peer)
	if address == "" {
		return
	}
	reply, err := d.node.controlClient.ExchangeVersions(ctx, address, &wire.VersionMessage{From: d.node.settings.Node, Incarnation: d.node.incarnation, Topic: topic, Version: action.Version})
	if err != nil {
		return
	}
	d.handleVersion(ctx, topic, action.Peer, reply.Version)
}

func (d *disseminator) handleVersion(ctx context.Context, topic wire.Topic, peer string, version int64) {
	actions := d.step(topic, func(state *dissemination.State, now time.Duration) []dissemination.Action {
		return state.HandleVersion(now, peer, version)
	})
	d.execute(ctx, topic, actions)
}

func (d *disseminator) fetch(ctx context.Context, topic wire.Topic, address string) {
	if address == "" {
		return
	}
	if topic == wire.TopicMachines {
		if machines, err := d.node.controlClient.FetchMachines(ctx, address); err == nil {
			d.updateMachines(machines)
		}
		return
	}
	release, err := d.node.controlClient.FetchBundle(ctx, address, d.version(topic))
	if err != nil {
		return
	}
	if err := d.installRelease(release); failure.Is(err, failure.NotFound) {
		if release, err = d.node.controlClient.FetchBundle(ctx, address, 0); err == nil {
			_ = d.installRelease(release)
		}
	}
}

func (d *disseminator) installRelease(release *bundle.Release) error {
	if err := d.node.install(release); err != nil {
		return err
	}
	if installed := d.node.currentBundle(); installed != nil {
		d.markInstalled(wire.TopicBundle, installed.Release.Version)
	}
	return nil
}

func (d *disseminator) updateMachines(machines *wire.Machines) {
	n := d.node
	n.mu.Lock()
	if machines.Version > n.machines.version {
		leaving := map[string]bool{}
		for _, name := range machines.Leaving {
			leaving[name] = true
		}
		n.machines = machineList{version: machines.Version, leaving: leaving}
		n.applyLocked()
	}
	version := n.machines.version
	n.mu.Unlock()
	d.markInstalled(wire.TopicMachines, version)
}

// readPlatform reads a topic from the platform unless a read of that topic is in progress.
func (d *disseminator) readPlatform(ctx context.Context, topic wire.Topic) {
	if d.node.store == nil || !d.beginRead(topic) {
		return
	}
	defer d.endRead(topic)
	if topic == wire.TopicMachines {
		d.readMachines(ctx)
		return
	}
	_, _ = d.readRelease(ctx)
}

func (d *disseminator) beginRead(topic wire.Topic) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reading[topic] {
		return false
	}
	d.reading[topic] = true
	return true
}

func (d *disseminator) endRead(topic wire.Topic) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reading[topic] = false
}

func (d *disseminator) countPlatformRequest(request string, err error) {
	result := "ok"
	if err != nil {
		result = string(failure.KindOf(err))
	}
	d.node.metrics.PlatformRequests.WithLabelValues(request, result).Inc()
}

// readRelease reads and installs the release in force. It reports whether the platform answered.
func (d *disseminator) readRelease(ctx context.Context) (answered bool, err error) {
	entry, err := d.node.store.Get(ctx, platform.ReleaseKey(d.node.settings.Mesh))
	d.countPlatformRequest("get_release", err)
	if err != nil {
		return false, err
	}
	if entry.Index == 0 {
		return true, nil
	}
	record, err := platform.DecodeReleaseRecord(entry.Value)
	if err != nil {
		d.node.metrics.BundlesRejected.Inc()
		return true, err
	}
	return true, d.installRelease(record.Release)
}

func (d *disseminator) readMachines(ctx context.Context) {
	list, index, err := d.node.store.Machines(ctx)
	d.countPlatformRequest("machines", err)
	if err != nil {
		return
	}
	machines := &wire.Machines{Version: int64(index)}
	for _, machine := range list {
		if machine.Leaving {
			machines.Leaving = append(machines.Leaving, machine.Node)
		}
	}
	d.updateMachines(machines)
}

// bootstrap waits until the release in force is known, either from the platform or as the highest
// version of a majority of the seed peers. A single peer isn't sufficient, because it may have been
// partitioned and hold an old version.
func (d *disseminator) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		if d.node.store != nil {
			answered, err := d.readRelease(ctx)
			if answered && err == nil && d.node.currentBundle() != nil {
				break
			}
		}
		if d.fetchFromSeeds(ctx) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapRetryInterval/2 + rand.N(bootstrapRetryInterval)):
		}
	}
	d.node.mu.Lock()
	d.node.bootstrapped = true
	d.node.mu.Unlock()
}

const bootstrapRetryInterval = 200 * time.Millisecond

// fetchFromSeeds installs the highest release of the seed peers. It fails unless a majority of them
// returned a release.
func (d *disseminator) fetchFromSeeds(ctx context.Context) bool {
	seeds := d.node.settings.Peers
	releases := make(chan *bundle.Release, len(seeds))
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, seed := range seeds {
		d.wg.Go(func() {
			release, err := d.node.controlClient.FetchBundle(ctx, seed, 0)
			if err != nil {
				release = nil
			}
			releases <- release
		})
	}
	var best *bundle.Release
	answered := 0
	for range seeds {
		release := <-releases
		if release == nil {
			continue
		}
		answered++
		if best == nil || release.Version > best.Version {
			best = release
		}
	}
	if best == nil || answered < len(seeds)/2+1 {
		return false
	}
	return d.installRelease(best) == nil
}
