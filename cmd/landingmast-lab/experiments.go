package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/lab/emulator"
	"github.com/landingmast/landingmast/internal/lab/experiment"
)

func registerExperiments(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("experiments", "Run experiment files in virtual time and report.")
	directory := command.Flag("directory", "Folder of the experiment files.").Default("experiments").String()
	only := command.Flag("only", "Name of one experiment; repeat for more.").Strings()
	variants := command.Flag("variant", "Variant to run; repeat for more. Without it: all.").Strings()
	report := command.Flag("report", "Folder for the report and its plots.").String()
	return command.FullCommand(), func(context.Context) error {
		return runExperiments(*directory, *only, *variants, *report)
	}
}

func runExperiments(directory string, only, names []string, folder string) error {
	experiments, err := experiment.LoadAll(directory)
	if err != nil {
		return err
	}
	experiments, err = choose(experiments, only)
	if err != nil {
		return err
	}
	variants, err := chooseVariants(names)
	if err != nil {
		return err
	}
	reports, err := experiment.RunEmulated(experiments, variants, func(done, all int) { fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, all) })
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return err
	}
	for _, report := range reports {
		report.Print(os.Stdout)
	}
	if folder == "" {
		return nil
	}
	return writeReport(folder, reports)
}

func choose(experiments []*experiment.Experiment, only []string) ([]*experiment.Experiment, error) {
	if len(only) == 0 {
		return experiments, nil
	}
	var chosen []*experiment.Experiment
	for _, name := range only {
		found := false
		for _, candidate := range experiments {
			if candidate.Name == name {
				chosen = append(chosen, candidate)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("experiment %q is unknown (remedy: name a file of the folder without its ending)", name)
		}
	}
	return chosen, nil
}

func chooseVariants(names []string) ([]emulator.Variant, error) {
	if len(names) == 0 {
		return emulator.Variants(), nil
	}
	var chosen []emulator.Variant
	for _, name := range names {
		variant, known := emulator.VariantNamed(name)
		if !known {
			return nil, fmt.Errorf("variant %q is unknown (remedy: use landingmast, baseline or \"without MECHANISM\")", name)
		}
		chosen = append(chosen, variant)
	}
	return chosen, nil
}

func writeReport(folder string, reports []*experiment.Report) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(folder, "report.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	fmt.Fprintln(file, "# Experiments in virtual time")
	for _, report := range reports {
		plotFile, err := report.Plot(folder)
		if err != nil {
			return err
		}
		writeOne(file, report, filepath.Base(plotFile))
	}
	return nil
}

func writeOne(file io.Writer, report *experiment.Report, plotFile string) {
	fmt.Fprintf(file, "\n## %s\n\n```\n", report.Experiment.Name)
	report.Print(file)
	fmt.Fprintf(file, "```\n\n![%s](%s)\n", report.Experiment.Name, plotFile)
}
