// Package claims drives the claim protocol of internal/mesh/core/claim for the
// service beside a node: it asks the voters, answers as a voter, and changes the
// voter set through the platform when nodes come and go.
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

// Peers sends claim messages to other nodes. Errors mean that no answer came.
type Peers interface {
	Vote(ctx context.Context, address string, vote *wire.Vote) (*claim.Reply, error)
	Seal(ctx context.Context, address string, request *wire.SealRequest) (*wire.SealReply, error)
	Install(ctx context.Context, address string, request *wire.InstallRequest) (*wire.SealReply, error)
	NotifyVoterSet(ctx context.Context, address string, notice *wire.VoterSetNotice) error
	Incarnation(ctx context.Context, address string) (string, error)
}

// Bounds of the manager.
const (
	maxKeys          = 100_000
	maxAnswerBytes   = 8 << 20
	maxOneAnswer     = 64 << 10
	voteTimeout      = 300 * time.Millisecond
	claimTimeout     = time.Second
	roundPause       = 4 * time.Millisecond
	reconcileEvery   = time.Second     // while the voter set is out of step
	probeEvery       = 3 * time.Second // in quiet times: one node of the service is asked
	transferTimeout  = 2 * time.Second
	reconcileAtStart = 50 * time.Millisecond
)

// Options are what a manager is made of.
type Options struct {
	Mesh    string
	Self    claim.Executor
	Store   platform.Store // nil: voter sets cannot change
	Peers   Peers
	Metrics *telemetry.Metrics
	Log     *logrus.Entry
}

// Manager is the claim protocol of one node. It is safe for concurrent use.
type Manager struct {
	options  Options
	attempts atomic.Uint64

	mutex   sync.Mutex
	table   *claim.Table
	voter   *claim.Voter
	set     *claim.VoterSet // newest known
	service string
	nodes   []bundle.Node // of the service
	wake    chan struct{}
}

var _ dataplane.Claims = (*Manager)(nil)

// New makes the manager of a node that has just started, without memory.
func New(options Options) *Manager {
	return &Manager{
		options: options, table: claim.NewTable(maxKeys, maxAnswerBytes, maxOneAnswer), voter: claim.NewVoter(maxKeys),
		wake: make(chan struct{}, 1),
	}
}

// SetService tells the manager which service the node serves and its nodes.
func (m *Manager) SetService(service string, nodes []bundle.Node) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.service, m.nodes = service, nodes
	m.poke()
}

func (m *Manager) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// VoterEpoch gives the epoch that the node votes in; 0 when it does not vote.
func (m *Manager) VoterEpoch() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.voter.Epoch()
}

// Lookup implements dataplane.Claims.
func (m *Manager) Lookup(key string) (claim.Phase, *claim.Answer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Peek(key)
}

// NotStarted implements dataplane.Claims.
func (m *Manager) NotStarted(key string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.NotStarted(key)
}

// Lose implements dataplane.Claims.
func (m *Manager) Lose(key string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.Lose(key)
}

// Complete implements dataplane.Claims.
func (m *Manager) Complete(key string, answer *claim.Answer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.table.Complete(key, answer)
}

// Begin implements dataplane.Claims.
func (m *Manager) Begin(ctx context.Context, key string) dataplane.Claimed {
	m.mutex.Lock()
	phase, answer, full := m.table.Begin(key)
	set, service := m.set, m.service
	m.mutex.Unlock()
	switch {
	case full:
		return m.result(claimed(outcome.NotRun, outcome.ReasonClaimsFull))
	case phase == claim.PhaseDone && answer != nil:
		return m.result(dataplane.Claimed{Kept: answer, Reason: outcome.ReasonKept})
	case phase == claim.PhaseDone:
		return m.result(claimed(outcome.Unknown, outcome.ReasonAnswerNotKept))
	case phase == claim.PhaseUnknown:
		return m.result(claimed(outcome.Unknown, outcome.ReasonExecutorLost))
	case phase != claim.PhaseAbsent:
		return m.result(claimed(outcome.Unknown, outcome.ReasonInProgress))
	}
	return m.result(m.claim(ctx, key, service, set))
}

func claimed(how outcome.Outcome, reason outcome.Reason) dataplane.Claimed {
	return dataplane.Claimed{Outcome: how, Reason: reason}
}

func (m *Manager) result(result dataplane.Claimed) dataplane.Claimed {
	m.options.Metrics.Claims.WithLabelValues(string(result.Reason)).Inc()
	return result
}

// claim has the voters choose the key's executor and grants the key if that is
// this node [Run]. In every other case the key is given up here.
func (m *Manager) claim(ctx context.Context, key, service string, set *claim.VoterSet) dataplane.Claimed {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	executor, refusal, rounds := m.choose(ctx, key, service, set)
	numbers := []explain.Number{
		{Name: "claim_ms", Value: float64(time.Since(started)) / float64(time.Millisecond)},
		{Name: "messages", Value: float64(rounds)},
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if executor == m.options.Self && ctx.Err() == nil && m.table.Grant(key) {
		return dataplane.Claimed{Run: true, Reason: outcome.ReasonGranted, Executor: executor.Node, Numbers: numbers}
	}
	m.table.GiveUp(key)
	result := claimed(outcome.NotRun, outcome.ReasonNoQuorum)
	result.Numbers = numbers
	switch {
	case executor == m.options.Self, executor.Zero():
		if refusal == claim.RefusedFull {
			result.Reason = outcome.ReasonClaimsFull
		}
		if refusal == claim.RefusedEpoch || refusal == claim.RefusedNotVoter {
			m.poke()
		}
	case executor.Node == m.options.Self.Node: // an earlier run of this node, whose memory is gone
		result.Outcome, result.Reason = outcome.Unknown, outcome.ReasonExecutorLost
	default:
		result.Outcome, result.Reason, result.Executor = outcome.Unknown, outcome.ReasonElsewhere, executor.Node
	}
	return result
}

// choose runs one proposal. The zero executor means that no majority went along.
func (m *Manager) choose(ctx context.Context, key, service string, set *claim.VoterSet) (claim.Executor, claim.Refusal, int) {
	if set == nil || !set.Active || len(set.Members) == 0 {
		return claim.Executor{}, claim.RefusedEpoch, 0
	}
	proposal := claim.NewProposal(key, set.Epoch, len(set.Members), m.options.Self, set.Owner(key) == m.options.Self, m.attempts.Add(1))
	messages := 0
	for {
		step := m.round(ctx, proposal, service, set, &messages)
		switch step {
		case claim.StepChosen:
			return proposal.Chosen(), claim.RefusedNone, messages
		case claim.StepFailed, claim.StepWait:
			return claim.Executor{}, proposal.Refusal(), messages
		}
		if proposal.Request().Prepare { // lost to another ballot: let the other finish
			select {
			case <-time.After(rand.N(roundPause)):
			case <-ctx.Done():
				return claim.Executor{}, proposal.Refusal(), messages
			}
		}
	}
}

// round sends the proposal's request to all voters and feeds the replies until
// it takes a step. Late replies go to the round's own channel and are dropped.
func (m *Manager) round(ctx context.Context, proposal *claim.Proposal, service string, set *claim.VoterSet, messages *int) claim.Step {
	request := proposal.Request()
	replies := make(chan *claim.Reply, len(set.Members))
	for _, member := range set.Members {
		*messages++
		go func() { replies <- m.ask(ctx, service, member, request) }()
	}
	for range set.Members {
		step := claim.StepWait
		if reply := <-replies; reply != nil {
			step = proposal.Reply(*reply)
		} else {
			step = proposal.Lost()
		}
		if step != claim.StepWait {
			return step
		}
	}
	return claim.StepFailed
}

// ask sends a request to one voter; nil when no answer came.
func (m *Manager) ask(ctx context.Context, service string, member claim.Executor, request claim.Request) *claim.Reply {
	if member == m.options.Self {
		reply := m.HandleVote(&wire.Vote{Service: service, Voter: member.Incarnation, Request: request})
		return &reply
	}
	address := m.address(member.Node)
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

func (m *Manager) address(node string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, known := range m.nodes {
		if known.Name == node {
			return known.Address
		}
	}
	return ""
}

// HandleVote answers as a voter [Promise] [Accept].
func (m *Manager) HandleVote(vote *wire.Vote) claim.Reply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if vote.Voter != m.options.Self.Incarnation || vote.Service != m.service {
		return claim.Reply{Refusal: claim.RefusedNotVoter}
	}
	return m.voter.Handle(vote.Request)
}

// HandleSeal ends this voter's part in an epoch [Seal].
func (m *Manager) HandleSeal(request *wire.SealRequest) *wire.SealReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if request.Voter != m.options.Self.Incarnation || request.Service != m.service {
		return &wire.SealReply{Refusal: string(claim.RefusedNotVoter)}
	}
	entries, installed, refusal := m.voter.Seal(request.Epoch)
	return &wire.SealReply{Refusal: string(refusal), Installed: installed, Entries: entries}
}

// HandleInstall makes this voter active in an epoch [Install].
func (m *Manager) HandleInstall(request *wire.InstallRequest) *wire.SealReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if request.Voter != m.options.Self.Incarnation || request.Service != m.service {
		return &wire.SealReply{Refusal: string(claim.RefusedNotVoter)}
	}
	refusal := m.voter.Install(request.Epoch, request.Entries)
	m.options.Metrics.VoterEpoch.Set(float64(m.voter.Epoch()))
	return &wire.SealReply{Refusal: string(refusal)}
}

// HandleNotice takes a voter set that another node has made active.
func (m *Manager) HandleNotice(notice *wire.VoterSetNotice) error {
	set := &claim.VoterSet{}
	if err := json.Unmarshal(notice.Body, set); err != nil {
		return err
	}
	m.learn(set)
	return nil
}

// learn keeps the newest voter set; an active one wins over the same pending.
func (m *Manager) learn(set *claim.VoterSet) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if set.Service != m.service {
		return
	}
	if m.set == nil || set.Epoch > m.set.Epoch || (set.Epoch == m.set.Epoch && set.Active) {
		m.set = set
	}
}
