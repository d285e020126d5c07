// Command landingmastd is the node of landingmast: one beside every target, and
// without a target the entry for outside callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/config"
	"github.com/landingmast/landingmast/internal/mesh/node"
)

// Exit codes; docs/OPERATIONS.md lists them.
const (
	exitBadInput = 2
	exitFailed   = 1
)

// collectorPercent makes the garbage collector trade some processor time for a
// small resident size; GOGC in the environment goes before it.
const collectorPercent = 50

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	application := kingpin.New("landingmastd", "A node of landingmast, the overload control layer.")
	application.Version(node.Version)
	application.HelpFlag.Short('h')
	settingsFile := application.Flag("settings", "Settings file, YAML; see docs/CONFIGURATION.md.").Envar(settingsVariable).Required().String()
	checkOnly := application.Flag("check", "Check the settings and end.").Bool()
	logLevel := application.Flag("log-level", "debug, info, warning or error; goes before the settings file.").String()
	application.Command("mesh", "Run as a node of a mesh with signed bundles.").Default()
	sidecarCommand := application.Command("sidecar", "Run beside one target on a machine that keeps nothing; see docs/SIDECAR.md.")
	command := kingpin.MustParse(application.Parse(os.Args[1:]))

	start := run
	if command == sidecarCommand.FullCommand() {
		start = runSidecar
	}
	if err := start(*settingsFile, *logLevel, *checkOnly); err != nil {
		fmt.Fprintln(os.Stderr, "landingmastd:", err)
		if failure.Is(err, failure.BadInput) {
			os.Exit(exitBadInput)
		}
		os.Exit(exitFailed)
	}
}

func run(settingsFile, logLevel string, checkOnly bool) error {
	settings, err := config.Load(settingsFile)
	if err != nil {
		return err
	}
	if logLevel != "" {
		settings.Log.Level = logLevel
		if err := settings.Validate(); err != nil {
			return err
		}
	}
	if checkOnly {
		fmt.Println("settings are usable")
		return nil
	}
	running, err := node.New(settings, os.Stderr)
	if err != nil {
		return err
	}
	ctx, hurry := stopSignals()
	return running.Run(ctx, hurry)
}

// stopSignals gives a context that ends with the first SIGTERM or interrupt (a
// planned stop) and one that ends with the second (the operator's hurry).
func stopSignals() (first, second context.Context) {
	first, endFirst := context.WithCancel(context.Background())
	second, endSecond := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		endFirst()
		<-signals
		endSecond()
	}()
	return first, second
}
