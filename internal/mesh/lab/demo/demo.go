// Package demo runs a deployment under load for a short time and checks the result.
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

// Options configures a demo.
type Options struct {
	Cluster  cluster.Options
	Duration time.Duration
	Rate     float64
	Seed     uint64
	Progress func(sent, whole int)
}

// Row is the row of one request class in the result table.
type Row struct {
	load.Summary
	Retries  int
	AddedP50 time.Duration // latency added by the mesh, complete responses only
	AddedP99 time.Duration
}

// Result holds the outcome of a demo.
type Result struct {
	Mesh            string
	Err             error
	Rows            []Row
	Nodes           int
	RolloutDuration time.Duration
	ExplainedID     string
	Explained       []string
	Checks          []check.Check
}

// Run runs the deployment under load, rolls out a second bundle halfway through and
// explains one request.
func Run(ctx context.Context, options Options) *Result {
	result := &Result{Mesh: options.Cluster.Deployment.Mesh}
	running, err := cluster.Start(ctx, options.Cluster)
	if err != nil {
		result.Err = err
		return result
	}
	defer running.Stop()
	rolloutDone := make(chan error, 1)
	go func() { rolloutDone <- rollOutBundle(ctx, running, options.Duration/2, result) }()
	answers := load.Run(ctx, load.Options{
		Deployment: options.Cluster.Deployment, Entries: running.Entries(), Rate: options.Rate, Duration: options.Duration, Users: 200,
		MaxRetries: 1, Seed: options.Seed, Progress: options.Progress,
	})
	if err := <-rolloutDone; err != nil {
		result.Err = err
		return result
	}
	result.Err = result.evaluate(ctx, running, answers)
	return result
}

const rolloutLimit = 5 * time.Second

// rollOutBundle rolls out version 2 after a delay and waits until every node uses it.
func rollOutBundle(ctx context.Context, running *cluster.Cluster, delay time.Duration, result *Result) error {
	time.Sleep(delay)
	next := running.Bundle(2)
	next.MaxDepth--
	start := time.Now()
	if _, err := running.Roll(ctx, next); err != nil {
		return err
	}
	result.Nodes = len(running.Nodes)
	for time.Since(start) < 2*rolloutLimit {
		if bundleActive(ctx, running, 2) {
			result.RolloutDuration = time.Since(start)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	result.RolloutDuration = time.Since(start)
	return nil
}

// bundleActive reports whether every node uses the given bundle version.
func bundleActive(ctx context.Context, running *cluster.Cluster, version int64) bool {
	for _, process := range running.Nodes {
		status, err := adminapi.New(process.Admin).Status(ctx)
		if err != nil || status.BundleVersion != version {
			return false
		}
	}
	return true
}

func (r *Result) evaluate(ctx context.Context, running *cluster.Cluster, answers []load.Answer) error {
	executions, err := running.Executions()
	if err != nil {
		return err
	}
	r.Checks = check.All(running.Deployment, answers, executions)
	r.Checks = append(r.Checks, check.Check{
		Name: "bundle in force everywhere within 5s", Passed: r.RolloutDuration > 0 && r.RolloutDuration <= rolloutLimit, Detail: r.RolloutDuration.Round(time.Millisecond).String(),
	})
	whole := 0
	for _, answer := range answers {
		if answer.Complete {
			whole++
		}
	}
	r.Checks = append(r.Checks, check.Check{
		Name: "at least 99% of the answers are whole", Passed: whole*100 >= len(answers)*99 && whole > 0, Detail: fmt.Sprintf("%d of %d", whole, len(answers)),
	})
	r.buildRows(ctx, running, answers)
	return r.explain(ctx, running, answers)
}

// buildRows builds the result table from the responses that callers received, the
// retry counters, and the decision records of the first hop.
func (r *Result) buildRows(ctx context.Context, running *cluster.Cluster, answers []load.Answer) {
	retries := map[string]int{}
	for _, process := range running.Nodes {
		for class, count := range scrapeRetries(process.Admin) {
			retries[class] += count
		}
	}
	added := addedLatencies(ctx, running, answers)
	for _, summary := range load.Summarize(running.Deployment, answers) {
		row := Row{Summary: summary, Retries: retries[summary.Class]}
		if histogram := added[summary.Class]; histogram != nil {
			row.AddedP50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
			row.AddedP99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
		}
		r.Rows = append(r.Rows, row)
	}
}

// maxSamples limits the requests of a class whose decision records are read.
const maxSamples = 300

// addedLatencies samples, by class, the latency that the mesh added to the outermost
// call.
func addedLatencies(ctx context.Context, running *cluster.Cluster, answers []load.Answer) map[string]*hdrhistogram.Histogram {
	added := map[string]*hdrhistogram.Histogram{}
	counts := map[string]int{}
	client := adminapi.New(running.Nodes[0].Admin)
	for index := len(answers) - 1; index >= 0; index-- {
		answer := answers[index]
		if !answer.Complete || counts[answer.Class] >= maxSamples {
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
		if latency, ok := addedLatency(decisions); ok {
			_ = added[answer.Class].RecordValue(int64(latency / time.Microsecond))
		}
	}
	return added
}

// addedLatency returns the time that the entry took less the time that the target
// took; false if either is not recorded.
func addedLatency(decisions []*admin.Decision) (time.Duration, bool) {
	var entry, target float64
	for _, decision := range decisions {
		if decision.Action != "answer" || decision.Depth != 0 {
			continue
		}
		if strings.HasPrefix(decision.Node, "entry-") {
			entry = decision.Numbers["took_ms"]
		} else {
			target = decision.Numbers["took_ms"]
		}
	}
	return time.Duration((entry - target) * float64(time.Millisecond)), entry > 0 && target > 0
}

// explain reads the decision records of the last answered keyed request.
func (r *Result) explain(ctx context.Context, running *cluster.Cluster, answers []load.Answer) error {
	for index := len(answers) - 1; index >= 0; index-- {
		if !answers[index].Complete || answers[index].Key == "" {
			continue
		}
		decisions, err := adminapi.New(running.Nodes[len(running.Nodes)-1].Admin).Explain(ctx, answers[index].RequestID)
		if err != nil {
			return err
		}
		r.ExplainedID = answers[index].RequestID
		for _, decision := range decisions {
			r.Explained = append(r.Explained, adminapi.FormatDecision(decision))
		}
		r.Checks = append(r.Checks, check.Check{Name: "a request can be explained at every hop", Passed: len(decisions) >= 6, Detail: fmt.Sprintf("%d decisions", len(decisions))})
		return nil
	}
	return fmt.Errorf("no request with an idempotency key was answered")
}

// scrapeRetries returns the retry counters of a node by class, empty if the node
// cannot be reached.
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
