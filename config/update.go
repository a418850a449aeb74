package config

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/daisywall/daisywall/api/configpb"
	"github.com/daisywall/daisywall/structs"
)

// maxUpdateBytes bounds the decompressed size of an update.
const maxUpdateBytes = 16 << 20

// encodeUpdate encodes the update from base to next. A nil base gives a full
// update.
func encodeUpdate(base, next *snapshot) ([]byte, error) {
	u := &configpb.Update{Revision: next.revision, Sum: next.checksum}
	changed, removed := next.sortedIDs, []structs.TeamID(nil)
	if base != nil {
		u.Base = base.revision
		changed, removed = next.changedTeams(base)
	}
	documents := make([]json.RawMessage, len(changed))
	for i, id := range changed {
		documents[i] = json.RawMessage(next.documents[id])
		u.Changed = append(u.Changed, string(id))
	}
	for _, id := range removed {
		u.Removed = append(u.Removed, string(id))
	}
	plain, err := json.Marshal(documents)
	if err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	if u.Packed, err = deflate(plain, buildDictionary(base, u.Changed)); err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	data, err := proto.Marshal(u)
	if err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	return data, nil
}

// decodeUpdate decodes an update without decompressing its documents.
func decodeUpdate(data []byte) (*configpb.Update, error) {
	u := &configpb.Update{}
	if err := proto.Unmarshal(data, u); err != nil {
		return nil, &CorruptError{Source: "update", Detail: "malformed message", Err: err}
	}
	if u.Revision <= 0 || u.Base < 0 || u.Base >= u.Revision {
		return nil, &CorruptError{Source: "update", Detail: fmt.Sprintf("invalid revision %d on base %d", u.Revision, u.Base)}
	}
	return u, nil
}

// applyUpdate returns the snapshot that results from the update on base. Base
// is nil for a full update.
func applyUpdate(u *configpb.Update, base *snapshot) (*snapshot, error) {
	plain, err := inflate(u.Packed, buildDictionary(base, u.Changed))
	if err != nil {
		return nil, &CorruptError{Source: "update", Detail: "malformed compressed data", Err: err}
	}
	var documents []json.RawMessage
	if err := json.Unmarshal(plain, &documents); err != nil {
		return nil, &CorruptError{Source: "update", Detail: "malformed JSON", Err: err}
	}
	if len(documents) != len(u.Changed) {
		return nil, &CorruptError{Source: "update", Detail: "number of documents differs from the number of changed teams"}
	}
	documentsByTeam := map[structs.TeamID]document{}
	if base != nil {
		documentsByTeam = maps.Clone(base.documents)
	}
	for i, id := range u.Changed {
		documentsByTeam[structs.TeamID(id)] = document(documents[i])
	}
	for _, id := range u.Removed {
		delete(documentsByTeam, structs.TeamID(id))
	}
	next, err := buildSnapshot(u.Revision, documentsByTeam, base)
	if err != nil {
		return nil, err
	}
	if next.checksum != u.Sum {
		return nil, &CorruptError{Source: "update", Detail: "checksum mismatch, changed teams " + strings.Join(u.Changed, ",")}
	}
	return next, nil
}

// buildDictionary joins the base documents of the teams as the compression
// dictionary.
func buildDictionary(base *snapshot, teams []string) []byte {
	if base == nil {
		return nil
	}
	var joined []byte
	for _, id := range teams {
		joined = append(joined, base.documents[structs.TeamID(id)]...)
	}
	return joined
}

func deflate(plain, dict []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriterDict(&packed, flate.BestCompression, dict)
	if err != nil {
		return nil, fmt.Errorf("deflate: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("deflate: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("deflate: %w", err)
	}
	return packed.Bytes(), nil
}

func inflate(packed, dict []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dict)
	plain, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes+1))
	if err != nil {
		return nil, fmt.Errorf("inflate: %w", err)
	}
	if len(plain) > maxUpdateBytes {
		return nil, &CorruptError{Source: "update", Detail: fmt.Sprintf("larger than %d bytes", maxUpdateBytes)}
	}
	return plain, nil
}
