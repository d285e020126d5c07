package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/lab/capacity"
	"github.com/landingmast/landingmast/internal/security"
)

func registerCapacity(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("capacity", "Measure how bundles, dissemination, claims and records grow.")
	return command.FullCommand(), func(context.Context) error { return runCapacity() }
}

// designSize is the number of targets of the size to design for.
const designSize = 4000

func runCapacity() error {
	bundles, err := capacity.Bundles([]int{250, 1000, 2000, designSize})
	if err != nil {
		return err
	}
	for _, series := range bundles {
		printSeries(series, designSize)
	}
	claims, err := capacity.Claims([]int{5000, 20000, 50000, 100000})
	if err != nil {
		return err
	}
	for _, series := range claims {
		printSeries(series, 100000)
	}
	printSeries(capacity.Records([]int{512, 2048, 4096}), 4096)
	printSeries(capacity.Routes([]int{10, 50, 200, 410}), 20)
	wire, err := measureWire()
	if err != nil {
		return err
	}
	fmt.Printf("\nversion message and answer: %.0f bytes with headers and TLS, %s; new connection: %.0f bytes\n", wire.Tell, wire.TellTime.Round(time.Microsecond), wire.Handshake)
	delta := int(bundles[2].Points[len(bundles[2].Points)-1].Value)
	fmt.Printf("\nhollow nodes, 8 regions, 40 ms between them, 1%% of the messages lost:\n")
	fmt.Println("nodes  everywhere median / worst   messages a node and second (quiet)   for a change  bytes a node and second  platform reads/s  agreed after 1 min parted")
	for _, nodes := range []int{250, 1000, 2000, designSize} {
		spread := capacity.Disseminate(nodes, delta)
		// Each node sends and answers: both ways count against its budget.
		bytes := 2*spread.TellsPerNode*wire.Tell + float64(delta)*19000/86400
		fmt.Printf("%5d  %8s / %-8s            %6.2f (%.2f)                         %6.2f        %8.0f                 %6.2f           %s\n", nodes,
			spread.Median, spread.Worst, spread.TellsPerNode, spread.QuietTells, spread.TellsPerChange, bytes, spread.Reads, spread.HealedAfter)
	}
	return nil
}

func measureWire() (capacity.Wire, error) {
	directory, err := os.MkdirTemp("", "landingmast-capacity-")
	if err != nil {
		return capacity.Wire{}, err
	}
	defer os.RemoveAll(directory)
	authority, err := security.NewAuthority("capacity")
	if err != nil {
		return capacity.Wire{}, err
	}
	pair, err := security.NewNode(authority, "service-123-4")
	if err != nil {
		return capacity.Wire{}, err
	}
	files := map[string][]byte{"node.crt": pair.Certificate, "node.key": pair.Key, "authority.crt": authority.Certificate}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(directory, name), data, 0o600); err != nil {
			return capacity.Wire{}, err
		}
	}
	identity, err := security.LoadIdentity(filepath.Join(directory, "node.crt"), filepath.Join(directory, "node.key"), filepath.Join(directory, "authority.crt"))
	if err != nil {
		return capacity.Wire{}, err
	}
	return capacity.MeasureWire(identity.Server(), identity.Client())
}

// printSeries prints the raw figures, the fit and the value at a size.
func printSeries(series *capacity.Series, at float64) {
	fit := series.Fit()
	fmt.Printf("\n%s (%s by %s)\n ", series.Name, series.Unit, series.Per)
	for _, point := range series.Points {
		fmt.Printf("  %.0f: %.4g", point.Size, point.Value)
	}
	fmt.Printf("\n  fit %.4g + %.4g x; at %.0f: %.4g %s\n", fit.Base, fit.Slope, at, fit.At(at), series.Unit)
}
