// Package follower follows the platform's store on behalf of the nodes of a zone, so that the
// store is watched by one node of each zone and not by all.
//
// It owns the node's part in the election of that one, what the store has lost, and the nodes
// that are taken for gone for it. The elected node watches the nodes' records and the
// configuration, and sends the zone a heartbeat every 300 ms with what is missing and what is
// gone. While the store does not answer it sends nothing but probes.
//
// The rules are those of packages core/election and core/lapse. It relies on package
// membership for the records and the broadcasts; what else is kept beside the records in the
// store is handed to Options.TakeStored.
package follower

import (
	"context"
	"time"

	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/sidecar/peer"
	"github.com/landingmast/landingmast/internal/sidecar/settings"
	"github.com/landingmast/landingmast/internal/sidecar/storehealth"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// Members are the records of all nodes.
type Members interface {
	Record(node string) *wire.NodeRecord // nil: none is known
	PeerNames() []string
	ZonePeers() []string // the other nodes of the zone
	ZoneCount() int      // that have a node
	AddressElsewhere() string
	MergeStored(record *wire.NodeRecord)
	Remove(record *wire.NodeRecord)
	MarkStoreListed()
	Apply()
	LogChange(record *wire.NodeRecord, change, source string)
}

// Options are what a follower needs of the other parts of its node.
type Options struct {
	Settings func() *settings.Settings // in force
	Now      func() time.Duration      // the clock that counts suspensions
	Events   *eventlog.Log
	Store    store.Store // nil: none; then Run must not be called
	Health   *storehealth.Health
	Peers    *peer.Client
	Members  Members

	RecordPrefix     string // where all that the nodes keep lies in the store
	NodePrefix       string // below it, where their records lie
	ConfigurationKey string

	// Version is that of the configuration in force; 0: none is known.
	Version func() uint64
	// InstallStored puts a configuration of the store in force unless a newer one is.
	InstallStored func(item *store.Item) (uint64, error)
	// SendZone sends a message to the nodes of the zone, SendAll to all nodes.
	SendZone, SendAll func(message *wire.News)
	// Exchange exchanges what is known with the node at an address.
	Exchange func(ctx context.Context, address string)
	// RecordLost is called when the store has no record of this node.
	RecordLost func()
	// TakeStored is called with what lies below RecordPrefix and has changed; whole: with all
	// that lies there at a revision.
	TakeStored func(items []store.Item, whole bool, at int64)
	// Heartbeat is called with each heartbeat of the elected node.
	Heartbeat func(ctx context.Context)
}
