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
	command := application.Command("demo", "Run both deployments on loopback as separate processes, with their traffic, and check what came out.")
	seconds := command.Flag("duration", "Length of the traffic.").Default("20s").Duration()
	rate := command.Flag("rate", "Requests a second and deployment.").Default("150").Float64()
	port := command.Flag("first-port", "First of some 300 loopback ports.").Default("21000").Int()
	seed := command.Flag("seed", "Seed of the traffic.").Default("1").Uint64()
	return command.FullCommand(), func(ctx context.Context) error {
		return runDemo(ctx, *seconds, *rate, *port, *seed)
	}
}

// portsPerCluster is enough for the larger deployment.
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
					Deployment: mesh, Daemon: sibling("landingmastd"), Lab: sibling("landingmast-lab"),
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

// sibling gives the path of another program of the project.
func sibling(name string) string {
	own, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(own), name)
}

func printResult(result *demo.Result) (failed int) {
	fmt.Printf("\n== %s ==\n", result.Mesh)
	if result.Err != nil {
		fmt.Println("did not run:", result.Err)
		return 1
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tsent\twhole\tnot run\tunknown\tbroken\tfailed\tretries\tadded p50\tadded p99\ttotal p50\ttotal p99\t")
	for _, row := range result.Rows {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", row.Class, row.Sent, row.Whole, row.NotRun, row.Unknown, row.Broken,
			row.Failed, row.Retries, short(row.AddedP50), short(row.AddedP99), short(row.P50), short(row.P99))
	}
	_ = table.Flush()
	fmt.Printf("bundle 2 in force on all %d nodes after %s\n", result.Nodes, short(result.RollTook))
	fmt.Println("explain", result.ExplainedID)
	for _, line := range result.Explained {
		fmt.Println("  " + line)
	}
	for _, check := range result.Checks {
		verdict := "ok  "
		if !check.Held {
			verdict = "FAIL"
			failed++
		}
		fmt.Printf("%s %s (%s)\n", verdict, check.Name, check.Detail)
	}
	return failed
}

func short(span time.Duration) string { return span.Round(10 * time.Microsecond).String() }

// progressLine shows one line for both runs.
type progressLine struct{ counts [][2]int }

func (p *progressLine) show(index, sent, whole int) {
	p.counts[index] = [2]int{sent, whole}
	var parts []string
	for _, count := range p.counts {
		parts = append(parts, fmt.Sprintf("%5d answers, %5d whole", count[0], count[1]))
	}
	fmt.Printf("\r%s", strings.Join(parts, "  |  "))
}
