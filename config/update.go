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

// maxUpdateBytes bounds the size of an update once it is unpacked.
const maxUpdateBytes = 16 << 20

// encodeUpdate packs the step from base to next. A nil base gives a full
// update.
func encodeUpdate(base, next *snapshot) ([]byte, error) {
	u := &configpb.Update{Revision: next.revision, Sum: next.sum}
	changed, removed := next.order, []structs.TeamID(nil)
	if base != nil {
		u.Base = base.revision
		changed, removed = next.changedFrom(base)
	}
	documents := make([]json.RawMessage, len(changed))
	for i, id := range changed {
		documents[i] = json.RawMessage(next.teams[id])
		u.Changed = append(u.Changed, string(id))
	}
	for _, id := range removed {
		u.Removed = append(u.Removed, string(id))
	}
	plain, err := json.Marshal(documents)
	if err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	if u.Packed, err = pack(plain, dictionary(base, u.Changed)); err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	data, err := proto.Marshal(u)
	if err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	return data, nil
}

// decodeUpdate reads an update without unpacking it.
func decodeUpdate(data []byte) (*configpb.Update, error) {
	u := &configpb.Update{}
	if err := proto.Unmarshal(data, u); err != nil {
		return nil, &CorruptError{Source: "update", Detail: "not readable", Err: err}
	}
	if u.Revision <= 0 || u.Base < 0 || u.Base >= u.Revision {
		return nil, &CorruptError{Source: "update", Detail: fmt.Sprintf("revision %d on base %d", u.Revision, u.Base)}
	}
	return u, nil
}

// unpackUpdate builds the snapshot of the update on base, which is nil for a
// full update.
func unpackUpdate(u *configpb.Update, base *snapshot) (*snapshot, error) {
	plain, err := unpack(u.Packed, dictionary(base, u.Changed))
	if err != nil {
		return nil, &CorruptError{Source: "update", Detail: "not unpackable", Err: err}
	}
	var documents []json.RawMessage
	if err := json.Unmarshal(plain, &documents); err != nil {
		return nil, &CorruptError{Source: "update", Detail: "not readable", Err: err}
	}
	if len(documents) != len(u.Changed) {
		return nil, &CorruptError{Source: "update", Detail: "teams and documents differ in number"}
	}
	teams := map[structs.TeamID]document{}
	if base != nil {
		teams = maps.Clone(base.teams)
	}
	for i, id := range u.Changed {
		teams[structs.TeamID(id)] = document(documents[i])
	}
	for _, id := range u.Removed {
		delete(teams, structs.TeamID(id))
	}
	next, err := buildSnapshot(u.Revision, teams, base)
	if err != nil {
		return nil, err
	}
	if next.sum != u.Sum {
		return nil, &CorruptError{Source: "update", Detail: "checksum differs, teams " + strings.Join(u.Changed, ",")}
	}
	return next, nil
}

// dictionary joins the base documents of the teams.
func dictionary(base *snapshot, teams []string) []byte {
	if base == nil {
		return nil
	}
	var joined []byte
	for _, id := range teams {
		joined = append(joined, base.teams[structs.TeamID(id)]...)
	}
	return joined
}

func pack(plain, dict []byte) ([]byte, error) {
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

func unpack(packed, dict []byte) ([]byte, error) {
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
