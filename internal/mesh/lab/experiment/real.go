package experiment

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/cluster"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/emulator"
	"github.com/landingmast/landingmast/internal/mesh/lab/load"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
)

// RealScale is the factor by which service times are raised and rates lowered in
// runs with real processes, so that a whole deployment fits on one machine.
const RealScale = 8

// realRun is a run of an experiment with real processes.
type realRun struct {
	experiment *Experiment
	deployment *deployment.Deployment
	cluster    *cluster.Cluster
	startTime  time.Time
	group      sync.WaitGroup
	mutex      sync.Mutex
	answers    []load.Answer
}

// Real runs an experiment with real processes and returns a result like that of
// the emulator, and the failed attempts by class and reason. Rates are those of
// the emulator divided by RealScale.
func Real(ctx context.Context, e *Experiment, options cluster.Options, seed uint64) (*emulator.Result, map[string]int, error) {
	d, err := deployment.ByName(e.Deployment)
	if err != nil {
		return nil, nil, err
	}
	d.Mix = mixWithShares(d, e.Mix)
	options.Deployment, options.Relays = d, true
	running, err := cluster.Start(ctx, options)
	if err != nil {
		return nil, nil, err
	}
	defer running.Stop()
	run := &realRun{experiment: e, deployment: d, cluster: running}
	for _, service := range d.Services {
		if err := run.setSlowdown(service.Name, "", 1); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(2 * time.Second) // let the voter sets form
	run.startTime = time.Now()
	for _, event := range e.Events {
		run.group.Go(func() { run.apply(ctx, event) })
	}
	run.traffic(ctx, seed)
	run.group.Wait()
	return run.result(), run.failures(), nil
}

// failures counts attempts without a complete answer by class and reason.
func (r *realRun) failures() map[string]int {
	counts := map[string]int{}
	for _, answer := range r.answers {
		if !answer.Complete {
			reason := answer.Reason
			if answer.Outcome == load.Answered {
				reason = fmt.Sprint(answer.Status)
			}
			if answer.Outcome == load.Broken {
				reason = "connection"
			}
			counts[answer.Class+" "+answer.Outcome+" "+reason]++
		}
	}
	return counts
}

func (r *realRun) sleepUntil(span time.Duration) { time.Sleep(time.Until(r.startTime.Add(span))) }

// forEachNode calls a function for the nodes of a service, or for a single target.
func (r *realRun) forEachNode(service, target string, apply func(*cluster.Process) error) error {
	for _, process := range r.cluster.Nodes {
		if process.Service != "" && process.Service == service && (target == "" || target == process.Name) {
			if err := apply(process); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *realRun) setSlowdown(service, target string, factor float64) error {
	return r.forEachNode(service, target, func(p *cluster.Process) error {
		return r.cluster.SetBehaviour(p, standin.Behaviour{Slowdown: RealScale * factor})
	})
}

// apply runs an event of the cluster; traffic handles the events of callers.
func (r *realRun) apply(ctx context.Context, event Event) {
	r.sleepUntil(time.Duration(event.At))
	switch event.Kind {
	case "slow":
		_ = r.setSlowdown(event.Service, event.Target, event.Factor)
		r.sleepUntil(time.Duration(event.Until))
		_ = r.setSlowdown(event.Service, event.Target, 1)
	case "reset":
		_ = r.forEachNode(event.Service, event.Target, func(p *cluster.Process) error {
			return r.cluster.SetBehaviour(p, standin.Behaviour{Slowdown: RealScale, FailRate: event.Factor})
		})
		r.sleepUntil(time.Duration(event.Until))
		_ = r.setSlowdown(event.Service, event.Target, 1)
	case "store_down":
		_ = r.cluster.SetFaults(standin.Faults{Down: true})
		r.sleepUntil(time.Duration(event.Until))
		_ = r.cluster.SetFaults(standin.Faults{})
	case "zone_lost":
		r.cutZone(event.Zone, cluster.LinkDown)
		r.sleepUntil(time.Duration(event.Until))
		r.cutZone(event.Zone, cluster.LinkUp)
	case "rolling_restart":
		r.restartAll(ctx, time.Duration(event.At), time.Duration(event.Until))
	}
}

// cutZone sets the links of all target nodes of a zone. Entry nodes stay
// connected, because the load generator does not fail over between entries.
func (r *realRun) cutZone(zone string, state cluster.LinkState) {
	for _, process := range r.cluster.Nodes {
		node, _ := r.cluster.Bundle(1).Node(process.Name)
		if process.Target != "" && node.Zone == zone {
			process.Relay.SetLink(state)
		}
	}
}

func (r *realRun) restartAll(ctx context.Context, from, until time.Duration) {
	var targets []*cluster.Process
	for _, process := range r.cluster.Nodes {
		if process.Target != "" {
			targets = append(targets, process)
		}
	}
	for index, process := range targets {
		r.sleepUntil(from + (until-from)*time.Duration(index)/time.Duration(len(targets)))
		if ctx.Err() != nil {
			return
		}
		_ = r.cluster.Signal(process, syscall.SIGTERM)
		_ = r.cluster.Wait(process)
		_ = r.cluster.StartNode(process)
	}
}

// traffic runs the load generator in phases that are bounded by events.
func (r *realRun) traffic(ctx context.Context, seed uint64) {
	boundaries := map[time.Duration]bool{0: true, time.Duration(r.experiment.Length): true}
	for _, event := range r.experiment.Events {
		boundaries[time.Duration(event.At)], boundaries[time.Duration(event.Until)] = true, true
	}
	var times []time.Duration
	for boundary := range boundaries {
		times = append(times, boundary)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	for phase := 0; phase+1 < len(times); phase++ {
		r.sleepUntil(times[phase])
		options := r.phase(times[phase], times[phase+1])
		options.Seed = seed*100 + uint64(phase)
		r.group.Go(func() {
			answers := load.Run(ctx, options)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.answers = append(r.answers, answers...)
		})
	}
}

func (r *realRun) phase(from, until time.Duration) load.Options {
	capacity, _ := r.deployment.Capacity(r.deployment.Mix)
	mesh := *r.deployment
	options := load.Options{
		Deployment: &mesh, Entries: r.cluster.Entries(), Rate: capacity * r.experiment.Load / RealScale, Duration: until - from, Users: 500, MaxRetries: r.experiment.Resend,
		Backoff: time.Duration(r.experiment.Backoff),
	}
	for _, event := range r.experiment.Events {
		if time.Duration(event.At) > from || time.Duration(event.Until) <= from {
			continue
		}
		switch event.Kind {
		case "surge":
			options.Rate *= event.Factor
		case "resend":
			options.MaxRetries, options.Backoff = event.Resend, time.Duration(event.Backoff)
		case "mix":
			mesh.Mix = mixWithShares(r.deployment, event.Mix)
		}
	}
	return options
}

// result aggregates user requests by the time of their first attempt.
func (r *realRun) result() *emulator.Result {
	length := time.Duration(r.experiment.Length)
	result := &emulator.Result{Windows: make([]emulator.Window, int(length/emulator.WindowLength))}
	for index := range result.Windows {
		result.Windows[index].Start = time.Duration(index) * emulator.WindowLength
	}
	classIndex := map[string]int{}
	for index, traffic := range r.deployment.Mix {
		classIndex[traffic.Class] = index
		result.Classes = append(result.Classes, emulator.ClassResult{Class: traffic.Class})
	}
	for _, request := range groupByRequest(r.answers) {
		class := &result.Classes[classIndex[request.class]]
		class.Requests++
		result.Offered++
		index := min(max(int(request.first.Sub(r.startTime)/emulator.WindowLength), 0), len(result.Windows)-1)
		result.Windows[index].Offered++
		if request.whole {
			class.Complete++
			result.Complete++
			result.Windows[index].Complete++
		}
	}
	return result
}

type userRequest struct {
	class string
	first time.Time
	whole bool
}

// groupByRequest merges the attempts of each user request.
func groupByRequest(answers []load.Answer) map[string]*userRequest {
	joined := map[string]*userRequest{}
	for _, answer := range answers {
		name := answer.Request()
		request := joined[name]
		if request == nil {
			request = &userRequest{class: answer.Class, first: answer.Sent}
			joined[name] = request
		}
		if answer.Sent.Before(request.first) {
			request.first = answer.Sent
		}
		request.whole = request.whole || answer.Complete
	}
	return joined
}

// MeasureReal runs an experiment with real processes and computes its metrics
// relative to the attainable rate, scaled by RealScale.
func MeasureReal(ctx context.Context, e *Experiment, options cluster.Options, seed uint64) (Measure, error) {
	result, failures, err := Real(ctx, e, options, seed)
	if err != nil {
		return Measure{}, err
	}
	measured, err := measure(e, seed, result)
	measured.Failures = failures
	measured.Goodput *= RealScale
	measured.GoodputAfter *= RealScale
	return measured, err
}
