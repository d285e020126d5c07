package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/landingmast/landingmast/internal/clock"
	"github.com/landingmast/landingmast/internal/sidecar"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/platform"
)

// settingsVariable names the settings file where the platform starts the process.
const settingsVariable = "LANDINGMAST_BOOT"

// sidecarCollectorPercent trades memory for processor time: at 50 a fifth of a node's
// processor time was the collector, with a heap of a few MB.
const sidecarCollectorPercent = 150

// settingsEvery is how often the settings file is looked at for changes that no
// signal announces.
const settingsEvery = time.Second

// followSettings puts changed settings in force, on SIGHUP and without.
func followSettings(settingsFile string, node *sidecar.Node) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	before, _ := os.ReadFile(settingsFile)
	ticker := time.NewTicker(settingsEvery)
	for {
		select {
		case <-hangups:
		case <-ticker.C:
		}
		now, err := os.ReadFile(settingsFile)
		if err != nil || bytes.Equal(now, before) {
			continue
		}
		before = now
		changed, err := settings.Parse(now)
		if err != nil {
			node.ReloadFailed(err)
			continue
		}
		node.Reload(changed)
	}
}

// runSidecar runs a sidecar node.
func runSidecar(settingsFile, _ string, checkOnly bool) error {
	debug.SetGCPercent(sidecarCollectorPercent)
	checked, err := settings.Load(settingsFile)
	if err != nil {
		return err
	}
	if checkOnly {
		fmt.Println("settings are usable")
		return nil
	}
	source, err := clock.NewSystem()
	if err != nil {
		return err
	}
	node, err := sidecar.New(checked, sidecar.Options{
		Headers: platform.Headers(), Store: platform.NewStore(checked.Store.Address, peer.DialAlive),
		ConfigurationKey: platform.ConfigurationKey, RecordPrefix: platform.RecordPrefix, NodePrefix: platform.NodePrefix,
		QuotaPrefix: platform.QuotaPrefix, CrashKey: platform.CrashKey, ReadIntent: platform.ReadIntent,
		Control: func(targets *sidecar.Targets) http.Handler { return platform.Heartbeats(targets) },
		Ready:   platform.Readiness, Output: os.Stdout, Clock: source,
	})
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE)
	go followSettings(settingsFile, node)
	ctx, hurry := stopSignals()
	return node.Run(ctx, hurry)
}
