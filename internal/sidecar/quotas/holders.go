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

// holderName returns the name that identifies a node in a record. It includes the address,
// since only one process at a time can listen on it.
func holderName(node, address string) string { return node + " " + address }

func addressOfHolder(holder string) string {
	_, address, _ := strings.Cut(holder, " ")
	return address
}

// addHolderLocked schedules a write that adds a new node to the record of a shard.
func (s *Server) addHolderLocked(shard int, state *shardState, name string) {
	state.joiningHolders[name] = true
	if state.writing {
		return
	}
	state.writing = true
	time.AfterFunc(holderBatchDelay, func() { s.updateHolders(shard, state) })
}

// updateHolders writes the holders of a shard to its record. Joining nodes receive shares only
// after that.
func (s *Server) updateHolders(shard int, state *shardState) {
	added, revision, err := s.writeHolders(shard, state)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state.writing = false
	if err != nil {
		s.options.Events.Add(eventlog.Keeper{Shard: shard, Change: "names not written", Epoch: state.epoch, Error: err.Error()}, eventlog.Failure)
		return // the next request of a joining node schedules another write
	}
	state.revision = revision
	state.keeper.AddListed(s.options.Now(), added)
	for _, name := range added {
		delete(state.joiningHolders, name)
	}
	s.keepers.Learn(s.ownKeeper(shard, revision))
}

// writeHolders writes the record of a shard with its current and joining holders. It returns
// the names of the joining ones and the new revision of the record.
func (s *Server) writeHolders(shard int, state *shardState) (added []string, written int64, err error) {
	s.mutex.Lock()
	current := state.keeper.Listed()
	added = slices.Collect(maps.Keys(state.joiningHolders))
	lease, revision, kept := s.lease, state.revision, s.shards[shard] == state
	s.mutex.Unlock()
	if !kept || lease == nil {
		return added, 0, errors.New("this node is no longer the keeper of the shard")
	}
	written, err = s.writeRecord(context.Background(), shard, lease.ID, append(current, added...), state.maxShare, revision)
	if errors.Is(err, store.ErrNoResponse) || errors.Is(err, store.ErrConflict) {
		written, err = s.confirmHolders(shard, added)
	}
	return added, written, err
}

// confirmHolders reads the record after a write with an unknown outcome and returns its
// revision if it contains the added holders. If the store applies the write only after this
// read, it cannot overwrite a newer record, since it expects an older revision.
func (s *Server) confirmHolders(shard int, added []string) (int64, error) {
	item, record, err := s.readRecord(context.Background(), shard)
	if err != nil {
		return 0, err
	}
	if record == nil || record.Incarnation != s.options.Incarnation {
		return 0, errors.New("another process is the keeper of the shard")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.shards[shard]
	if state == nil {
		return 0, errors.New("this node is no longer the keeper of the shard")
	}
	state.revision = item.Revision
	for _, name := range added {
		if !slices.Contains(record.Listed, name) {
			return 0, errors.New("record in the store does not list the new nodes")
		}
	}
	return item.Revision, nil
}
