package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/mesh/lab/cluster"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/faults"
)

func registerFaults(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("faults", "Run deployments as real processes under randomly injected faults and check the guarantees.")
	schedules := command.Flag("schedules", "Number of schedules; each has its own seed.").Default("12").Int()
	duration := command.Flag("duration", "Duration of a schedule.").Default("15s").Duration()
	rate := command.Flag("rate", "Requests per second.").Default("120").Float64()
	pause := command.Flag("pause", "Mean time between two faults.").Default("700ms").Duration()
	port := command.Flag("first-port", "First of about 150 loopback ports.").Default("24000").Int()
	firstSeed := command.Flag("seed", "Seed of the first schedule.").Default("1").Uint64()
	kinds := command.Flag("kind", "Fault to inject; may be repeated. Default: all.").Strings()
	return command.FullCommand(), func(ctx context.Context) error {
		return runFaults(ctx, *schedules, *firstSeed, *port, *kinds, faults.Options{Duration: *duration, Rate: *rate, Pause: *pause})
	}
}

func runFaults(ctx context.Context, schedules int, firstSeed uint64, port int, names []string, options faults.Options) error {
	options.Kinds = faults.Kinds
	if len(names) > 0 {
		options.Kinds = nil
		for _, name := range names {
			options.Kinds = append(options.Kinds, faults.Kind(name))
		}
	}
	directory, err := os.MkdirTemp("", "landingmast-faults-")
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "seed\tdeployment\tfaults\trequests\twhole\tnot run\tunknown\tviolations")
	violations := 0
	var failed []string
	totals := map[faults.Kind]int{}
	for number := range schedules {
		meshes := []*deployment.Deployment{deployment.CoreArchive(), deployment.ExpenseClaims()}
		mesh := meshes[number%len(meshes)]
		options.Seed = firstSeed + uint64(number)
		options.Cluster = cluster.Options{
			Deployment: mesh, Daemon: siblingBinary("landingmastd"), Lab: siblingBinary("landingmast-lab"), FirstPort: port,
			Directory: filepath.Join(directory, fmt.Sprintf("seed-%d", options.Seed)),
		}
		result, err := faults.Run(ctx, options)
		if err != nil {
			return fmt.Errorf("seed %d: %w", options.Seed, err)
		}
		injected := 0
		for kind, count := range result.Faults {
			totals[kind] += count
			injected += count
		}
		violations += result.Violations()
		fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", result.Seed, mesh.Mesh, injected, result.Answers, result.Complete, result.NotRun, result.Unknown, result.Violations())
		for _, check := range result.Checks {
			if !check.Passed {
				failed = append(failed, fmt.Sprintf("seed %d: %s (%s)", result.Seed, check.Name, check.Detail))
			}
		}
		_ = table.Flush()
	}
	fmt.Println("faults:", formatFaultCounts(totals))
	if violations > 0 {
		return fmt.Errorf("%d violations; logs are in %s\n%s", violations, directory, strings.Join(failed, "\n"))
	}
	fmt.Printf("%d schedules, no violation\n", schedules)
	return os.RemoveAll(directory)
}

func formatFaultCounts(totals map[faults.Kind]int) string {
	var parts []string
	for kind, count := range totals {
		parts = append(parts, fmt.Sprintf("%s %d", kind, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
