package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/mesh/lab/cluster"
	"github.com/landingmast/landingmast/internal/mesh/lab/emulator"
	"github.com/landingmast/landingmast/internal/mesh/lab/experiment"
)

func registerExperiments(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("experiments", "Run experiment files in virtual time and report the results.")
	directory := command.Flag("directory", "Directory of the experiment files.").Default("experiments").String()
	experimentNames := command.Flag("only", "Name of an experiment; may be repeated.").Strings()
	variantNames := command.Flag("variant", "Variant to run; may be repeated. Default: all.").Strings()
	report := command.Flag("report", "Directory for the report and its plots.").String()
	realProcesses := command.Flag("real", "Run landingmast as real processes, once with the first seed, with scaled rates and service times.").Bool()
	port := command.Flag("first-port", "First of about 150 loopback ports; used with --real.").Default("27500").Int()
	return command.FullCommand(), func(ctx context.Context) error {
		if *realProcesses {
			return runRealProcesses(ctx, *directory, *experimentNames, *port)
		}
		return runExperiments(*directory, *experimentNames, *variantNames, *report)
	}
}

func registerEmulate(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("emulate", "Run one experiment once in virtual time and print its state over time. The output is deterministic for a seed.")
	directory := command.Flag("directory", "Directory of the experiment files.").Default("experiments").String()
	name := command.Arg("experiment", "Name of the experiment.").Required().String()
	variant := command.Flag("variant", "Variant to run.").Default("landingmast").String()
	seed := command.Flag("seed", "Seed of the run.").Default("1").Uint64()
	interval := command.Flag("interval", "Virtual time between two samples.").Default("1s").Duration()
	return command.FullCommand(), func(context.Context) error {
		return runEmulation(*directory, *name, *variant, *seed, *interval)
	}
}

func runEmulation(directory, name, variantName string, seed uint64, interval time.Duration) error {
	experiments, err := loadExperiments(directory, []string{name})
	if err != nil {
		return err
	}
	variants, err := selectVariants([]string{variantName})
	if err != nil {
		return err
	}
	result, err := experiment.Trace(experiments[0], variants[0], seed, interval, func(samples []emulator.Sample) {
		for _, sample := range samples {
			fmt.Printf("%-6s %-14s busy %3d/%-3d backlog %4d  limit %4d queued %4d cursor %3d\n", sample.At, sample.Service, sample.Busy, sample.Slots,
				sample.Backlog, sample.Limit, sample.Queued, sample.Cursor)
		}
	})
	if err != nil {
		return err
	}
	for _, class := range result.Classes {
		fmt.Printf("%-16s %6d requests, %6d whole\n", class.Class, class.Requests, class.Complete)
	}
	fmt.Printf("%d attempts, %d received by backends, %d retries, %d refused early, %.2f%% of the work wasted, %d events\n",
		result.Attempts, result.Received, result.Retries, result.RefusedEarly, result.Wasted*100, result.Events)
	return nil
}

func runExperiments(directory string, experimentNames, variantNames []string, outputDirectory string) error {
	experiments, err := loadExperiments(directory, experimentNames)
	if err != nil {
		return err
	}
	variants, err := selectVariants(variantNames)
	if err != nil {
		return err
	}
	reports, err := experiment.RunEmulated(experiments, variants, func(done, total int) { fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, total) })
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return err
	}
	for _, report := range reports {
		report.Print(os.Stdout)
	}
	if outputDirectory == "" {
		return nil
	}
	return writeReport(outputDirectory, reports)
}

func runRealProcesses(ctx context.Context, directory string, experimentNames []string, port int) error {
	experiments, err := loadExperiments(directory, experimentNames)
	if err != nil {
		return err
	}
	for _, selected := range experiments {
		outputDirectory, err := os.MkdirTemp("", "landingmast-experiment-")
		if err != nil {
			return err
		}
		options := cluster.Options{Daemon: siblingBinary("landingmastd"), Lab: siblingBinary("landingmast-lab"), Directory: outputDirectory, FirstPort: port}
		measured, err := experiment.MeasureReal(ctx, selected, options, selected.Seeds[0])
		if err != nil {
			return fmt.Errorf("%s: %w", selected.Name, err)
		}
		report := &experiment.Report{Experiment: selected, Rows: []experiment.Row{{Variant: "real processes", Runs: []experiment.Measure{measured}}}}
		report.Print(os.Stdout)
		if err := os.RemoveAll(outputDirectory); err != nil {
			return err
		}
	}
	return nil
}

// loadExperiments reads the experiments in a directory, or only the named ones.
func loadExperiments(directory string, names []string) ([]*experiment.Experiment, error) {
	experiments, err := experiment.LoadAll(directory)
	if err != nil || len(names) == 0 {
		return experiments, err
	}
	return selectExperiments(experiments, names)
}

func selectExperiments(experiments []*experiment.Experiment, names []string) ([]*experiment.Experiment, error) {
	var chosen []*experiment.Experiment
	for _, name := range names {
		found := false
		for _, candidate := range experiments {
			if candidate.Name == name {
				chosen = append(chosen, candidate)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("experiment %q is unknown (remedy: use the name of a file in the directory, without its extension)", name)
		}
	}
	return chosen, nil
}

func selectVariants(names []string) ([]emulator.Variant, error) {
	if len(names) == 0 {
		return emulator.Variants(), nil
	}
	var chosen []emulator.Variant
	for _, name := range names {
		variant, ok := emulator.VariantNamed(name)
		if !ok {
			return nil, fmt.Errorf("variant %q is unknown (remedy: use landingmast, baseline or \"without MECHANISM\")", name)
		}
		chosen = append(chosen, variant)
	}
	return chosen, nil
}

func writeReport(outputDirectory string, reports []*experiment.Report) error {
	if err := os.MkdirAll(outputDirectory, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(outputDirectory, "report.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	fmt.Fprintln(file, "# Experiments in virtual time")
	for _, report := range reports {
		plotFile, err := report.Plot(outputDirectory)
		if err != nil {
			return err
		}
		writeSection(file, report, filepath.Base(plotFile))
	}
	return nil
}

func writeSection(file io.Writer, report *experiment.Report, plotFile string) {
	fmt.Fprintf(file, "\n## %s\n\n```\n", report.Experiment.Name)
	report.Print(file)
	fmt.Fprintf(file, "```\n\n![%s](%s)\n", report.Experiment.Name, plotFile)
}
