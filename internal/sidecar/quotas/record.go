package quotas

import (
	"context"

	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/internal/wire"
)

// readRecord reads the record of a shard. It returns nil if the shard has none.
func (s *Server) readRecord(ctx context.Context, shard int) (*store.Item, *wire.KeeperRecord, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, _, err := s.options.Store.Get(call, s.keepers.key(shard))
	s.options.StoreHealth.Record("read", err)
	if err != nil || item == nil {
		return nil, nil, err
	}
	record, err := wire.KeeperRecordCodec.Decode(item.Value)
	return item, record, err
}

// ownKeeper returns the entry that names this node as the keeper of a shard.
func (s *Server) ownKeeper(shard int, revision int64) *wire.Keeper {
	own := s.options.Settings()
	return &wire.Keeper{Shard: shard, Node: own.Node, Address: own.Listen.Inbound, Incarnation: s.options.Incarnation, Revision: revision}
}

// writeRecord writes the record of a shard with this node as its keeper and returns the new
// revision. The write succeeds only if the record is still at the given revision, or does not
// exist if revision is 0.
func (s *Server) writeRecord(ctx context.Context, shard int, lease int64, holders []string, maxShare float64, revision int64) (int64, error) {
	own := s.options.Settings()
	value, err := wire.KeeperRecordCodec.Encode(&wire.KeeperRecord{
		Node: own.Node, Incarnation: s.options.Incarnation, Address: own.Listen.Inbound, Listed: holders, Part: maxShare,
	})
	if err != nil {
		return 0, err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := s.options.Store.Put(call, store.Write{Key: s.keepers.key(shard), Value: value, Lease: lease, IfRevision: &revision})
	s.options.StoreHealth.Record("keeper", err)
	return written, err
}
