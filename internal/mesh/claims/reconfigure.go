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

// Run keeps the voter set of the service in step with its nodes until ctx ends.
// Only a node that is missing from the set, or that sees a member gone, talks to
// the platform; in quiet times none does.
func (m *Manager) Run(ctx context.Context) {
	timer := time.NewTimer(reconcileAtStart)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.wake:
			time.Sleep(rand.N(reconcileAtStart))
		}
		pause := reconcileEvery
		if m.reconcile(ctx) {
			pause = probeEvery
		}
		timer.Reset(pause/2 + rand.N(pause))
	}
}

func (m *Manager) snapshot() (service string, nodes []bundle.Node, set *claim.VoterSet) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.service, m.nodes, m.set
}

// reconcile looks for members that are gone and nodes that are missing, and
// changes the voter set if that is safe. It tells whether nothing was amiss.
func (m *Manager) reconcile(ctx context.Context) (quiet bool) {
	service, nodes, set := m.snapshot()
	if service == "" || m.options.Store == nil || m.quiet(ctx, nodes, set) {
		return true
	}
	m.change(ctx, service, nodes, set)
	return false
}

func (m *Manager) change(ctx context.Context, service string, nodes []bundle.Node, set *claim.VoterSet) {
	alive := m.alive(ctx, nodes)
	if set != nil && set.Active && sameMembers(set.Members, alive) && m.VoterEpoch() == set.Epoch {
		return
	}
	record, index, err := m.read(ctx, service)
	if err != nil {
		return // the platform is down or slow: go on with the set in force
	}
	if record != nil {
		m.learn(record)
	}
	if record != nil && !record.Active {
		m.finish(ctx, record, index)
		return
	}
	next := claim.Plan(service, record, alive, len(nodes))
	if next == nil {
		return
	}
	if err := m.write(ctx, next, index); err != nil {
		return
	}
	m.options.Log.WithField("epoch", next.Epoch).WithField("members", len(next.Members)).Info("voter set proposed")
	record, index, err = m.read(ctx, service)
	if err == nil && record != nil && !record.Active {
		m.finish(ctx, record, index)
	}
}

// quiet probes one random node of the service and tells whether nothing has to be
// looked at: this node votes, and the probed one is the member that it should be.
func (m *Manager) quiet(ctx context.Context, nodes []bundle.Node, set *claim.VoterSet) bool {
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

func sameMembers(left, right []claim.Executor) bool {
	return reflect.DeepEqual(sorted(left), sorted(right))
}

func sorted(executors []claim.Executor) []claim.Executor {
	list := append([]claim.Executor(nil), executors...)
	sort.Slice(list, func(i, j int) bool { return list[i].Node < list[j].Node })
	return list
}

// alive gives the executors of the service that answer now, sorted by node.
func (m *Manager) alive(ctx context.Context, nodes []bundle.Node) []claim.Executor {
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
	return sorted(alive)
}

func (m *Manager) read(ctx context.Context, service string) (*claim.VoterSet, uint64, error) {
	entry, err := m.options.Store.Get(ctx, platform.VotersKey(m.options.Mesh, service))
	m.count("get_voters", err)
	if err != nil || entry.Index == 0 {
		return nil, 0, err
	}
	set := &claim.VoterSet{}
	if err := json.Unmarshal(entry.Value, set); err != nil {
		return nil, 0, failure.Wrap(err, failure.Internal, "restore the key in the platform's service", "voter set of %s cannot be read", service)
	}
	return set, entry.Index, nil
}

func (m *Manager) write(ctx context.Context, set *claim.VoterSet, index uint64) error {
	value, err := json.Marshal(set)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "report this", "voter set cannot be written")
	}
	written, err := m.options.Store.CompareAndSwap(ctx, platform.VotersKey(m.options.Mesh, set.Service), value, index)
	m.count("put_voters", err)
	if err == nil && !written {
		return failure.New(failure.Conflict, "read it again", "voter set of %s was changed by another node", set.Service)
	}
	return err
}

func (m *Manager) count(request string, err error) {
	result := "ok"
	if err != nil {
		result = string(failure.KindOf(err))
	}
	m.options.Metrics.PlatformRequests.WithLabelValues(request, result).Inc()
}

// finish brings a pending voter set into force: seal a majority of the old
// voters, carry their claims over, install them at a majority of the new ones,
// and only then mark the set active [Seal] [Carry] [Install] [Activate]. Any
// node may do it, also several at once and again after one was killed.
func (m *Manager) finish(ctx context.Context, set *claim.VoterSet, index uint64) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
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
	if err := m.write(ctx, &active, index); err != nil && !failure.Is(err, failure.Conflict) {
		if !failure.Is(err, failure.Uncertain) {
			return
		}
		record, _, readErr := m.read(ctx, set.Service)
		if readErr != nil || record == nil || record.Epoch != set.Epoch || !record.Active {
			return
		}
	}
	m.learn(&active)
	m.options.Log.WithField("epoch", active.Epoch).WithField("members", len(active.Members)).WithField("claims", len(carried)).Info("voter set active")
	m.announce(ctx, &active)
}

// sealPrevious gives the claims of the previous epoch once a majority of its
// voters is sealed, or one voter tells that it has them installed already.
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
	return m.options.Peers.Seal(ctx, m.address(member.Node), request)
}

func (m *Manager) install(ctx context.Context, member claim.Executor, request *wire.InstallRequest) (*wire.SealReply, error) {
	if member == m.options.Self {
		return m.HandleInstall(request), nil
	}
	return m.options.Peers.Install(ctx, m.address(member.Node), request)
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

// announce tells the nodes of the service; those that miss it read the platform.
func (m *Manager) announce(ctx context.Context, set *claim.VoterSet) {
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
