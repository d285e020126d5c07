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
	command := application.Command("bench", "Measure the latency added by entry and ingress, throughput per core, and memory.")
	rate := command.Flag("rate", "Calls per second of each kind.").Default("400").Float64()
	duration := command.Flag("duration", "Duration of the latency measurement.").Default("8s").Duration()
	connections := command.Flag("connections", "Number of client connections.").Default("64").Int()
	port := command.Flag("first-port", "First of about 30 loopback ports.").Default("23500").Int()
	return command.FullCommand(), func(ctx context.Context) error {
		directory, err := os.MkdirTemp("", "landingmast-bench-")
		if err != nil {
			return err
		}
		result, err := bench.Run(ctx, bench.Options{
			Cluster: cluster.Options{Daemon: siblingBinary("landingmastd"), Lab: siblingBinary("landingmast-lab"), Directory: directory, FirstPort: *port},
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
	fmt.Printf("direct          %6d calls  p50 %-9s p99 %s\n", result.Direct.Calls, formatDuration(result.Direct.P50), formatDuration(result.Direct.P99))
	fmt.Printf("entry+ingress   %6d calls  p50 %-9s p99 %s\n", result.Proxied.Calls, formatDuration(result.Proxied.P50), formatDuration(result.Proxied.P99))
	fmt.Printf("at most once    %6d calls  p50 %-9s p99 %s\n", result.AtMostOnce.Calls, formatDuration(result.AtMostOnce.P50), formatDuration(result.AtMostOnce.P99))
	fmt.Printf("added           p50 %s  p99 %s; with a claim p50 %s  p99 %s\n", formatDuration(result.Proxied.P50-result.Direct.P50), formatDuration(result.Proxied.P99-result.Direct.P99),
		formatDuration(result.AtMostOnce.P50-result.Direct.P50), formatDuration(result.AtMostOnce.P99-result.Direct.P99))
	fmt.Printf("saturated       %.0f calls/s, %.0f calls per CPU second of entry and ingress together\n", result.Throughput, result.CallsPerCPUSecond)
	for _, usage := range result.Usages {
		fmt.Printf("%-15s resident %5.1f MB idle, %5.1f MB after load; %s CPU time while saturated\n", usage.Name,
			float64(usage.ResidentIdle)/1e6, float64(usage.ResidentLoad)/1e6, usage.CPUTime)
	}
}
