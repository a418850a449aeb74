package config

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"maps"

	"github.com/daisywall/daisywall/structs"
)

// maxUpdateBytes bounds the size of an update once it is unpacked.
const maxUpdateBytes = 16 << 20

// update carries a revision to another daemon. A delta lists the teams that
// differ from the base revision, packed with their base documents as the
// dictionary; a full update has base 0 and lists every team.
type update struct {
	Revision int64            `json:"revision"`
	Base     int64            `json:"base,omitempty"`
	Sum      uint64           `json:"sum"` // of the resulting snapshot
	Removed  []structs.TeamID `json:"removed,omitempty"`
	Changed  []structs.TeamID `json:"changed"`
	Packed   []byte           `json:"packed"` // documents of Changed as a JSON list, deflated
}

// encodeUpdate packs the step from base to next. A nil base gives a full
// update.
func encodeUpdate(base, next *snapshot) ([]byte, error) {
	u := update{Revision: next.revision, Sum: next.sum, Changed: next.order}
	if base != nil {
		u.Base = base.revision
		u.Changed, u.Removed = next.changedFrom(base)
	}
	documents := make([]json.RawMessage, len(u.Changed))
	for i, id := range u.Changed {
		documents[i] = json.RawMessage(next.teams[id])
	}
	plain, err := json.Marshal(documents)
	if err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	if u.Packed, err = pack(plain, dictionary(base, u.Changed)); err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	data, err := json.Marshal(u)
	if err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	return data, nil
}

// decodeHeader reads an update without unpacking it.
func decodeHeader(data []byte) (update, error) {
	var u update
	if err := json.Unmarshal(data, &u); err != nil {
		return u, &CorruptError{Source: "update", Detail: "not readable", Err: err}
	}
	if u.Revision <= 0 || u.Base < 0 || u.Base >= u.Revision {
		return u, &CorruptError{Source: "update", Detail: fmt.Sprintf("revision %d on base %d", u.Revision, u.Base)}
	}
	return u, nil
}

// unpack builds the snapshot of the update on base, which is nil for a full
// update.
func (u update) unpack(base *snapshot) (*snapshot, error) {
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
		teams[id] = document(documents[i])
	}
	for _, id := range u.Removed {
		delete(teams, id)
	}
	next, err := buildSnapshot(u.Revision, teams, base)
	if err != nil {
		return nil, err
	}
	if next.sum != u.Sum {
		return nil, &CorruptError{Source: "update", Detail: "checksum differs, teams " + joinIDs(u.Changed)}
	}
	return next, nil
}

// dictionary joins the base documents of the teams.
func dictionary(base *snapshot, teams []structs.TeamID) []byte {
	if base == nil {
		return nil
	}
	var joined []byte
	for _, id := range teams {
		joined = append(joined, base.teams[id]...)
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
