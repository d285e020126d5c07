// Package faults runs a deployment as real processes under a seeded fault
// schedule and checks the guarantees of docs/mesh/GUARANTEES.md against the answers
// of callers and the executions of back ends.
package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/adminapi"
	"github.com/landingmast/landingmast/internal/mesh/lab/check"
	"github.com/landingmast/landingmast/internal/mesh/lab/cluster"
	"github.com/landingmast/landingmast/internal/mesh/lab/load"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
	"github.com/landingmast/landingmast/internal/units"
)

// Kind is a type of fault.
type Kind string

// Fault types.
const (
	Kill                Kind = "kill"         // SIGKILL, then a restart with empty state
	Freeze              Kind = "freeze"       // SIGSTOP, then SIGCONT
	PlannedStop         Kind = "planned stop" // SIGTERM, then a restart
	Partition           Kind = "cut"          // peers cannot connect to the node
	OneWayPartition     Kind = "cut one way"  // requests reach the node, responses are dropped
	StoreDown           Kind = "store down"
	StoreSlow           Kind = "store slow"
	StoreRateLimited    Kind = "store limited"
	StoreDropsResponses Kind = "store loses answers"
	StaleMachineList    Kind = "machine list stale"
	ConcurrentRolls     Kind = "two operators roll"
	BackendSlow         Kind = "back end slow"
	BackendReset        Kind = "back end resets"
)

// Kinds lists all fault types.
var Kinds = []Kind{Kill, Freeze, PlannedStop, Partition, OneWayPartition, StoreDown, StoreSlow, StoreRateLimited, StoreDropsResponses, StaleMachineList, ConcurrentRolls, BackendSlow, BackendReset}

// Options configures a run.
type Options struct {
	Cluster  cluster.Options
	Seed     uint64
	Duration time.Duration // of traffic and fault injection
	Rate     float64
	Kinds    []Kind
	Pause    time.Duration // mean interval between faults
}

// Result summarizes a run.
type Result struct {
	Seed     uint64
	Faults   map[Kind]int
	Answers  int
	Complete int
	Unknown  int
	NotRun   int
	Checks   []check.Check
}

// Violations returns the number of failed checks.
func (r *Result) Violations() int {
	count := 0
	for _, one := range r.Checks {
		if !one.Passed {
			count++
		}
	}
	return count
}

// injector applies faults to a cluster.
type injector struct {
	cluster       *cluster.Cluster
	random        *rand.Rand
	mutex         sync.Mutex
	busy          map[string]bool // nodes and services with an active fault
	faults        map[Kind]int
	group         sync.WaitGroup
	rolledVersion int64 // highest bundle version acknowledged to an operator
	storeBusy     bool  // the platform has an active fault
}

// Run runs traffic and a fault schedule against a new cluster and checks the
// guarantees.
func Run(ctx context.Context, options Options) (*Result, error) {
	options.Cluster.Relays = true
	running, err := cluster.Start(ctx, options.Cluster)
	if err != nil {
		return nil, err
	}
	defer running.Stop()
	faultInjector := &injector{
		cluster: running, random: rand.New(rand.NewPCG(options.Seed, 3)), busy: map[string]bool{}, faults: map[Kind]int{}, rolledVersion: 1,
	}
	monitor := newVersionMonitor(running)
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	monitor.group.Go(func() { monitor.run(monitorCtx) })

	traffic := make(chan []load.Answer, 1)
	go func() {
		traffic <- load.Run(ctx, load.Options{
			Deployment: running.Deployment, Entries: running.Entries(), Rate: options.Rate, Duration: options.Duration, Users: 100, MaxRetries: 4, Seed: options.Seed,
		})
	}()
	faultInjector.schedule(ctx, options)
	answers := <-traffic
	faultInjector.group.Wait()
	result := &Result{Seed: options.Seed, Faults: faultInjector.faults}
	err = result.evaluate(ctx, faultInjector, monitor, answers, stopMonitor)
	return result, err
}

// schedule injects faults at random intervals until the traffic ends. Faults may
// overlap.
func (i *injector) schedule(ctx context.Context, options Options) {
	end := time.Now().Add(options.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(options.Pause/2 + time.Duration(i.random.Int64N(int64(options.Pause))))
		kind := options.Kinds[i.random.IntN(len(options.Kinds))]
		span := 300*time.Millisecond + time.Duration(i.random.Int64N(int64(1500*time.Millisecond)))
		node := i.cluster.Nodes[i.random.IntN(len(i.cluster.Nodes))]
		i.group.Go(func() { i.inject(ctx, kind, node, span) })
	}
}

func (i *injector) inject(ctx context.Context, kind Kind, node *cluster.Process, span time.Duration) {
	switch kind {
	case StoreDown:
		i.storeFault(kind, standin.Faults{Down: true}, span)
	case StoreSlow:
		i.storeFault(kind, standin.Faults{Delay: 400 * time.Millisecond}, span)
	case StoreRateLimited:
		i.storeFault(kind, standin.Faults{RateLimit: 2}, span)
	case StoreDropsResponses:
		i.storeFault(kind, standin.Faults{DropResponses: true}, span)
	case StaleMachineList:
		i.storeFault(kind, standin.Faults{CatalogLag: time.Hour}, span)
	case ConcurrentRolls:
		i.concurrentRolls(ctx)
	default:
		i.nodeFault(kind, node, span)
	}
}

func (i *injector) storeFault(kind Kind, faults standin.Faults, span time.Duration) {
	i.mutex.Lock()
	taken := i.storeBusy
	i.storeBusy = true
	if !taken {
		i.faults[kind]++
	}
	i.mutex.Unlock()
	if taken {
		return
	}
	_ = i.cluster.SetFaults(faults)
	time.Sleep(span)
	_ = i.cluster.SetFaults(standin.Faults{})
	i.mutex.Lock()
	i.storeBusy = false
	i.mutex.Unlock()
}

// reserve marks a node as faulty, and reports false if the fault cannot be
// injected now. At most one node of a service has a fault at a time, so that a
// majority of its voters keeps its state.
func (i *injector) reserve(kind Kind, node *cluster.Process) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	group := node.Service
	if i.busy[node.Name] || i.busy["service "+group] || (node.Target == "" && kind != Kill && kind != Freeze && kind != PlannedStop) {
		return false
	}
	i.busy[node.Name], i.busy["service "+group] = true, true
	i.faults[kind]++
	return true
}

func (i *injector) release(node *cluster.Process) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.busy, node.Name)
	delete(i.busy, "service "+node.Service)
}

// settleTime is how long a restarted node has to rejoin the voter set before the
// next node of its service may fail.
const settleTime = 2500 * time.Millisecond

func (i *injector) nodeFault(kind Kind, node *cluster.Process, span time.Duration) {
	if !i.reserve(kind, node) {
		return
	}
	defer i.release(node)
	switch kind {
	case Kill:
		i.cluster.Kill(node)
		time.Sleep(span)
		_ = i.cluster.StartNode(node)
		time.Sleep(settleTime)
	case PlannedStop:
		_ = i.cluster.Signal(node, syscall.SIGTERM)
		_ = i.cluster.Wait(node)
		_ = i.cluster.StartNode(node)
		time.Sleep(settleTime)
	case Freeze:
		_ = i.cluster.Signal(node, syscall.SIGSTOP)
		time.Sleep(span)
		_ = i.cluster.Signal(node, syscall.SIGCONT)
		time.Sleep(settleTime)
	case Partition:
		node.Relay.SetLink(cluster.LinkDown)
		time.Sleep(span)
		node.Relay.SetLink(cluster.LinkUp)
	case OneWayPartition:
		node.Relay.SetLink(cluster.LinkDropResponses)
		time.Sleep(span)
		node.Relay.SetLink(cluster.LinkUp)
	case BackendSlow:
		_ = i.cluster.SetBehaviour(node, standin.Behaviour{Slowdown: 5})
		time.Sleep(span)
		_ = i.cluster.SetBehaviour(node, standin.Behaviour{})
	case BackendReset:
		_ = i.cluster.SetBehaviour(node, standin.Behaviour{FailRate: 0.5})
		time.Sleep(span)
		_ = i.cluster.SetBehaviour(node, standin.Behaviour{})
	}
}

// concurrentRolls publishes two different bundles with the same version
// concurrently. At most one succeeds; the other gets a conflict or a platform error.
func (i *injector) concurrentRolls(ctx context.Context) {
	i.mutex.Lock()
	i.faults[ConcurrentRolls]++
	version := i.rolledVersion + 1
	i.mutex.Unlock()
	type outcome struct{ err error }
	outcomes := make(chan outcome, 2)
	for operator := range 2 {
		go func() {
			wanted := i.cluster.Bundle(version)
			wanted.Classes[operator].Deadline += units.Duration(time.Millisecond * time.Duration(version))
			_, err := i.cluster.Roll(ctx, wanted)
			outcomes <- outcome{err}
		}()
	}
	for range 2 {
		one := <-outcomes
		if one.err == nil || failure.Is(one.err, failure.Conflict) {
			i.mutex.Lock()
			i.rolledVersion = max(i.rolledVersion, version)
			i.mutex.Unlock()
		}
	}
}

// versionMonitor polls the bundle version of every node and records rollbacks.
type versionMonitor struct {
	cluster      *cluster.Cluster
	group        sync.WaitGroup
	mutex        sync.Mutex
	highest      map[string]int64
	reverted     []string
	observations int
}

func newVersionMonitor(running *cluster.Cluster) *versionMonitor {
	return &versionMonitor{cluster: running, highest: map[string]int64{}}
}

const pollInterval = 150 * time.Millisecond

func (m *versionMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, process := range m.cluster.Nodes {
			m.poll(ctx, process)
		}
		time.Sleep(pollInterval)
	}
}

func (m *versionMonitor) poll(ctx context.Context, process *cluster.Process) {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	status, err := adminapi.New(process.Admin).Status(ctx)
	if err != nil || status.BundleVersion == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.observations++
	if status.BundleVersion < m.highest[process.Name] {
		m.reverted = append(m.reverted, fmt.Sprintf("%s from %d to %d", process.Name, m.highest[process.Name], status.BundleVersion))
	}
	m.highest[process.Name] = max(m.highest[process.Name], status.BundleVersion)
}
