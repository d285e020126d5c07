package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/mesh/lab/cluster"
	"github.com/landingmast/landingmast/internal/mesh/lab/demo"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
)

func registerDemo(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("demo", "Run both deployments on loopback as separate processes under load and check the results.")
	duration := command.Flag("duration", "Duration of the load.").Default("20s").Duration()
	rate := command.Flag("rate", "Requests per second for each deployment.").Default("150").Float64()
	port := command.Flag("first-port", "First of about 300 loopback ports.").Default("21000").Int()
	seed := command.Flag("seed", "Seed of the load generator.").Default("1").Uint64()
	return command.FullCommand(), func(ctx context.Context) error {
		return runDemo(ctx, *duration, *rate, *port, *seed)
	}
}

// portsPerCluster is the number of ports reserved for each cluster.
const portsPerCluster = 150

func runDemo(ctx context.Context, duration time.Duration, rate float64, port int, seed uint64) error {
	directory, err := os.MkdirTemp("", "landingmast-demo-")
	if err != nil {
		return err
	}
	results := make(chan *demo.Result, 2)
	meshes := []*deployment.Deployment{deployment.CoreArchive(), deployment.ExpenseClaims()}
	progress := &progressLine{counts: make([][2]int, len(meshes))}
	for index, mesh := range meshes {
		go func() {
			results <- demo.Run(ctx, demo.Options{
				Cluster: cluster.Options{
					Deployment: mesh, Daemon: siblingBinary("landingmastd"), Lab: siblingBinary("landingmast-lab"),
					Directory: filepath.Join(directory, mesh.Mesh), FirstPort: port + index*portsPerCluster,
				},
				Duration: duration, Rate: rate, Seed: seed,
				Progress: func(sent, whole int) { progress.show(index, sent, whole) },
			})
		}()
	}
	failed := 0
	var finished []*demo.Result
	for range meshes {
		finished = append(finished, <-results)
	}
	fmt.Println()
	for _, result := range finished {
		failed += printResult(result)
	}
	if failed > 0 {
		return fmt.Errorf("%d checks failed; logs and settings are in %s", failed, directory)
	}
	fmt.Println("every check held")
	return os.RemoveAll(directory)
}

// siblingBinary returns the path of another program in the directory of this one.
func siblingBinary(name string) string {
	own, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(own), name)
}

func printResult(result *demo.Result) (failed int) {
	fmt.Printf("\n== %s ==\n", result.Mesh)
	if result.Err != nil {
		fmt.Println("demo failed:", result.Err)
		return 1
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tsent\twhole\tnot run\tunknown\tbroken\tfailed\tretries\tadded p50\tadded p99\ttotal p50\ttotal p99\t")
	for _, row := range result.Rows {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", row.Class, row.Sent, row.Complete, row.NotRun, row.Unknown, row.Broken,
			row.Failed, row.Retries, formatDuration(row.AddedP50), formatDuration(row.AddedP99), formatDuration(row.P50), formatDuration(row.P99))
	}
	_ = table.Flush()
	fmt.Printf("bundle 2 in force on all %d nodes after %s\n", result.Nodes, formatDuration(result.RolloutDuration))
	fmt.Println("explain", result.ExplainedID)
	for _, line := range result.Explained {
		fmt.Println("  " + line)
	}
	for _, check := range result.Checks {
		verdict := "ok  "
		if !check.Passed {
			verdict = "FAIL"
			failed++
		}
		fmt.Printf("%s %s (%s)\n", verdict, check.Name, check.Detail)
	}
	return failed
}

func formatDuration(duration time.Duration) string {
	return duration.Round(10 * time.Microsecond).String()
}

// progressLine prints the progress of both runs on one terminal line.
type progressLine struct{ counts [][2]int }

func (p *progressLine) show(index, sent, whole int) {
	p.counts[index] = [2]int{sent, whole}
	var parts []string
	for _, count := range p.counts {
		parts = append(parts, fmt.Sprintf("%5d answers, %5d whole", count[0], count[1]))
	}
	fmt.Printf("\r%s", strings.Join(parts, "  |  "))
}
