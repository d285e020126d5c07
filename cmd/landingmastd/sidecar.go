package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/landingmast/landingmast/internal/sidecar"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/platform"
)

// settingsVariable names the settings file where the platform starts the process.
const settingsVariable = "LANDINGMAST_BOOT"

// sidecarCollectorPercent keeps the heap of a sidecar small.
const sidecarCollectorPercent = 50

// runSidecar runs a sidecar node on the users' platform.
func runSidecar(settingsFile, logLevel string, checkOnly bool) error {
	debug.SetGCPercent(sidecarCollectorPercent)
	checked, err := settings.Load(settingsFile)
	if err != nil {
		return err
	}
	if logLevel != "" {
		checked.Log.Level = logLevel
		if err := checked.Validate(); err != nil {
			return err
		}
	}
	if checkOnly {
		fmt.Println("settings are usable")
		return nil
	}
	node, err := sidecar.New(checked, sidecar.Options{
		Headers: platform.Headers(), Store: platform.NewStore(checked.Store.Address, sidecar.DialAlive),
		ConfigurationKey: platform.ConfigurationKey, NodePrefix: platform.NodePrefix, ReadIntent: platform.ReadIntent,
		Control: func(targets *sidecar.Targets) http.Handler { return platform.Heartbeats(targets) },
		Ready:   platform.Readiness, Output: os.Stdout,
	})
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	ctx, hurry := stopSignals()
	return node.Run(ctx, hurry)
}
