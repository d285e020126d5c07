package sidecar

import (
	"context"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/store"
)

// Sources of what a node learns.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// restOfConfiguration bounds the calls while configurations come in quick succession.
const restOfConfiguration = 100 * time.Millisecond

// watchConfiguration follows the operators' configuration.
func (n *Node) watchConfiguration(ctx context.Context) {
	follow(ctx, n, n.options.ConfigurationKey, restOfConfiguration, func(items []store.Item, _ bool) {
		for _, item := range items {
			if item.Key == n.options.ConfigurationKey && !item.Gone {
				n.install(item.Value, sourceStore)
			}
		}
	})
}

// install puts a configuration in force unless a newer one is.
func (n *Node) install(data []byte, source string) {
	read, err := n.options.ReadIntent(data)
	if err != nil {
		n.events.Add(eventlog.Configuration{Before: n.version(), Source: source, Error: err.Error()}, eventlog.State)
		return
	}
	read.Source = data
	for {
		current := n.intent.Load()
		if current != nil && current.Version >= read.Version {
			return
		}
		if n.intent.CompareAndSwap(current, read) {
			before := uint64(0)
			if current != nil {
				before = current.Version
			}
			n.events.Add(eventlog.Configuration{Version: read.Version, Before: before, Routes: len(read.Routes), Source: source}, eventlog.State)
			return
		}
	}
}
