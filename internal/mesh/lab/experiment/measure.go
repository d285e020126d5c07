package experiment

import (
	"sort"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/lab/emulator"
)

// Measure is what one run of one variant came to.
type Measure struct {
	Seed      uint64
	Goodput   float64 // whole requests during the trigger, share of what was possible
	After     float64 // the same in the last four seconds
	Recovered bool
	Recovery  time.Duration
	Critical  float64 // share of the most important class that completed, whole run
	Wasted    float64 // share of the back ends' work
	Retries   float64 // by nodes, for each user request
	Shed      []int   // by level
	Early     int     // refusals above the target
	Wrong     int     // refusals while less important work waited in the same queue
	Windows   []emulator.Window
	Classes   []emulator.ClassResult
	Failures  map[string]int // of real runs: sendings without a whole answer, by class and reason
}

// Row sums up the runs of one variant over all seeds.
type Row struct {
	Variant string
	Runs    []Measure
}

// Report is what came out of one experiment.
type Report struct {
	Experiment *Experiment
	Rows       []Row
}

const (
	rampTime  = time.Second // of the trigger, left out of the goodput
	beforeFor = 4 * time.Second
)

// measure reads a run.
func measure(e *Experiment, seed uint64, result *emulator.Result) (Measure, error) {
	from, until := e.Trigger()
	measured := Measure{
		Seed: seed, Wasted: result.Wasted, Early: result.RefusedEarly, Wrong: result.WrongOrder, Shed: result.ShedByLevel,
		Windows: result.Windows, Classes: result.Classes,
	}
	if result.Offered > 0 {
		measured.Retries = float64(result.Retries) / float64(result.Offered)
	}
	middle, err := demandAt(e, (from+until)/2)
	if err != nil {
		return measured, err
	}
	_, possible := middle.possible()
	_, goodput := result.Between(from+rampTime, until)
	measured.Goodput = goodput / possible
	end, err := demandAt(e, time.Duration(e.Length)-1)
	if err != nil {
		return measured, err
	}
	_, possibleAfter := end.possible()
	_, after := result.Between(time.Duration(e.Length)-beforeFor, time.Duration(e.Length))
	measured.After = after / possibleAfter
	measured.Recovery, measured.Recovered = result.Recovery(from-beforeFor, until)
	measured.Critical = criticalShare(middle, result.Classes)
	return measured, nil
}

// criticalShare gives the share of the most important class that completed.
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
	return float64(classes[best].Whole) / float64(classes[best].Requests)
}

// Worst and Median give a value over the runs; less is worse when falling.
func (r *Row) spread(value func(Measure) float64) (median, worst float64, least float64) {
	values := make([]float64, 0, len(r.Runs))
	for _, run := range r.Runs {
		values = append(values, value(run))
	}
	sort.Float64s(values)
	return values[len(values)/2], values[len(values)-1], values[0]
}

// never stands for a recovery that was not seen, in seconds.
const never = 1e9

func recoverySeconds(run Measure) float64 {
	if !run.Recovered {
		return never
	}
	return run.Recovery.Seconds()
}
