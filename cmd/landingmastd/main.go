// Command landingmastd runs a landingmast node: the proxy beside one target or,
// without a target, an entry for external callers.
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

// Exit codes; see docs/OPERATIONS.md.
const (
	exitBadInput = 2
	exitFailed   = 1
)

// gcPercent trades CPU time for a smaller resident set size. GOGC in the
// environment overrides it.
const gcPercent = 50

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	application := kingpin.New("landingmastd", "A node of landingmast, the overload control layer.")
	application.Version(node.Version)
	application.HelpFlag.Short('h')
	settingsFile := application.Flag("settings", "Settings file, YAML; see docs/CONFIGURATION.md.").Envar(settingsEnvVar).Required().String()
	checkOnly := application.Flag("check", "Validate the settings and exit.").Bool()
	logLevel := application.Flag("log-level", "debug, info, warning or error; overrides the settings file.").String()
	application.Command("mesh", "Run as a node of a mesh with signed bundles.").Default()
	sidecarCommand := application.Command("sidecar", "Run as a sidecar of one target on a machine without persistent storage; see docs/SIDECAR.md.")
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
		fmt.Println("settings are valid")
		return nil
	}
	instance, err := node.New(settings, os.Stderr)
	if err != nil {
		return err
	}
	ctx, forced := stopSignals()
	return instance.Run(ctx, forced)
}

// stopSignals returns a context that is cancelled by the first SIGTERM or SIGINT
// (graceful shutdown) and one that is cancelled by the second (forced shutdown).
func stopSignals() (graceful, forced context.Context) {
	graceful, cancelGraceful := context.WithCancel(context.Background())
	forced, cancelForced := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancelGraceful()
		<-signals
		cancelForced()
	}()
	return graceful, forced
}
