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

// machineList is what is known of the platform's machine list.
type machineList struct {
	version int64
	leaving map[string]bool
}

// spread drives the dissemination of the bundle and of the machine list.
type spread struct {
	node      *Node
	mutex     sync.Mutex
	states    map[wire.Topic]*dissemination.State
	addresses map[string]string
	group     sync.WaitGroup
	reading   map[wire.Topic]bool
}

type globalRandom struct{}

func (globalRandom) IntN(n int) int      { return rand.IntN(n) }
func (globalRandom) ExpFloat64() float64 { return rand.ExpFloat64() }
func (globalRandom) Float64() float64    { return rand.Float64() }

const spreadTick = 75 * time.Millisecond

func newSpread(node *Node) *spread {
	s := &spread{node: node, states: map[wire.Topic]*dissemination.State{}, addresses: map[string]string{}, reading: map[wire.Topic]bool{}}
	for _, topic := range []wire.Topic{wire.TopicBundle, wire.TopicMachines} {
		s.states[topic] = dissemination.New(dissemination.DefaultConfig(), globalRandom{})
	}
	return s
}

func (s *spread) now() time.Duration { return time.Since(s.node.started) }

// setPeers sets the nodes to talk to. It is called with the node's mutex held.
func (s *spread) setPeers(installed *bundle.Bundle, self string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.addresses)
	var peers []string
	for _, node := range installed.Nodes() {
		if node.Name != self {
			s.addresses[node.Name] = node.Address
			peers = append(peers, node.Name)
		}
	}
	sort.Strings(peers)
	for _, state := range s.states {
		state.SetPeers(peers)
	}
}

// run ticks until ctx ends. A node without memory first learns the version in
// force: from the platform, or from a majority of its seed peers.
func (s *spread) run(ctx context.Context) {
	s.bootstrap(ctx)
	ticker := time.NewTicker(spreadTick)
	defer ticker.Stop()
	defer s.group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for topic := range s.states {
				s.do(ctx, topic, s.step(topic, (*dissemination.State).Tick))
			}
		}
	}
}

func (s *spread) step(topic wire.Topic, step func(*dissemination.State, time.Duration) []dissemination.Action) []dissemination.Action {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return step(s.states[topic], s.now())
}

func (s *spread) installed(topic wire.Topic, version int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.states[topic].Installed(s.now(), version)
}

func (s *spread) version(topic wire.Topic) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.states[topic].Version()
}

func (s *spread) do(ctx context.Context, topic wire.Topic, actions []dissemination.Action) {
	for _, action := range actions {
		switch action.Kind {
		case dissemination.ReadPlatform:
			s.group.Go(func() { s.readPlatform(ctx, topic) })
		case dissemination.Tell:
			s.group.Go(func() { s.tell(ctx, topic, action) })
		case dissemination.Fetch:
			s.group.Go(func() { s.fetch(ctx, topic, s.address(action.Peer)) })
		}
	}
}

func (s *spread) address(peer string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.addresses[peer]
}

func (s *spread) tell(ctx context.Context, topic wire.Topic, action dissemination.Action) {
	address := s.address(action.Peer)
	if address == "" {
		return
	}
	reply, err := s.node.peers.ExchangeVersions(ctx, address, &wire.Tell{From: s.node.settings.Node, Incarnation: s.node.incarnation, Topic: topic, Version: action.Version})
	if err != nil {
		return
	}
	s.heard(ctx, topic, action.Peer, reply.Version)
}

func (s *spread) heard(ctx context.Context, topic wire.Topic, peer string, version int64) {
	actions := s.step(topic, func(state *dissemination.State, now time.Duration) []dissemination.Action {
		return state.Heard(now, peer, version)
	})
	s.do(ctx, topic, actions)
}

func (s *spread) fetch(ctx context.Context, topic wire.Topic, address string) {
	if address == "" {
		return
	}
	if topic == wire.TopicMachines {
		if machines, err := s.node.peers.FetchMachines(ctx, address); err == nil {
			s.takeMachines(machines)
		}
		return
	}
	release, err := s.node.peers.FetchBundle(ctx, address, s.version(topic))
	if err != nil {
		return
	}
	if err := s.take(release); failure.Is(err, failure.Missing) {
		if release, err = s.node.peers.FetchBundle(ctx, address, 0); err == nil {
			_ = s.take(release)
		}
	}
}

func (s *spread) take(release *bundle.Release) error {
	if err := s.node.install(release); err != nil {
		return err
	}
	if installed := s.node.current(); installed != nil {
		s.installed(wire.TopicBundle, installed.Release.Version)
	}
	return nil
}

func (s *spread) takeMachines(machines *wire.Machines) {
	n := s.node
	n.mutex.Lock()
	if machines.Version > n.machines.version {
		leaving := map[string]bool{}
		for _, name := range machines.Leaving {
			leaving[name] = true
		}
		n.machines = machineList{version: machines.Version, leaving: leaving}
		n.apply()
	}
	version := n.machines.version
	n.mutex.Unlock()
	s.installed(wire.TopicMachines, version)
}

// readPlatform reads a topic from the platform; one read of a topic at a time.
func (s *spread) readPlatform(ctx context.Context, topic wire.Topic) {
	if s.node.store == nil || !s.beginReading(topic) {
		return
	}
	defer s.endReading(topic)
	if topic == wire.TopicMachines {
		s.readMachines(ctx)
		return
	}
	_, _ = s.readRelease(ctx)
}

func (s *spread) beginReading(topic wire.Topic) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reading[topic] {
		return false
	}
	s.reading[topic] = true
	return true
}

func (s *spread) endReading(topic wire.Topic) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reading[topic] = false
}

func (s *spread) count(request string, err error) {
	result := "ok"
	if err != nil {
		result = string(failure.KindOf(err))
	}
	s.node.metrics.PlatformRequests.WithLabelValues(request, result).Inc()
}

// readRelease reads the release in force; it tells whether the platform answered.
func (s *spread) readRelease(ctx context.Context) (answered bool, err error) {
	entry, err := s.node.store.Get(ctx, platform.ReleaseKey(s.node.settings.Mesh))
	s.count("get_release", err)
	if err != nil {
		return false, err
	}
	if entry.Index == 0 {
		return true, nil
	}
	record, err := platform.DecodeReleaseRecord(entry.Value)
	if err != nil {
		s.node.metrics.BundlesRejected.Inc()
		return true, err
	}
	return true, s.take(record.Release)
}

func (s *spread) readMachines(ctx context.Context) {
	list, index, err := s.node.store.Machines(ctx)
	s.count("machines", err)
	if err != nil {
		return
	}
	machines := &wire.Machines{Version: int64(index)}
	for _, machine := range list {
		if machine.Leaving {
			machines.Leaving = append(machines.Leaving, machine.Node)
		}
	}
	s.takeMachines(machines)
}

// bootstrap waits until the version in force is known. A node that was cut off
// may still hold an old version, so one peer's word is not enough: the platform
// or a majority of the seeds has to answer, and the highest version counts.
func (s *spread) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		if s.node.store != nil {
			answered, err := s.readRelease(ctx)
			if answered && err == nil && s.node.current() != nil {
				break
			}
		}
		if s.askSeeds(ctx) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapPause/2 + rand.N(bootstrapPause)):
		}
	}
	s.node.mutex.Lock()
	s.node.readyToTake = true
	s.node.mutex.Unlock()
}

const bootstrapPause = 200 * time.Millisecond

// askSeeds takes the highest release of the seeds; true when a majority answered
// and one of them had a release.
func (s *spread) askSeeds(ctx context.Context) bool {
	seeds := s.node.settings.Peers
	releases := make(chan *bundle.Release, len(seeds))
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for _, seed := range seeds {
		s.group.Go(func() {
			release, err := s.node.peers.FetchBundle(ctx, seed, 0)
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
	return s.take(best) == nil
}
