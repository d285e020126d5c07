package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/lab/cluster"
	"github.com/landingmast/landingmast/internal/lab/deployment"
	"github.com/landingmast/landingmast/internal/lab/scale"
)

func registerScale(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("scale", "Run many hollow nodes in one process beside the real processes of a deployment.")
	hollow := command.Flag("hollow", "Number of hollow nodes.").Default("300").Int()
	changes := command.Flag("changes", "Bundles to roll.").Default("8").Int()
	pause := command.Flag("pause", "Time between two changes; 4.5s is 19,000 a day.").Default("4.5s").Duration()
	port := command.Flag("first-port", "First of 150 loopback ports, and three more for each hollow node.").Default("29000").Int()
	return command.FullCommand(), func(ctx context.Context) error {
		directory, err := os.MkdirTemp("", "landingmast-scale-")
		if err != nil {
			return err
		}
		result, err := scale.Run(ctx, scale.Options{
			Cluster: cluster.Options{
				Deployment: deployment.CoreArchive(), Daemon: sibling("landingmastd"), Lab: sibling("landingmast-lab"), Directory: directory, FirstPort: *port,
			},
			Hollow: *hollow, Changes: *changes, Pause: *pause, FirstPort: *port + portsPerCluster,
		})
		if err != nil {
			return err
		}
		printScale(result)
		return os.RemoveAll(directory)
	}
}

func printScale(result *scale.Result) {
	fmt.Printf("%d nodes, changes everywhere after %v\n", result.Nodes, result.Everywhere)
	slices.Sort(result.ControlBytes)
	slices.Sort(result.Processor)
	slices.Sort(result.Resident)
	middle, last := len(result.Resident)/2, len(result.Resident)-1
	fmt.Printf("real nodes, median / worst: control messages %.0f / %.0f bytes a second without headers, processor %.2f%% / %.2f%% of a core, resident %.1f / %.1f MB\n",
		result.ControlBytes[middle], result.ControlBytes[last], result.Processor[middle]*100, result.Processor[last]*100,
		float64(result.Resident[middle])/1e6, float64(result.Resident[last])/1e6)
	for _, name := range slices.Sorted(maps.Keys(result.Messages)) {
		fmt.Printf("  %-16s %.0f bytes a second\n", name, result.Messages[name])
	}
}
