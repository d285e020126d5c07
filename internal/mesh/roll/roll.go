// Package roll puts a signed release in the platform's service as the next of
// the mesh's one sequence of versions.
package roll

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/platform"
)

const (
	historyLength = 50
	lostRetries   = 10
	lostPause     = 300 * time.Millisecond
)

// Read gives the release in force in the platform and its index; a nil record
// when none was rolled.
func Read(ctx context.Context, store platform.Store, mesh string) (*platform.ReleaseRecord, uint64, error) {
	entry, err := store.Get(ctx, platform.ReleaseKey(mesh))
	if err != nil || entry.Index == 0 {
		return nil, 0, err
	}
	record, err := platform.DecodeReleaseRecord(entry.Value)
	if err != nil {
		return nil, 0, err
	}
	return record, entry.Index, nil
}

// Roll writes the release if its version is the next one. Each roll has an id of
// its own: when the answer to the write is lost, the record is read again, and
// the id tells whether the write that stands there is this one. Of two operators
// one wins; the other gets an error of kind Conflict that names the winner.
func Roll(ctx context.Context, store platform.Store, release *bundle.Release) (*platform.HistoryEntry, error) {
	stamped := *release
	stamped.RollID = strconv.FormatUint(rand.Uint64(), 36)
	record, index, err := Read(ctx, store, release.Mesh)
	if err != nil {
		return nil, err
	}
	if err := checkNext(record, &stamped); err != nil {
		return nil, err
	}
	entry := platform.HistoryEntry{
		Version: stamped.Version, Signer: stamped.Signer, RollID: stamped.RollID, Digest: hex.EncodeToString(stamped.Digest), RolledAt: time.Now().UTC(),
	}
	next := &platform.ReleaseRecord{Release: &stamped, History: []platform.HistoryEntry{entry}}
	if record != nil {
		next.History = append(next.History, record.History...)
		next.History = next.History[:min(len(next.History), historyLength)]
	}
	value, err := next.Encode()
	if err != nil {
		return nil, err
	}
	written, err := store.CompareAndSwap(ctx, platform.ReleaseKey(release.Mesh), value, index)
	if err != nil && !failure.Is(err, failure.Uncertain) {
		return nil, err
	}
	if err == nil && written {
		return &entry, nil
	}
	return settle(ctx, store, &stamped, entry, err)
}

func checkNext(record *platform.ReleaseRecord, release *bundle.Release) error {
	current := int64(0)
	if record != nil {
		current = record.Release.Version
	}
	if release.Version == current+1 {
		return nil
	}
	if record != nil && release.Version <= current {
		return conflict(record, release)
	}
	return failure.New(failure.BadInput, "set version to "+strconv.FormatInt(current+1, 10)+" and sign again", "version %d does not follow version %d", release.Version, current)
}

func conflict(record *platform.ReleaseRecord, release *bundle.Release) error {
	winner := record.Release
	return failure.New(failure.Conflict, "look at `landingmast bundle diff`, take over the change, set version to "+strconv.FormatInt(winner.Version+1, 10)+" and sign again",
		"version %d stands already: signed by %s, rolled as %s", winner.Version, winner.Signer, winner.RollID)
}

// settle finds out what became of a write that was refused or whose answer was lost.
func settle(ctx context.Context, store platform.Store, release *bundle.Release, entry platform.HistoryEntry, lost error) (*platform.HistoryEntry, error) {
	for range lostRetries {
		record, _, err := Read(ctx, store, release.Mesh)
		if err == nil {
			return judge(record, release, entry, lost)
		}
		lost = err
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(lostPause):
		}
	}
	return nil, failure.Wrap(lost, failure.Uncertain, "run `landingmast bundle history` once the platform answers: version "+
		strconv.FormatInt(release.Version, 10)+" with roll id "+release.RollID+" is this one", "it is not known whether the release was rolled")
}

func judge(record *platform.ReleaseRecord, release *bundle.Release, entry platform.HistoryEntry, lost error) (*platform.HistoryEntry, error) {
	if record != nil {
		for _, line := range record.History {
			if line.RollID == release.RollID {
				return &entry, nil
			}
		}
		if record.Release.Version >= release.Version {
			return nil, conflict(record, release)
		}
	}
	if lost != nil {
		return nil, failure.Wrap(lost, failure.Unavailable, "roll it again", "release was not rolled")
	}
	return nil, failure.New(failure.Conflict, "roll it again", "another change came first")
}
