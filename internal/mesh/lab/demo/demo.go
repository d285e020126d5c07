// Package demo runs one deployment for some seconds and checks what came out.
package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/landingmast/landingmast/gen/admin"
	"github.com/landingmast/landingmast/internal/mesh/adminapi"
	"github.com/landingmast/landingmast/internal/mesh/lab/check"
	"github.com/landingmast/landingmast/internal/mesh/lab/cluster"
	"github.com/landingmast/landingmast/internal/mesh/lab/load"
)

// Options set a demo.
type Options struct {
	Cluster  cluster.Options
	Duration time.Duration
	Rate     float64
	Seed     uint64
	Progress func(sent, whole int)
}

// Row is one class of the table.
type Row struct {
	load.Summary
	Retries  int
	AddedP50 time.Duration // time that the system added to whole answers
	AddedP99 time.Duration
}

// Result is what a demo came to.
type Result struct {
	Mesh        string
	Err         error
	Rows        []Row
	Nodes       int
	RollTook    time.Duration
	ExplainedID string
	Explained   []string
	Checks      []check.Check
}

// Run runs the deployment, rolls a bundle half-way and explains one request.
func Run(ctx context.Context, options Options) *Result {
	result := &Result{Mesh: options.Cluster.Deployment.Mesh}
	running, err := cluster.Start(ctx, options.Cluster)
	if err != nil {
		result.Err = err
		return result
	}
	defer running.Stop()
	rolled := make(chan error, 1)
	go func() { rolled <- rollHalfWay(ctx, running, options.Duration/2, result) }()
	answers := load.Run(ctx, load.Options{
		Deployment: options.Cluster.Deployment, Entries: running.Entries(), Rate: options.Rate, Duration: options.Duration, Users: 200,
		Resend: 1, Seed: options.Seed, Progress: options.Progress,
	})
	if err := <-rolled; err != nil {
		result.Err = err
		return result
	}
	result.Err = result.finish(ctx, running, answers)
	return result
}

const rollLimit = 5 * time.Second

// rollHalfWay rolls version 2 and waits until it is in force everywhere.
func rollHalfWay(ctx context.Context, running *cluster.Cluster, after time.Duration, result *Result) error {
	time.Sleep(after)
	next := running.Bundle(2)
	next.MaxDepth--
	began := time.Now()
	if _, err := running.Roll(ctx, next); err != nil {
		return err
	}
	result.Nodes = len(running.Nodes)
	for time.Since(began) < 2*rollLimit {
		if inForce(ctx, running, 2) {
			result.RollTook = time.Since(began)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	result.RollTook = time.Since(began)
	return nil
}

func inForce(ctx context.Context, running *cluster.Cluster, version int64) bool {
	for _, process := range running.Nodes {
		status, err := adminapi.New(process.Admin).Status(ctx)
		if err != nil || status.BundleVersion != version {
			return false
		}
	}
	return true
}

func (r *Result) finish(ctx context.Context, running *cluster.Cluster, answers []load.Answer) error {
	executions, err := running.Executions()
	if err != nil {
		return err
	}
	r.Checks = check.All(running.Deployment, answers, executions)
	r.Checks = append(r.Checks, check.Check{
		Name: "bundle in force everywhere within 5s", Held: r.RollTook > 0 && r.RollTook <= rollLimit, Detail: r.RollTook.Round(time.Millisecond).String(),
	})
	whole := 0
	for _, answer := range answers {
		if answer.Whole {
			whole++
		}
	}
	r.Checks = append(r.Checks, check.Check{
		Name: "at least 99% of the answers are whole", Held: whole*100 >= len(answers)*99 && whole > 0, Detail: fmt.Sprintf("%d of %d", whole, len(answers)),
	})
	r.rows(ctx, running, answers)
	return r.explain(ctx, running, answers)
}

// rows makes the table: what callers saw, and out of the records of the nodes
// the time added by entry and ingress of the first hop.
func (r *Result) rows(ctx context.Context, running *cluster.Cluster, answers []load.Answer) {
	retries := map[string]int{}
	for _, process := range running.Nodes {
		for class, count := range scrapeRetries(process.Admin) {
			retries[class] += count
		}
	}
	added := addedTimes(ctx, running, answers)
	for _, summary := range load.Summarize(running.Deployment, answers) {
		row := Row{Summary: summary, Retries: retries[summary.Class]}
		if histogram := added[summary.Class]; histogram != nil {
			row.AddedP50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
			row.AddedP99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
		}
		r.Rows = append(r.Rows, row)
	}
}

const sampled = 300 // whole answers of a class whose records are read

// addedTimes reads the records of some requests: the entry's whole time less the
// target's, for the outermost call.
func addedTimes(ctx context.Context, running *cluster.Cluster, answers []load.Answer) map[string]*hdrhistogram.Histogram {
	added := map[string]*hdrhistogram.Histogram{}
	counts := map[string]int{}
	client := adminapi.New(running.Nodes[0].Admin)
	for index := len(answers) - 1; index >= 0; index-- {
		answer := answers[index]
		if !answer.Whole || counts[answer.Class] >= sampled {
			continue
		}
		counts[answer.Class]++
		decisions, err := client.Explain(ctx, answer.RequestID)
		if err != nil {
			continue
		}
		if added[answer.Class] == nil {
			added[answer.Class] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		}
		if span, ok := addedBy(decisions); ok {
			_ = added[answer.Class].RecordValue(int64(span / time.Microsecond))
		}
	}
	return added
}

func addedBy(decisions []*admin.Decision) (time.Duration, bool) {
	var whole, target float64
	for _, decision := range decisions {
		if decision.Action != "answer" || decision.Depth != 0 {
			continue
		}
		if strings.HasPrefix(decision.Node, "entry-") {
			whole = decision.Numbers["took_ms"]
		} else {
			target = decision.Numbers["took_ms"]
		}
	}
	return time.Duration((whole - target) * float64(time.Millisecond)), whole > 0 && target > 0
}

// explain asks for the records of the request with the most hops.
func (r *Result) explain(ctx context.Context, running *cluster.Cluster, answers []load.Answer) error {
	for index := len(answers) - 1; index >= 0; index-- {
		if !answers[index].Whole || answers[index].Key == "" {
			continue
		}
		decisions, err := adminapi.New(running.Nodes[len(running.Nodes)-1].Admin).Explain(ctx, answers[index].RequestID)
		if err != nil {
			return err
		}
		r.ExplainedID = answers[index].RequestID
		for _, decision := range decisions {
			r.Explained = append(r.Explained, adminapi.DecisionLine(decision))
		}
		r.Checks = append(r.Checks, check.Check{Name: "a request can be explained at every hop", Held: len(decisions) >= 6, Detail: fmt.Sprintf("%d decisions", len(decisions))})
		return nil
	}
	return fmt.Errorf("no keyed request was answered")
}

// scrapeRetries reads the retry counters of a node by class.
func scrapeRetries(address string) map[string]int {
	retries := map[string]int{}
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return retries
	}
	defer response.Body.Close()
	for _, sample := range adminapi.ParseMetrics(response.Body) {
		if sample.Name == "landingmast_retries_total" {
			retries[sample.Labels["class"]] += int(sample.Value)
		}
	}
	return retries
}
