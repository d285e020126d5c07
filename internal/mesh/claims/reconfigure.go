package claims

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"sort"
	"sync"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
	"github.com/landingmast/landingmast/internal/mesh/platform"
	"github.com/landingmast/landingmast/internal/mesh/wire"
)

// Run reconciles the voter set with the live nodes of the service until ctx is done. Only a node
// that is missing from the set or fails to reach a member accesses the platform, so that an
// unchanged service causes no platform load.
func (m *Manager) Run(ctx context.Context) {
	timer := time.NewTimer(reconcileJitter)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.wake:
			time.Sleep(rand.N(reconcileJitter))
		}
		interval := reconcileInterval
		if m.reconcile(ctx) {
			interval = probeInterval
		}
		timer.Reset(interval/2 + rand.N(interval))
	}
}

func (m *Manager) snapshot() (service string, nodes []bundle.Node, set *claim.VoterSet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.service, m.nodes, m.voterSet
}

// reconcile compares the voter set with the live nodes and changes the set if that is safe. It
// reports whether the set was already up to date.
func (m *Manager) reconcile(ctx context.Context) (inSync bool) {
	service, nodes, set := m.snapshot()
	if service == "" || m.options.Store == nil || m.inSync(ctx, nodes, set) {
		return true
	}
	m.updateVoterSet(ctx, service, nodes, set)
	return false
}

func (m *Manager) updateVoterSet(ctx context.Context, service string, nodes []bundle.Node, set *claim.VoterSet) {
	alive := m.liveExecutors(ctx, nodes)
	if set != nil && set.Active && sameMembers(set.Members, alive) && m.VoterEpoch() == set.Epoch {
		return
	}
	record, index, err := m.readVoterSet(ctx, service)
	if err != nil {
		return // platform unavailable: keep the current set
	}
	if record != nil {
		m.observeVoterSet(record)
	}
	if record != nil && !record.Active {
		m.activate(ctx, record, index)
		return
	}
	next := claim.PlanVoterSet(service, record, alive, len(nodes))
	if next == nil {
		return
	}
	if err := m.writeVoterSet(ctx, next, index); err != nil {
		return
	}
	m.options.Log.WithField("epoch", next.Epoch).WithField("members", len(next.Members)).Info("voter set proposed")
	record, index, err = m.readVoterSet(ctx, service)
	if err == nil && record != nil && !record.Active {
		m.activate(ctx, record, index)
	}
}

// inSync reports whether this node is a voter of the active set and one randomly probed node of
// the service is a member with its current incarnation.
func (m *Manager) inSync(ctx context.Context, nodes []bundle.Node, set *claim.VoterSet) bool {
	if set == nil || !set.Active || m.VoterEpoch() != set.Epoch || !set.Contains(m.options.Self) {
		return false
	}
	probed := nodes[rand.N(len(nodes))]
	if probed.Name == m.options.Self.Node {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	incarnation, err := m.options.Peers.Incarnation(ctx, probed.Address)
	return err == nil && set.Contains(claim.Executor{Node: probed.Name, Incarnation: incarnation})
}

func sameMembers(a, b []claim.Executor) bool {
	return reflect.DeepEqual(sortedByNode(a), sortedByNode(b))
}

func sortedByNode(executors []claim.Executor) []claim.Executor {
	list := append([]claim.Executor(nil), executors...)
	sort.Slice(list, func(i, j int) bool { return list[i].Node < list[j].Node })
	return list
}

// liveExecutors returns the executors of the service that respond, sorted by node.
func (m *Manager) liveExecutors(ctx context.Context, nodes []bundle.Node) []claim.Executor {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var mutex sync.Mutex
	var group sync.WaitGroup
	var alive []claim.Executor
	for _, node := range nodes {
		group.Go(func() {
			incarnation := m.options.Self.Incarnation
			if node.Name != m.options.Self.Node {
				var err error
				if incarnation, err = m.options.Peers.Incarnation(ctx, node.Address); err != nil {
					return
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			alive = append(alive, claim.Executor{Node: node.Name, Incarnation: incarnation})
		})
	}
	group.Wait()
	return sortedByNode(alive)
}

func (m *Manager) readVoterSet(ctx context.Context, service string) (*claim.VoterSet, uint64, error) {
	entry, err := m.options.Store.Get(ctx, platform.VotersKey(m.options.Mesh, service))
	m.countPlatformRequest("get_voters", err)
	if err != nil || entry.Index == 0 {
		return nil, 0, err
	}
	set := &claim.VoterSet{}
	if err := json.Unmarshal(entry.Value, set); err != nil {
		return nil, 0, failure.Wrap(err, failure.Internal, "restore the key in the platform's key-value service", "cannot decode voter set of %s", service)
	}
	return set, entry.Index, nil
}

func (m *Manager) writeVoterSet(ctx context.Context, set *claim.VoterSet, index uint64) error {
	value, err := json.Marshal(set)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "report this as a bug", "cannot encode voter set")
	}
	written, err := m.options.Store.CompareAndSwap(ctx, platform.VotersKey(m.options.Mesh, set.Service), value, index)
	m.countPlatformRequest("put_voters", err)
	if err == nil && !written {
		return failure.New(failure.Conflict, "read the voter set again", "voter set of %s was changed by another node", set.Service)
	}
	return err
}

func (m *Manager) countPlatformRequest(request string, err error) {
	result := "ok"
	if err != nil {
		result = string(failure.KindOf(err))
	}
	m.options.Metrics.PlatformRequests.WithLabelValues(request, result).Inc()
}

// activate makes a pending voter set active: it seals a majority of the previous voters, transfers
// their claims to a majority of the new voters, and then marks the set active in the platform
// [Seal] [Carry] [Install] [Activate]. It is idempotent and may run on several nodes at once.
func (m *Manager) activate(ctx context.Context, set *claim.VoterSet, index uint64) {
	ctx, cancel := context.WithTimeout(ctx, activationTimeout)
	defer cancel()
	carried, sealed := m.sealPrevious(ctx, set)
	if !sealed {
		return
	}
	if m.installAll(ctx, set, carried) < claim.Majority(len(set.Members)) {
		return
	}
	active := *set
	active.Active = true
	if err := m.writeVoterSet(ctx, &active, index); err != nil && !failure.Is(err, failure.Conflict) {
		if !failure.Is(err, failure.Uncertain) {
			return
		}
		record, _, readErr := m.readVoterSet(ctx, set.Service)
		if readErr != nil || record == nil || record.Epoch != set.Epoch || !record.Active {
			return
		}
	}
	m.observeVoterSet(&active)
	m.options.Log.WithField("epoch", active.Epoch).WithField("members", len(active.Members)).WithField("claims", len(carried)).Info("voter set active")
	m.notifyNodes(ctx, &active)
}

// sealPrevious seals the voters of the previous epoch and returns their merged claims. It succeeds
// if a majority is sealed or any voter has already installed the claims of the new epoch.
func (m *Manager) sealPrevious(ctx context.Context, set *claim.VoterSet) ([]claim.Entry, bool) {
	if len(set.Previous) == 0 {
		return nil, true
	}
	var lists [][]claim.Entry
	sealed := 0
	for member, reply := range m.sealAll(ctx, set) {
		if reply.Refusal != "" {
			continue
		}
		lists = append(lists, reply.Entries)
		if contains(set.Previous, member) {
			sealed++
		}
		if reply.Installed {
			return claim.Merge(reply.Entries), true
		}
	}
	return claim.Merge(lists...), sealed >= claim.Majority(len(set.Previous))
}

func contains(executors []claim.Executor, wanted claim.Executor) bool {
	for _, executor := range executors {
		if executor == wanted {
			return true
		}
	}
	return false
}

func (m *Manager) sealAll(ctx context.Context, set *claim.VoterSet) map[claim.Executor]*wire.SealReply {
	members := append([]claim.Executor(nil), set.Previous...)
	for _, member := range set.Members {
		if !contains(members, member) {
			members = append(members, member)
		}
	}
	var mutex sync.Mutex
	var group sync.WaitGroup
	replies := map[claim.Executor]*wire.SealReply{}
	for _, member := range members {
		group.Go(func() {
			request := &wire.SealRequest{Service: set.Service, Epoch: set.Epoch - 1, Voter: member.Incarnation}
			reply, err := m.seal(ctx, member, request)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			replies[member] = reply
		})
	}
	group.Wait()
	return replies
}

func (m *Manager) seal(ctx context.Context, member claim.Executor, request *wire.SealRequest) (*wire.SealReply, error) {
	if member == m.options.Self {
		return m.HandleSeal(request), nil
	}
	return m.options.Peers.Seal(ctx, m.nodeAddress(member.Node), request)
}

func (m *Manager) install(ctx context.Context, member claim.Executor, request *wire.InstallRequest) (*wire.SealReply, error) {
	if member == m.options.Self {
		return m.HandleInstall(request), nil
	}
	return m.options.Peers.Install(ctx, m.nodeAddress(member.Node), request)
}

func (m *Manager) installAll(ctx context.Context, set *claim.VoterSet, carried []claim.Entry) int {
	var mutex sync.Mutex
	var group sync.WaitGroup
	installed := 0
	for _, member := range set.Members {
		group.Go(func() {
			request := &wire.InstallRequest{Service: set.Service, Epoch: set.Epoch, Voter: member.Incarnation, Entries: carried}
			reply, err := m.install(ctx, member, request)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			if reply.Refusal == "" {
				installed++
			}
		})
	}
	group.Wait()
	return installed
}

// notifyNodes sends the active set to the other nodes of the service. A node that misses the
// notification reads the set from the platform.
func (m *Manager) notifyNodes(ctx context.Context, set *claim.VoterSet) {
	body, err := json.Marshal(set)
	if err != nil {
		return
	}
	_, nodes, _ := m.snapshot()
	var group sync.WaitGroup
	for _, node := range nodes {
		if node.Name == m.options.Self.Node {
			continue
		}
		group.Go(func() { _ = m.options.Peers.NotifyVoterSet(ctx, node.Address, &wire.VoterSetNotice{Body: body}) })
	}
	group.Wait()
}
