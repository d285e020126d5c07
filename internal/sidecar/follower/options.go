// Package follower watches the platform's store on behalf of the nodes of a zone, so that only one
// node per zone has to watch it.
//
// The nodes of a zone elect a follower, which watches the node records and the configuration. It
// sends the zone a heartbeat every 300 ms, with the nodes whose records are missing in the store
// and the nodes that have been removed. While the store does not answer, the follower only sends
// probes to it.
//
// Package core/election implements the election and package core/recordloss decides when to remove a
// node whose record is missing. Package membership holds the records and broadcasts the messages.
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

// Members holds the records of all nodes.
type Members interface {
	Record(node string) *wire.NodeRecord // nil if the node is unknown
	PeerNames() []string
	ZonePeers() []string // the other nodes in the zone
	ZoneCount() int      // zones with at least one node
	RemoteZoneAddress() string
	MergeStored(record *wire.NodeRecord)
	Remove(record *wire.NodeRecord)
	MarkStoreListed()
	Apply()
	LogChange(record *wire.NodeRecord, change, source string)
}

// Options holds the configuration and the dependencies of a Follower.
type Options struct {
	Settings func() *settings.Settings // returns the current settings
	Now      func() time.Duration      // monotonic clock that includes time suspended
	Events   *eventlog.Log
	Store    store.Store // Run must not be called if nil
	Health   *storehealth.Health
	Peers    *peer.Client
	Members  Members

	RecordPrefix     string // key prefix of all data that nodes keep in the store
	NodePrefix       string // key prefix of the node records; starts with RecordPrefix
	ConfigurationKey string

	// Version returns the version of the active configuration, or 0 if there is none.
	Version func() uint64
	// InstallStored activates a configuration read from the store unless a newer one is active.
	InstallStored func(item *store.Item) (uint64, error)
	// SendZone sends a message to the nodes of the zone, SendAll to the nodes of all zones.
	SendZone, SendAll func(message *wire.Broadcast)
	// Exchange runs an anti-entropy exchange with the node at address.
	Exchange func(ctx context.Context, address string)
	// OnRecordLost is called when the store has no record of this node.
	OnRecordLost func()
	// ApplyStored is called with the changed items below RecordPrefix, or with all of them if
	// snapshot is set, as of the given store revision.
	ApplyStored func(items []store.Item, snapshot bool, revision int64)
	// OnHeartbeat is called before each heartbeat that this node sends as a follower.
	OnHeartbeat func(ctx context.Context)
}
