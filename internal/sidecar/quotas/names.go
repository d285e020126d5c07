package quotas

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	"github.com/landingmast/landingmast/internal/store"
)

// holderName is the name of a node in a record: with its address, since there is one process
// at a time at an address.
func holderName(node, address string) string { return node + " " + address }

func addressOfHolder(holder string) string {
	_, address, _ := strings.Cut(holder, " ")
	return address
}

// addNameLocked has a node that asks for the first time added to the record of a shard.
func (s *Server) addNameLocked(shard int, held *heldShard, name string) {
	held.joining[name] = true
	if held.writing {
		return
	}
	held.writing = true
	time.AfterFunc(gatherNames, func() { s.writeNames(shard, held) })
}

// writeNames writes the nodes that join into the record; from then on they get shares.
func (s *Server) writeNames(shard int, held *heldShard) {
	added, written, err := s.storeNames(shard, held)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held.writing = false
	if err != nil {
		s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: "names not written", Epoch: held.epoch, Error: err.Error()}, eventlog.Failure)
		return // the nodes ask again and are then added
	}
	held.revision = written
	held.keeper.List(s.options.Now(), added)
	for _, name := range added {
		delete(held.joining, name)
	}
	s.keepers.Learn(s.ownKeeper(shard, written))
}

// storeNames writes the record of a shard with the nodes that join. It returns their names
// and the record's new revision.
func (s *Server) storeNames(shard int, held *heldShard) (added []string, written int64, err error) {
	s.mutex.Lock()
	names := held.keeper.Listed()
	added = slices.Collect(maps.Keys(held.joining))
	lease, revision, kept := s.lease, held.revision, s.held[shard] == held
	s.mutex.Unlock()
	if !kept || lease == nil {
		return added, 0, errors.New("no longer kept")
	}
	written, err = s.writeRecord(context.Background(), shard, lease.ID, append(names, added...), held.part, revision)
	if errors.Is(err, store.ErrUncertain) || errors.Is(err, store.ErrConflict) {
		written, err = s.confirmNames(shard, added)
	}
	return added, written, err
}

// confirmNames reads the record after a write whose outcome is not known. If it has the names,
// they count as written. A write that is done only later cannot overwrite anything, since the
// next one expects another revision.
func (s *Server) confirmNames(shard int, added []string) (int64, error) {
	item, record, err := s.readRecord(context.Background(), shard)
	if err != nil {
		return 0, err
	}
	if record == nil || record.Incarnation != s.options.Incarnation {
		return 0, errors.New("another node keeps the shard")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.held[shard]
	if held == nil {
		return 0, errors.New("no longer kept")
	}
	held.revision = item.Revision
	for _, name := range added {
		if !slices.Contains(record.Listed, name) {
			return 0, errors.New("names are not in the store")
		}
	}
	return item.Revision, nil
}
