package experiment

import (
	"fmt"
	"image/color"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/landingmast/landingmast/internal/mesh/lab/emulator"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// RunEmulated runs every variant of the experiments with every seed in virtual
// time, using all CPUs. The results do not depend on the number of CPUs.
func RunEmulated(experiments []*Experiment, variants []emulator.Variant, progress func(done, all int)) ([]*Report, error) {
	reports := make([]*Report, len(experiments))
	type job struct{ experiment, variant, seed int }
	var jobs []job
	for index, e := range experiments {
		reports[index] = &Report{Experiment: e}
		for variant := range variants {
			reports[index].Rows = append(reports[index].Rows, Row{Variant: variants[variant].Name, Runs: make([]Measure, len(e.Seeds))})
			for seed := range e.Seeds {
				jobs = append(jobs, job{index, variant, seed})
			}
		}
	}
	queue := make(chan job)
	var mutex sync.Mutex
	var first error
	done := 0
	var group sync.WaitGroup
	for range runtime.NumCPU() {
		group.Go(func() {
			for next := range queue {
				e := experiments[next.experiment]
				seed := e.Seeds[next.seed]
				measured, err := runOne(e, variants[next.variant], seed)
				mutex.Lock()
				reports[next.experiment].Rows[next.variant].Runs[next.seed] = measured
				if err != nil && first == nil {
					first = err
				}
				done++
				if progress != nil {
					progress(done, len(jobs))
				}
				mutex.Unlock()
			}
		})
	}
	for _, next := range jobs {
		queue <- next
	}
	close(queue)
	group.Wait()
	return reports, first
}

func runOne(e *Experiment, variant emulator.Variant, seed uint64) (Measure, error) {
	result, err := Emulate(e, variant, seed)
	if err != nil {
		return Measure{}, err
	}
	return measure(e, seed, result)
}

// Print writes the results as a table.
func (r *Report) Print(output io.Writer) {
	fmt.Fprintf(output, "\n%s: %s\n(%s)\n", r.Experiment.Name, r.Experiment.About, summary(r.Experiment))
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "variant\tgoodput\tworst\trecovery\tworst\tafter\tmost important\tworst\twasted\tworst\tretries\tshed by level\t")
	for index := range r.Rows {
		row := &r.Rows[index]
		goodput, _, goodputWorst := row.spread(func(m Measure) float64 { return m.Goodput })
		recovery, recoveryWorst, _ := row.spread(recoverySeconds)
		after, _, _ := row.spread(func(m Measure) float64 { return m.GoodputAfter })
		critical, _, criticalWorst := row.spread(func(m Measure) float64 { return m.CriticalShare })
		wasted, wastedWorst, _ := row.spread(func(m Measure) float64 { return m.Wasted })
		retries, _, _ := row.spread(func(m Measure) float64 { return m.Retries })
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%s\t\n", row.Variant, percent(goodput), percent(goodputWorst), seconds(recovery),
			seconds(recoveryWorst), percent(after), percent(critical), percent(criticalWorst), percent(wasted), percent(wastedWorst), retries, formatShed(row))
	}
	_ = table.Flush()
	for _, row := range r.Rows {
		for _, reason := range slices.Sorted(maps.Keys(row.Runs[0].Failures)) {
			fmt.Fprintf(output, "  %6d %s\n", row.Runs[0].Failures[reason], reason)
		}
	}
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", share*100) }

func seconds(span float64) string {
	if span >= neverRecovered {
		return "never"
	}
	return fmt.Sprintf("%.1fs", span)
}

// formatShed formats the refusals by level of the first run.
func formatShed(row *Row) string {
	parts := make([]string, 0, len(row.Runs[0].Shed))
	for _, count := range row.Runs[0].Shed {
		parts = append(parts, fmt.Sprint(count))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, "/")
}

// plottedVariants are the variants shown in plots.
var plottedVariants = []struct {
	variant string
	color   color.Color
}{
	{"landingmast", color.RGBA{R: 20, G: 90, B: 200, A: 255}},
	{"baseline", color.RGBA{R: 200, G: 60, B: 40, A: 255}},
}

// Plot writes an SVG of the share of completed requests over time for the first
// seed and returns its path.
func (r *Report) Plot(directory string) (string, error) {
	chart := plot.New()
	chart.Title.Text = r.Experiment.Name + ": user requests that completed, by time of arrival"
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = "share"
	chart.Y.Min, chart.Y.Max = 0, 1.05
	for _, shown := range plottedVariants {
		for index := range r.Rows {
			if r.Rows[index].Variant != shown.variant {
				continue
			}
			line, err := plotter.NewLine(points(r.Rows[index].Runs[0].Windows))
			if err != nil {
				return "", err
			}
			line.Color = shown.color
			chart.Add(line)
			chart.Legend.Add(shown.variant, line)
		}
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return "", err
	}
	file := filepath.Join(directory, r.Experiment.Name+".svg")
	return file, chart.Save(18*vg.Centimeter, 8*vg.Centimeter, file)
}

// smoothingWindows is the number of windows in the moving average of a plot.
const smoothingWindows = 5

func points(windows []emulator.Window) plotter.XYs {
	var line plotter.XYs
	for index := smoothingWindows - 1; index < len(windows); index++ {
		sum := emulator.Window{}
		for _, window := range windows[index-smoothingWindows+1 : index+1] {
			sum.Offered += window.Offered
			sum.Complete += window.Complete
		}
		line = append(line, plotter.XY{X: windows[index].Start.Seconds(), Y: sum.Share()})
	}
	return line
}
