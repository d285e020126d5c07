package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/mesh/lab/bench"
	"github.com/landingmast/landingmast/internal/mesh/lab/cluster"
)

func registerBench(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("bench", "Measure the time that entry and ingress add, calls for a core, and memory.")
	rate := command.Flag("rate", "Calls a second of each kind.").Default("400").Float64()
	duration := command.Flag("duration", "Length of the latency part.").Default("8s").Duration()
	connections := command.Flag("connections", "Connections of the callers.").Default("64").Int()
	port := command.Flag("first-port", "First of some 30 loopback ports.").Default("23500").Int()
	return command.FullCommand(), func(ctx context.Context) error {
		directory, err := os.MkdirTemp("", "landingmast-bench-")
		if err != nil {
			return err
		}
		result, err := bench.Run(ctx, bench.Options{
			Cluster: cluster.Options{Daemon: sibling("landingmastd"), Lab: sibling("landingmast-lab"), Directory: directory, FirstPort: *port},
			Rate:    *rate, Duration: *duration, Connections: *connections,
		})
		if err != nil {
			return err
		}
		printBench(result)
		return os.RemoveAll(directory)
	}
}

func printBench(result *bench.Result) {
	fmt.Printf("direct          %6d calls  p50 %-9s p99 %s\n", result.Direct.Calls, short(result.Direct.P50), short(result.Direct.P99))
	fmt.Printf("entry+ingress   %6d calls  p50 %-9s p99 %s\n", result.Through.Calls, short(result.Through.P50), short(result.Through.P99))
	fmt.Printf("at most once    %6d calls  p50 %-9s p99 %s\n", result.Once.Calls, short(result.Once.P50), short(result.Once.P99))
	fmt.Printf("added           p50 %s  p99 %s; with a claim p50 %s  p99 %s\n", short(result.Through.P50-result.Direct.P50), short(result.Through.P99-result.Direct.P99),
		short(result.Once.P50-result.Direct.P50), short(result.Once.P99-result.Direct.P99))
	fmt.Printf("saturated       %.0f calls/s, %.0f calls for a second of processor time of entry and ingress together\n", result.Throughput, result.PerCore)
	for _, usage := range result.Usages {
		fmt.Printf("%-15s resident %5.1f MB idle, %5.1f MB after load; %s of processor time while saturated\n", usage.Name,
			float64(usage.ResidentIdle)/1e6, float64(usage.ResidentLoad)/1e6, usage.ProcessorTime)
	}
}
