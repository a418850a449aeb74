package cell

import (
	"context"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// DomainRow is a failure domain with the revision of its row, for
// compare-and-set.
type DomainRow struct {
	structs.FailureDomain
	Revision int64 `json:"revision"` // 0 if operators have never changed it
}

// Domains records the operators' decisions about failure domains.
type Domains struct {
	settler *settler
}

// NewDomains returns the domains in the table. Call limits one call to it.
func NewDomains(table substrate.Table, call time.Duration) *Domains {
	return &Domains{settler: newSettler(table, call)}
}

// Get returns a failure domain. One without a row is in.
func (d *Domains) Get(ctx context.Context, id structs.FailureDomainID) (DomainRow, error) {
	row, found, err := d.settler.get(ctx, domainKey(id))
	if err != nil {
		return DomainRow{}, err
	}
	out := DomainRow{FailureDomain: structs.FailureDomain{ID: id, State: structs.DomainIn}, Revision: row.Revision}
	if found {
		err = decode(row.Key, row.Value, &out.FailureDomain)
	}
	return out, err
}

// Out takes the failure domain out of service: nothing starts in it a grant
// after this returns. Revision is the one that the operator has seen; another
// decision since gives *structs.ConflictError.
func (d *Domains) Out(ctx context.Context, id structs.FailureDomainID, revision int64, by, reason string) (DomainRow, error) {
	return d.set(ctx, structs.FailureDomain{ID: id, State: structs.DomainOut, By: by, Reason: reason}, revision)
}

// In brings the failure domain back. It returns *structs.ConflictError like
// Out.
func (d *Domains) In(ctx context.Context, id structs.FailureDomainID, revision int64, by, reason string) (DomainRow, error) {
	return d.set(ctx, structs.FailureDomain{ID: id, State: structs.DomainIn, By: by, Reason: reason}, revision)
}

func (d *Domains) set(ctx context.Context, domain structs.FailureDomain, revision int64) (DomainRow, error) {
	key := domainKey(domain.ID)
	txn := substrate.Txn{
		ID:       newTxnID(),
		Compares: []substrate.Compare{{Key: key, Revision: revision}},
		Puts:     []substrate.Put{{Key: key, Value: encode(domain)}},
	}
	committed, _, err := d.settler.commit(ctx, txn, key)
	return DomainRow{FailureDomain: domain, Revision: committed}, err
}

// List returns the failure domains of all cells and those that have a row, in
// no particular order.
func (d *Domains) List(ctx context.Context) ([]DomainRow, error) {
	cells, err := listSummaries(ctx, d.settler)
	if err != nil {
		return nil, err
	}
	known, err := listDomains(ctx, d.settler)
	if err != nil {
		return nil, err
	}
	for _, c := range cells {
		if _, found := known[c.Domain]; !found {
			known[c.Domain] = structs.FailureDomain{ID: c.Domain}
		}
	}
	list := make([]DomainRow, 0, len(known))
	for id := range known {
		row, err := d.Get(ctx, id)
		if err != nil {
			return nil, err
		}
		list = append(list, row)
	}
	return list, nil
}
