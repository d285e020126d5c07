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

// settingsEnvVar is the environment variable in which the platform passes the path
// of the settings file.
const settingsEnvVar = "LANDINGMAST_BOOT"

// sidecarGCPercent trades memory for CPU time: the heap of a sidecar is a few MB, so
// a lower value spends much of its CPU time on garbage collection.
const sidecarGCPercent = 150

// heapShare is the share of the memory limit that the Go runtime keeps to as long as it can. The rest is for
// unread data of connections, which the system holds.
const heapShare = 0.65

// settingsPollInterval is how often the settings file is checked for changes that
// no SIGHUP announces.
const settingsPollInterval = time.Second

// watchSettings reloads the settings when the file changes, on SIGHUP or on the next
// poll. It does not return.
func watchSettings(settingsFile string, node *sidecar.Node) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	previous, _ := os.ReadFile(settingsFile)
	ticker := time.NewTicker(settingsPollInterval)
	for {
		select {
		case <-hangups:
		case <-ticker.C:
		}
		current, err := os.ReadFile(settingsFile)
		if err != nil || bytes.Equal(current, previous) {
			continue
		}
		previous = current
		changed, err := settings.Parse(current)
		if err != nil {
			node.ReloadFailed(err)
			continue
		}
		node.Reload(changed)
	}
}

// runSidecar runs a sidecar node until it is stopped by a signal.
func runSidecar(settingsFile, _ string, checkOnly bool) error {
	debug.SetGCPercent(sidecarGCPercent)
	loaded, err := settings.Load(settingsFile)
	if err != nil {
		return err
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return nil
	}
	debug.SetMemoryLimit(int64(heapShare * float64(loaded.Limits.Bytes())))
	source, err := clock.NewSystem()
	if err != nil {
		return err
	}
	node, err := sidecar.New(loaded, sidecar.Options{
		Headers: platform.Headers(), Store: platform.NewStore(loaded.Store.Address, peer.DialKeepAlive),
		ConfigurationKey: platform.ConfigurationKey, RecordPrefix: platform.RecordPrefix, NodePrefix: platform.NodePrefix, DeparturePrefix: platform.DeparturePrefix,
		QuotaPrefix: platform.QuotaPrefix, CrashKey: platform.CrashesKey, ParseIntent: platform.ParseConfiguration,
		Control: func(targets *sidecar.Targets) http.Handler { return platform.HeartbeatHandler(targets) },
		Ready:   platform.ReadinessHandler, Output: os.Stdout, Clock: source,
	})
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE)
	go watchSettings(settingsFile, node)
	ctx, forced := stopSignals()
	return node.Run(ctx, forced)
}
