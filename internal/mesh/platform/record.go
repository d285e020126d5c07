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

// ReleaseRecord is what stands under ReleaseKey.
type ReleaseRecord struct {
	Release *bundle.Release `json:"release"`
	History []HistoryEntry  `json:"history"` // newest first
}

// HistoryEntry is one line of the history of a mesh's bundles.
type HistoryEntry struct {
	Version  int64     `json:"version"`
	Signer   string    `json:"signer"`
	RollID   string    `json:"roll_id"`
	Digest   string    `json:"digest"`
	RolledAt time.Time `json:"rolled_at"`
}

// MaxRecord bounds an unpacked record, in bytes.
const MaxRecord = 16 << 20

// Encode writes the record as compressed JSON: at thousands of targets the plain
// text would be larger than the 512 KB that the published protocol allows.
func (r *ReleaseRecord) Encode() ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if err := json.NewEncoder(writer).Encode(r); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "release cannot be written")
	}
	if err := writer.Close(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "release cannot be written")
	}
	return packed.Bytes(), nil
}

// DecodeReleaseRecord reads a record.
func DecodeReleaseRecord(data []byte) (*ReleaseRecord, error) {
	broken := func(err error) error {
		return failure.Wrap(err, failure.BadInput, "roll a bundle again, or restore the key in the platform's service", "release in the platform cannot be read")
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, broken(err)
	}
	record := &ReleaseRecord{}
	if err := json.NewDecoder(io.LimitReader(reader, MaxRecord)).Decode(record); err != nil {
		return nil, broken(err)
	}
	if record.Release == nil {
		return nil, broken(io.ErrUnexpectedEOF)
	}
	return record, nil
}
