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
	// ClaimRowPrefix is the prefix of the rows of idempotency keys.
	ClaimRowPrefix = "claim/"
	// claimTimeout bounds one operation on a claim.
	claimTimeout = 500 * time.Millisecond
)

// Claim says where the request of an idempotency key runs. Only the entry that
// wrote a version of a claim may send the request under its request ID.
type Claim struct {
	ID          structs.RequestID `json:"id"`
	Worker      structs.WorkerID  `json:"worker"`
	Address     string            `json:"address"`     // of the agent
	Incarnation string            `json:"incarnation"` // of the agent
	Version     int64             `json:"version"`     // grows with every move
	SentMS      int64             `json:"sent_ms"`     // lower bound of the agent's clock at the claim
	Revision    int64             `json:"-"`           // of the row that holds it
}

// Claims reserves idempotency keys.
//
// Acquire writes want in place of seen, the claim that the caller knows, or of
// nothing when seen is nil. It returns the claim that holds the key and
// whether that is want. It returns *structs.UnavailableError or
// *structs.UnknownOutcomeError when it can't be told who holds the key; the
// caller must then send nothing.
//
// Find returns the claim that holds the key, or *structs.NotFoundError.
type Claims interface {
	Acquire(ctx context.Context, key string, want Claim, seen *Claim) (held Claim, granted bool, err error)
	Find(ctx context.Context, key string) (Claim, error)
}

// claimKeyOf derives the row name of a caller's key. The key of one team never
// meets that of another.
func claimKeyOf(team structs.TeamID, kind, key string) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%d:%s%s", len(team), team, len(kind), kind, key)))
	return hex.EncodeToString(sum[:16])
}

// TableClaims keeps claims in rows of the table.
type TableClaims struct {
	table substrate.Table
}

// NewTableClaims returns claims that are kept in the table.
func NewTableClaims(table substrate.Table) *TableClaims { return &TableClaims{table: table} }

// Acquire implements Claims with a comparison of the row's revision.
func (t *TableClaims) Acquire(ctx context.Context, key string, want Claim, seen *Claim) (Claim, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row := ClaimRowPrefix + key
	compare := substrate.Compare{Key: row}
	if seen != nil {
		compare.Revision = seen.Revision
		want.Version = seen.Version + 1
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
	return t.readBack(ctx, row, txn.ID)
}

// Find implements Claims.
func (t *TableClaims) Find(ctx context.Context, key string) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	held, _, err := t.read(ctx, ClaimRowPrefix+key)
	return held, err
}

// readBack reads who holds the key after a commit that failed or whose outcome
// is unknown.
func (t *TableClaims) readBack(ctx context.Context, row, txnID string) (Claim, bool, error) {
	held, writer, err := t.read(ctx, row)
	if err != nil {
		// The transaction may still arrive.
		return Claim{}, false, &structs.UnknownOutcomeError{Operation: "claim of an idempotency key", Err: err}
	}
	return held, writer == txnID, nil
}

// read returns the claim in a row and the transaction that wrote it.
func (t *TableClaims) read(ctx context.Context, row string) (held Claim, txnID string, err error) {
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
