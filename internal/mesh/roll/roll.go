// Package roll publishes signed releases to the platform's key-value store. The versions
// of a mesh form a single sequence.
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
	historyLength  = 50 // entries kept in the release record
	verifyAttempts = 10
	verifyInterval = 300 * time.Millisecond
)

// Read returns the current release record and its index, or a nil record if the mesh has
// no release.
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

// Roll publishes the release if its version is the next in the sequence. Every roll has a
// unique ID, by which a write whose response was lost is found in the stored record. If
// another operator has published the version first, Roll returns an error of kind Conflict
// that names that release.
func Roll(ctx context.Context, store platform.Store, release *bundle.Release) (*platform.HistoryEntry, error) {
	stamped := *release
	stamped.RollID = strconv.FormatUint(rand.Uint64(), 36)
	record, index, err := Read(ctx, store, release.Mesh)
	if err != nil {
		return nil, err
	}
	if err := checkVersion(record, &stamped); err != nil {
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
	return resolveUncertainWrite(ctx, store, &stamped, entry, err)
}

func checkVersion(record *platform.ReleaseRecord, release *bundle.Release) error {
	current := int64(0)
	if record != nil {
		current = record.Release.Version
	}
	if release.Version == current+1 {
		return nil
	}
	if record != nil && release.Version <= current {
		return conflictError(record, release)
	}
	return failure.New(failure.BadInput, "set version to "+strconv.FormatInt(current+1, 10)+" and sign the bundle again", "version %d does not follow version %d", release.Version, current)
}

func conflictError(record *platform.ReleaseRecord, release *bundle.Release) error {
	current := record.Release
	return failure.New(failure.Conflict, "compare with `landingmast bundle diff`, merge the change, set version to "+strconv.FormatInt(current.Version+1, 10)+" and sign the bundle again",
		"version %d already exists: signed by %s, roll ID %s", current.Version, current.Signer, current.RollID)
}

// resolveUncertainWrite reads the record back to determine the result of a write that was
// rejected or whose response was lost.
func resolveUncertainWrite(ctx context.Context, store platform.Store, release *bundle.Release, entry platform.HistoryEntry, writeErr error) (*platform.HistoryEntry, error) {
	for range verifyAttempts {
		record, _, err := Read(ctx, store, release.Mesh)
		if err == nil {
			return writeResult(record, release, entry, writeErr)
		}
		writeErr = err
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(verifyInterval):
		}
	}
	return nil, failure.Wrap(writeErr, failure.Uncertain, "run `landingmast bundle history` once the platform is reachable: the release took effect if version "+
		strconv.FormatInt(release.Version, 10)+" has roll ID "+release.RollID, "cannot determine whether the release was published")
}

// writeResult derives the result of a write from the record read afterwards.
func writeResult(record *platform.ReleaseRecord, release *bundle.Release, entry platform.HistoryEntry, writeErr error) (*platform.HistoryEntry, error) {
	if record != nil {
		for _, published := range record.History {
			if published.RollID == release.RollID {
				return &entry, nil
			}
		}
		if record.Release.Version >= release.Version {
			return nil, conflictError(record, release)
		}
	}
	if writeErr != nil {
		return nil, failure.Wrap(writeErr, failure.Unavailable, "roll the release again", "release was not published")
	}
	return nil, failure.New(failure.Conflict, "roll the release again", "the release record was modified concurrently")
}
