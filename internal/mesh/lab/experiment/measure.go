package experiment

import (
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/emulator"
)

// Measure holds the metrics of one run of one variant.
type Measure struct {
	Seed            uint64
	Goodput         float64 // completed requests during the trigger, as a share of the attainable rate
	GoodputAfter    float64 // the same over the last steadyWindow of the run
	Recovered       bool
	Recovery        time.Duration
	CriticalShare   float64 // completed share of the most important class over the whole run
	Wasted          float64 // share of back-end work spent on requests that did not complete
	Retries         float64 // by nodes, per user request
	Shed            []int   // refusals by importance level
	RefusedEarly    int     // refusals by upstream hops
	OrderViolations int     // refusals while less important calls were queued at the same node
	Windows         []emulator.Window
	Classes         []emulator.ClassResult
	Failures        map[string]int // real runs only: attempts without a complete answer, by class and reason
}

// Row holds the runs of one variant, one per seed.
type Row struct {
	Variant string
	Runs    []Measure
}

// Report holds the results of one experiment.
type Report struct {
	Experiment *Experiment
	Rows       []Row
}

const (
	rampUp       = time.Second // start of the trigger, excluded from the goodput
	steadyWindow = 4 * time.Second
)

// measure computes the metrics of a run.
func measure(e *Experiment, seed uint64, result *emulator.Result) (Measure, error) {
	from, until := e.Trigger()
	measured := Measure{
		Seed: seed, Wasted: result.Wasted, RefusedEarly: result.RefusedEarly, OrderViolations: result.OrderViolations, Shed: result.ShedByLevel,
		Windows: result.Windows, Classes: result.Classes,
	}
	if result.Offered > 0 {
		measured.Retries = float64(result.Retries) / float64(result.Offered)
	}
	middle, err := demandAt(e, (from+until)/2)
	if err != nil {
		return measured, err
	}
	_, attainable := middle.attainable()
	_, goodput := result.Between(from+rampUp, until)
	measured.Goodput = goodput / attainable
	end, err := demandAt(e, time.Duration(e.Length)-1)
	if err != nil {
		return measured, err
	}
	_, attainableAfter := end.attainable()
	_, after := result.Between(time.Duration(e.Length)-steadyWindow, time.Duration(e.Length))
	measured.GoodputAfter = after / attainableAfter
	measured.Recovery, measured.Recovered = result.Recovery(from-steadyWindow, until)
	measured.CriticalShare = criticalShare(middle, result.Classes)
	return measured, nil
}

// criticalShare returns the completed share of the most important class.
func criticalShare(n *demand, classes []emulator.ClassResult) float64 {
	best := -1
	for index, class := range classes {
		if best < 0 || n.levelOf(class.Class) < n.levelOf(classes[best].Class) {
			best = index
		}
	}
	if best < 0 || classes[best].Requests == 0 {
		return 1
	}
	return float64(classes[best].Complete) / float64(classes[best].Requests)
}

// spread returns the median, the highest and the lowest value over all runs.
func (r *Row) spread(value func(Measure) float64) (median, highest, lowest float64) {
	values := make([]float64, 0, len(r.Runs))
	for _, run := range r.Runs {
		values = append(values, value(run))
	}
	sort.Float64s(values)
	return values[len(values)/2], values[len(values)-1], values[0]
}

// neverRecovered is the recovery time in seconds of a run that did not recover.
const neverRecovered = 1e9

func recoverySeconds(run Measure) float64 {
	if !run.Recovered {
		return neverRecovered
	}
	return run.Recovery.Seconds()
}
