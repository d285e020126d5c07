// Package faults runs a deployment as real processes under a seeded schedule of
// faults and checks the promises of docs/mesh/GUARANTEES.md over what callers saw and
// what back ends really ran.
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

// Kind names a fault.
type Kind string

// The faults.
const (
	Kill        Kind = "kill"         // SIGKILL, started again without memory
	Freeze      Kind = "freeze"       // SIGSTOP, then SIGCONT
	Stop        Kind = "planned stop" // SIGTERM, started again
	Cut         Kind = "cut"          // no connection reaches the node
	CutOneWay   Kind = "cut one way"  // requests reach the node, answers do not come back
	StoreDown   Kind = "store down"
	StoreSlow   Kind = "store slow"
	StoreLimit  Kind = "store limited"
	StoreLoses  Kind = "store loses answers"
	StaleList   Kind = "machine list stale"
	TwoRolls    Kind = "two operators roll"
	BackendSlow Kind = "back end slow"
	BackendFail Kind = "back end resets"
)

// Kinds are all faults.
var Kinds = []Kind{Kill, Freeze, Stop, Cut, CutOneWay, StoreDown, StoreSlow, StoreLimit, StoreLoses, StaleList, TwoRolls, BackendSlow, BackendFail}

// Options set a run.
type Options struct {
	Cluster  cluster.Options
	Seed     uint64
	Duration time.Duration // of traffic and faults
	Rate     float64
	Kinds    []Kind
	Pause    time.Duration // mean time between two faults
}

// Result is what a run came to.
type Result struct {
	Seed    uint64
	Faults  map[Kind]int
	Answers int
	Whole   int
	Unknown int
	NotRun  int
	Checks  []check.Check
}

// Violations counts the checks that did not hold.
func (r *Result) Violations() int {
	count := 0
	for _, one := range r.Checks {
		if !one.Held {
			count++
		}
	}
	return count
}

// injector carries out faults.
type injector struct {
	cluster *cluster.Cluster
	random  *rand.Rand
	mutex   sync.Mutex
	busy    map[string]bool // nodes under a fault
	faults  map[Kind]int
	group   sync.WaitGroup
	rolled  int64 // highest version that an operator was told is rolled
	store   bool  // the platform is under a fault
}

// Run runs one schedule.
func Run(ctx context.Context, options Options) (*Result, error) {
	options.Cluster.Relays = true
	running, err := cluster.Start(ctx, options.Cluster)
	if err != nil {
		return nil, err
	}
	defer running.Stop()
	inject := &injector{
		cluster: running, random: rand.New(rand.NewPCG(options.Seed, 3)), busy: map[string]bool{}, faults: map[Kind]int{}, rolled: 1,
	}
	watch := newWatch(running)
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	watch.group.Go(func() { watch.run(watching) })

	traffic := make(chan []load.Answer, 1)
	go func() {
		traffic <- load.Run(ctx, load.Options{
			Deployment: running.Deployment, Entries: running.Entries(), Rate: options.Rate, Duration: options.Duration, Users: 100, Resend: 4, Seed: options.Seed,
		})
	}()
	inject.schedule(ctx, options)
	answers := <-traffic
	inject.group.Wait()
	result := &Result{Seed: options.Seed, Faults: inject.faults}
	err = result.judge(ctx, inject, watch, answers, stopWatching)
	return result, err
}

// schedule injects faults until the traffic ends; two may be on at a time.
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
	case StoreLimit:
		i.storeFault(kind, standin.Faults{RateLimit: 2}, span)
	case StoreLoses:
		i.storeFault(kind, standin.Faults{LoseAnswers: true}, span)
	case StaleList:
		i.storeFault(kind, standin.Faults{MachineLag: time.Hour}, span)
	case TwoRolls:
		i.twoRolls(ctx)
	default:
		i.nodeFault(kind, node, span)
	}
}

func (i *injector) storeFault(kind Kind, faults standin.Faults, span time.Duration) {
	i.mutex.Lock()
	taken := i.store
	i.store = true
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
	i.store = false
	i.mutex.Unlock()
}

// reserve takes a node for a fault. At most one node of a service is killed or
// stopped at a time: the voters' memory is kept by a majority.
func (i *injector) reserve(kind Kind, node *cluster.Process) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	group := node.Service
	if i.busy[node.Name] || i.busy["service "+group] || (node.Target == "" && kind != Kill && kind != Freeze && kind != Stop) {
		return false
	}
	i.busy[node.Name], i.busy["service "+group] = true, true
	i.faults[kind]++
	return true
}

func (i *injector) free(node *cluster.Process) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.busy, node.Name)
	delete(i.busy, "service "+node.Service)
}

// settleTime lets the voter set take a restarted node in before the next one of
// its service is hit.
const settleTime = 2500 * time.Millisecond

func (i *injector) nodeFault(kind Kind, node *cluster.Process, span time.Duration) {
	if !i.reserve(kind, node) {
		return
	}
	defer i.free(node)
	switch kind {
	case Kill:
		i.cluster.Kill(node)
		time.Sleep(span)
		_ = i.cluster.StartNode(node)
		time.Sleep(settleTime)
	case Stop:
		_ = i.cluster.Signal(node, syscall.SIGTERM)
		_ = i.cluster.Wait(node)
		_ = i.cluster.StartNode(node)
		time.Sleep(settleTime)
	case Freeze:
		_ = i.cluster.Signal(node, syscall.SIGSTOP)
		time.Sleep(span)
		_ = i.cluster.Signal(node, syscall.SIGCONT)
		time.Sleep(settleTime)
	case Cut:
		node.Relay.Set(cluster.CutBoth)
		time.Sleep(span)
		node.Relay.Set(cluster.CutNothing)
	case CutOneWay:
		node.Relay.Set(cluster.CutAnswers)
		time.Sleep(span)
		node.Relay.Set(cluster.CutNothing)
	case BackendSlow:
		_ = i.cluster.SetBehaviour(node, standin.Behaviour{Slowdown: 5})
		time.Sleep(span)
		_ = i.cluster.SetBehaviour(node, standin.Behaviour{})
	case BackendFail:
		_ = i.cluster.SetBehaviour(node, standin.Behaviour{FailRate: 0.5})
		time.Sleep(span)
		_ = i.cluster.SetBehaviour(node, standin.Behaviour{})
	}
}

// twoRolls has two operators roll the same next version at the same moment. One
// wins; the other is told of the conflict, or that the platform failed.
func (i *injector) twoRolls(ctx context.Context) {
	i.mutex.Lock()
	i.faults[TwoRolls]++
	version := i.rolled + 1
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
			i.rolled = max(i.rolled, version)
			i.mutex.Unlock()
		}
	}
}

// watch follows the bundle version of every node while the faults go on.
type watch struct {
	cluster  *cluster.Cluster
	group    sync.WaitGroup
	mutex    sync.Mutex
	highest  map[string]int64
	reverted []string
	looks    int
}

func newWatch(running *cluster.Cluster) *watch {
	return &watch{cluster: running, highest: map[string]int64{}}
}

const watchInterval = 150 * time.Millisecond

func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, process := range w.cluster.Nodes {
			w.look(ctx, process)
		}
		time.Sleep(watchInterval)
	}
}

func (w *watch) look(ctx context.Context, process *cluster.Process) {
	ctx, cancel := context.WithTimeout(ctx, watchInterval)
	defer cancel()
	status, err := adminapi.New(process.Admin).Status(ctx)
	if err != nil || status.BundleVersion == 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.looks++
	if status.BundleVersion < w.highest[process.Name] {
		w.reverted = append(w.reverted, fmt.Sprintf("%s from %d to %d", process.Name, w.highest[process.Name], status.BundleVersion))
	}
	w.highest[process.Name] = max(w.highest[process.Name], status.BundleVersion)
}
