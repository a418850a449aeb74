package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// ClaimRowPrefix is the prefix of the table rows that hold claims of
	// idempotency keys.
	ClaimRowPrefix = "claim/"
	// claimTimeout bounds one operation on a claim.
	claimTimeout = 500 * time.Millisecond
)

// Claim names the agent and the request ID of the only attempt that may run
// under an idempotency key. Only the entry that wrote a version of the claim
// may send that attempt.
type Claim struct {
	RequestID    structs.RequestID `json:"id"`
	Worker       structs.WorkerID  `json:"worker"`
	Address      string            `json:"address"`     // address of the agent
	Incarnation  string            `json:"incarnation"` // incarnation of the agent
	Version      int64             `json:"version"`     // 1 for the first claim of the key, increased by 1 for each further attempt
	AgentClockMS int64             `json:"sent_ms"`     // lower bound of the agent's clock when the claim was made
	Revision     int64             `json:"-"`           // table revision of the claim's row
}

// ClaimStore reserves idempotency keys.
//
// Acquire writes want in place of previous, the claim that the caller has read,
// or creates it when previous is nil. It returns the claim that holds the key
// and whether that claim is want. It returns *structs.UnavailableError or
// *structs.UnknownOutcomeError when the holder of the key can't be determined.
// The caller must not send the request then.
//
// Find returns the claim that holds the key, or *structs.NotFoundError.
type ClaimStore interface {
	Acquire(ctx context.Context, key string, want Claim, previous *Claim) (held Claim, granted bool, err error)
	Find(ctx context.Context, key string) (Claim, error)
}

// claimRowName hashes the team, the request kind and the caller's idempotency
// key to a row name without the prefix. The lengths in the hashed text keep
// keys of different teams apart.
func claimRowName(team structs.TeamID, kind, key string) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%d:%s%s", len(team), team, len(kind), kind, key)))
	return hex.EncodeToString(sum[:16])
}

// TableClaimStore keeps claims in rows of the table service.
type TableClaimStore struct {
	table substrate.Table
}

// NewTableClaimStore returns a ClaimStore that uses the table.
func NewTableClaimStore(table substrate.Table) *TableClaimStore {
	return &TableClaimStore{table: table}
}

// Acquire implements ClaimStore. The commit compares the row's revision, so
// that one of several concurrent callers succeeds.
func (t *TableClaimStore) Acquire(ctx context.Context, key string, want Claim, previous *Claim) (Claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row := ClaimRowPrefix + key
	compare := substrate.Compare{Key: row}
	if previous != nil {
		compare.Revision = previous.Revision
		want.Version = previous.Version + 1
	}
	value, err := json.Marshal(want)
	if err != nil {
		return Claim{}, false, fmt.Errorf("claim: %w", err)
	}
	txn := substrate.Txn{ID: uuid.NewString(), Compares: []substrate.Compare{compare}, Puts: []substrate.Put{{Key: row, Value: value}}}
	revision, err := t.table.Commit(ctx, txn)
	if err == nil {
		want.Revision = revision
		return want, true, nil
	}
	var conflict *structs.ConflictError
	var unknown *structs.UnknownOutcomeError
	if !errors.As(err, &conflict) && !errors.As(err, &unknown) {
		return Claim{}, false, err
	}
	return t.readHolder(ctx, row, txn.ID)
}

// Find implements ClaimStore.
func (t *TableClaimStore) Find(ctx context.Context, key string) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	held, _, err := t.read(ctx, ClaimRowPrefix+key)
	return held, err
}

// readHolder reads the claim that holds the key, after a commit that conflicted
// or whose outcome is unknown. It reports whether the given transaction wrote
// that claim.
func (t *TableClaimStore) readHolder(ctx context.Context, row, txnID string) (Claim, bool, error) {
	held, writer, err := t.read(ctx, row)
	if err != nil {
		// The transaction may still be applied.
		return Claim{}, false, &structs.UnknownOutcomeError{Operation: "claim of an idempotency key", Err: err}
	}
	return held, writer == txnID, nil
}

// read returns the claim in a row and the ID of the transaction that wrote it.
func (t *TableClaimStore) read(ctx context.Context, row string) (held Claim, txnID string, err error) {
	stored, err := t.table.Get(ctx, row)
	if err != nil {
		return Claim{}, "", err
	}
	if err := json.Unmarshal(stored.Value, &held); err != nil {
		return Claim{}, "", fmt.Errorf("claim row: %w", err)
	}
	held.Revision = stored.Revision
	return held, stored.TxnID, nil
}
