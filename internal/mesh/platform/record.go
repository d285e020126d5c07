package platform

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
)

// ReleaseRecord is the value stored under ReleaseKey.
type ReleaseRecord struct {
	Release *bundle.Release `json:"release"`
	History []HistoryEntry  `json:"history"` // newest first
}

// HistoryEntry describes one rolled release of a mesh.
type HistoryEntry struct {
	Version  int64     `json:"version"`
	Signer   string    `json:"signer"`
	RollID   string    `json:"roll_id"`
	Digest   string    `json:"digest"`
	RolledAt time.Time `json:"rolled_at"`
}

// MaxRecord is the maximum size of a decompressed record, in bytes.
const MaxRecord = 16 << 20

// Encode returns the record as gzip-compressed JSON. With thousands of targets the
// uncompressed JSON exceeds Consul's limit of 512 KB per value.
func (r *ReleaseRecord) Encode() ([]byte, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if err := json.NewEncoder(writer).Encode(r); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this as a bug", "cannot encode the release record")
	}
	if err := writer.Close(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this as a bug", "cannot encode the release record")
	}
	return compressed.Bytes(), nil
}

// DecodeReleaseRecord decodes a record written by Encode.
func DecodeReleaseRecord(data []byte) (*ReleaseRecord, error) {
	decodeError := func(err error) error {
		return failure.Wrap(err, failure.BadInput, "roll a bundle again, or restore the key in the platform's service", "stored release record is malformed")
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, decodeError(err)
	}
	record := &ReleaseRecord{}
	if err := json.NewDecoder(io.LimitReader(reader, MaxRecord)).Decode(record); err != nil {
		return nil, decodeError(err)
	}
	if record.Release == nil {
		return nil, decodeError(io.ErrUnexpectedEOF)
	}
	return record, nil
}
