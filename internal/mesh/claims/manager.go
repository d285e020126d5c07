// Package claims runs the claim protocol of internal/mesh/core/claim for the service of a node.
// A Manager proposes claims to the voters, acts as a voter itself, and reconfigures the voter set
// through the platform when nodes join or leave.
package claims

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/core/claim"
	"github.com/landingmast/landingmast/internal/mesh/core/outcome"
	"github.com/landingmast/landingmast/internal/mesh/dataplane"
	"github.com/landingmast/landingmast/internal/mesh/explain"
	"github.com/landingmast/landingmast/internal/mesh/platform"
	"github.com/landingmast/landingmast/internal/mesh/telemetry"
	"github.com/landingmast/landingmast/internal/mesh/wire"
	"github.com/sirupsen/logrus"
)

// Peers sends claim messages to other nodes. An error means that no reply was received.
type Peers interface {
	Vote(ctx context.Context, address string, vote *wire.Vote) (*claim.Reply, error)
	Seal(ctx context.Context, address string, request *wire.SealRequest) (*wire.SealReply, error)
	Install(ctx context.Context, address string, request *wire.InstallRequest) (*wire.SealReply, error)
	NotifyVoterSet(ctx context.Context, address string, notice *wire.VoterSetNotice) error
	Incarnation(ctx context.Context, address string) (string, error)
}

const (
	maxKeys             = 100_000
	maxTotalAnswerBytes = 8 << 20
	maxAnswerBytes      = 64 << 10
	voteTimeout         = 300 * time.Millisecond
	claimTimeout        = time.Second
	maxRoundBackoff     = 4 * time.Millisecond
	reconcileInterval   = time.Second     // while the voter set is out of date
	probeInterval       = 3 * time.Second // of one random node, while the voter set is up to date
	activationTimeout   = 2 * time.Second
	reconcileJitter     = 50 * time.Millisecond // also the delay of the first run
)

// Options configures a Manager.
type Options struct {
	Mesh    string
	Self    claim.Executor
	Store   platform.Store // nil: the voter set cannot be changed
	Peers   Peers
	Metrics *telemetry.Metrics
	Log     *logrus.Entry
}

// Manager runs the claim protocol of one node. It is safe for concurrent use.
type Manager struct {
	options  Options
	attempts atomic.Uint64

	mu       sync.Mutex
	table    *claim.Table
	voter    *claim.Voter
	voterSet *claim.VoterSet // highest epoch known
	service  string
	nodes    []bundle.Node // of the service
	wake     chan struct{}
}

var _ dataplane.ClaimStore = (*Manager)(nil)

// New returns a Manager without claims or voter set. Claims aren't persisted across restarts.
func New(options Options) *Manager {
	return &Manager{
		options: options, table: claim.NewTable(maxKeys, maxTotalAnswerBytes, maxAnswerBytes), voter: claim.NewVoter(maxKeys),
		wake: make(chan struct{}, 1),
	}
}

// SetService sets the service of the node and the nodes of that service.
func (m *Manager) SetService(service string, nodes []bundle.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.service, m.nodes = service, nodes
	m.wakeReconciler()
}

func (m *Manager) wakeReconciler() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// VoterEpoch returns the epoch that the node votes in, or 0 if it isn't a voter.
func (m *Manager) VoterEpoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voter.Epoch()
}

// Lookup implements dataplane.Claims.
func (m *Manager) Lookup(key string) (claim.Phase, *claim.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Lookup(key)
}

// Release implements dataplane.Claims.
func (m *Manager) Release(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Release(key)
}

// MarkUnknown implements dataplane.Claims.
func (m *Manager) MarkUnknown(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.MarkUnknown(key)
}

// Complete implements dataplane.Claims.
func (m *Manager) Complete(key string, answer *claim.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Complete(key, answer)
}

// Begin implements dataplane.Claims.
func (m *Manager) Begin(ctx context.Context, key string) dataplane.ClaimResult {
	m.mu.Lock()
	phase, answer, full := m.table.Begin(key)
	set, service := m.voterSet, m.service
	m.mu.Unlock()
	switch {
	case full:
		return m.countResult(claimResult(outcome.NotRun, outcome.ReasonClaimsFull))
	case phase == claim.PhaseDone && answer != nil:
		return m.countResult(dataplane.ClaimResult{StoredAnswer: answer, Reason: outcome.ReasonStoredResponse})
	case phase == claim.PhaseDone:
		return m.countResult(claimResult(outcome.Unknown, outcome.ReasonResponseNotStored))
	case phase == claim.PhaseUnknown:
		return m.countResult(claimResult(outcome.Unknown, outcome.ReasonExecutorLost))
	case phase != claim.PhaseAbsent:
		return m.countResult(claimResult(outcome.Unknown, outcome.ReasonInProgress))
	}
	return m.countResult(m.claimKey(ctx, key, service, set))
}

func claimResult(result outcome.Outcome, reason outcome.Reason) dataplane.ClaimResult {
	return dataplane.ClaimResult{Outcome: result, Reason: reason}
}

func (m *Manager) countResult(result dataplane.ClaimResult) dataplane.ClaimResult {
	m.options.Metrics.Claims.WithLabelValues(string(result.Reason)).Inc()
	return result
}

// claimKey has the voters choose the executor of the key and grants the key if this node is
// chosen [Run]. Otherwise it releases the key locally.
func (m *Manager) claimKey(ctx context.Context, key, service string, set *claim.VoterSet) dataplane.ClaimResult {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	executor, refusal, messages := m.runProposal(ctx, key, service, set)
	numbers := []explain.Number{
		{Name: "claim_ms", Value: float64(time.Since(started)) / float64(time.Millisecond)},
		{Name: "messages", Value: float64(messages)},
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if executor == m.options.Self && ctx.Err() == nil && m.table.Grant(key) {
		return dataplane.ClaimResult{Granted: true, Reason: outcome.ReasonGranted, Executor: executor.Node, Numbers: numbers}
	}
	m.table.Abandon(key)
	result := claimResult(outcome.NotRun, outcome.ReasonNoQuorum)
	result.Numbers = numbers
	switch {
	case executor == m.options.Self, executor.IsZero():
		if refusal == claim.RefusedFull {
			result.Reason = outcome.ReasonClaimsFull
		}
		if refusal == claim.RefusedEpoch || refusal == claim.RefusedNotVoter {
			m.wakeReconciler()
		}
	case executor.Node == m.options.Self.Node: // a previous incarnation of this node, whose claims are lost
		result.Outcome, result.Reason = outcome.Unknown, outcome.ReasonExecutorLost
	default:
		result.Outcome, result.Reason, result.Executor = outcome.Unknown, outcome.ReasonClaimedElsewhere, executor.Node
	}
	return result
}

// runProposal runs one proposal. It returns the zero executor if no majority accepted it, and the
// number of messages sent.
func (m *Manager) runProposal(ctx context.Context, key, service string, set *claim.VoterSet) (claim.Executor, claim.Refusal, int) {
	if set == nil || !set.Active || len(set.Members) == 0 {
		return claim.Executor{}, claim.RefusedEpoch, 0
	}
	proposal := claim.NewProposal(key, set.Epoch, len(set.Members), m.options.Self, set.Owner(key) == m.options.Self, m.attempts.Add(1))
	messages := 0
	for {
		step := m.runRound(ctx, proposal, service, set, &messages)
		switch step {
		case claim.StepChosen:
			return proposal.Chosen(), claim.RefusedNone, messages
		case claim.StepFailed, claim.StepWait:
			return claim.Executor{}, proposal.Refusal(), messages
		}
		if proposal.Request().Prepare { // preempted by a higher ballot: back off
			select {
			case <-time.After(rand.N(maxRoundBackoff)):
			case <-ctx.Done():
				return claim.Executor{}, proposal.Refusal(), messages
			}
		}
	}
}

// runRound sends the current request of the proposal to all voters and processes replies until the
// proposal advances. Later replies are discarded; the channel is buffered so that their senders
// don't block.
func (m *Manager) runRound(ctx context.Context, proposal *claim.Proposal, service string, set *claim.VoterSet, messages *int) claim.Step {
	request := proposal.Request()
	replies := make(chan *claim.Reply, len(set.Members))
	for _, member := range set.Members {
		*messages++
		go func() { replies <- m.requestVote(ctx, service, member, request) }()
	}
	for range set.Members {
		step := claim.StepWait
		if reply := <-replies; reply != nil {
			step = proposal.HandleReply(*reply)
		} else {
			step = proposal.HandleNoReply()
		}
		if step != claim.StepWait {
			return step
		}
	}
	return claim.StepFailed
}

// requestVote sends a request to one voter. It returns nil if no reply was received.
func (m *Manager) requestVote(ctx context.Context, service string, member claim.Executor, request claim.Request) *claim.Reply {
	if member == m.options.Self {
		reply := m.HandleVote(&wire.Vote{Service: service, Voter: member.Incarnation, Request: request})
		return &reply
	}
	address := m.nodeAddress(member.Node)
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	reply, err := m.options.Peers.Vote(ctx, address, &wire.Vote{Service: service, Voter: member.Incarnation, Request: request})
	if err != nil {
		return nil
	}
	return reply
}

func (m *Manager) nodeAddress(node string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.nodes {
		if known.Name == node {
			return known.Address
		}
	}
	return ""
}

// HandleVote handles a prepare or accept request as a voter [Promise] [Accept].
func (m *Manager) HandleVote(vote *wire.Vote) claim.Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if vote.Voter != m.options.Self.Incarnation || vote.Service != m.service {
		return claim.Reply{Refusal: claim.RefusedNotVoter}
	}
	return m.voter.Handle(vote.Request)
}

// HandleSeal makes this voter stop voting in an epoch and returns its claims [Seal].
func (m *Manager) HandleSeal(request *wire.SealRequest) *wire.SealReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request.Voter != m.options.Self.Incarnation || request.Service != m.service {
		return &wire.SealReply{Refusal: string(claim.RefusedNotVoter)}
	}
	entries, installed, refusal := m.voter.Seal(request.Epoch)
	return &wire.SealReply{Refusal: string(refusal), Installed: installed, Entries: entries}
}

// HandleInstall stores the transferred claims and activates this voter in an epoch [Install].
func (m *Manager) HandleInstall(request *wire.InstallRequest) *wire.SealReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request.Voter != m.options.Self.Incarnation || request.Service != m.service {
		return &wire.SealReply{Refusal: string(claim.RefusedNotVoter)}
	}
	refusal := m.voter.Install(request.Epoch, request.Entries)
	m.options.Metrics.VoterEpoch.Set(float64(m.voter.Epoch()))
	return &wire.SealReply{Refusal: string(refusal)}
}

// HandleNotice handles the notification that another node has activated a voter set.
func (m *Manager) HandleNotice(notice *wire.VoterSetNotice) error {
	set := &claim.VoterSet{}
	if err := json.Unmarshal(notice.Body, set); err != nil {
		return err
	}
	m.observeVoterSet(set)
	return nil
}

// observeVoterSet stores the set if its epoch is higher than that of the known set. Within an
// epoch an active set replaces a pending one.
func (m *Manager) observeVoterSet(set *claim.VoterSet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if set.Service != m.service {
		return
	}
	if m.voterSet == nil || set.Epoch > m.voterSet.Epoch || (set.Epoch == m.voterSet.Epoch && set.Active) {
		m.voterSet = set
	}
}
