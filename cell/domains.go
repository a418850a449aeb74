package cell

import (
	"context"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// DomainRow is a failure domain with the revision of its row, which a
// compare-and-set operation needs.
type DomainRow struct {
	structs.FailureDomain
	Revision int64 `json:"revision"` // 0 if no operator has changed it
}

// Domains records the operators' decisions about failure domains.
type Domains struct {
	client *tableClient
}

// NewDomains returns the failure domains in the table. callTimeout bounds each
// table call.
func NewDomains(table substrate.Table, callTimeout time.Duration) *Domains {
	return &Domains{client: newTableClient(table, callTimeout)}
}

// Get returns a failure domain. A failure domain without a row is in service.
func (d *Domains) Get(ctx context.Context, id structs.FailureDomainID) (DomainRow, error) {
	row, found, err := d.client.get(ctx, domainKey(id))
	if err != nil {
		return DomainRow{}, err
	}
	out := DomainRow{FailureDomain: structs.FailureDomain{ID: id, State: structs.DomainIn}, Revision: row.Revision}
	if found {
		err = decode(row.Key, row.Value, &out.FailureDomain)
	}
	return out, err
}

// TakeOutOfService takes the failure domain out of service. Nothing starts in
// it later than Timing.StartGrant after TakeOutOfService has returned. revision
// is the row revision that the operator has read. If the row has changed since
// then, TakeOutOfService returns *structs.ConflictError.
func (d *Domains) TakeOutOfService(ctx context.Context, id structs.FailureDomainID, revision int64, by, reason string) (DomainRow, error) {
	return d.set(ctx, structs.FailureDomain{ID: id, State: structs.DomainOut, SetBy: by, Reason: reason}, revision)
}

// ReturnToService returns the failure domain to service. revision is the row
// revision that the operator has read. If the row has changed since then,
// ReturnToService returns *structs.ConflictError.
func (d *Domains) ReturnToService(ctx context.Context, id structs.FailureDomainID, revision int64, by, reason string) (DomainRow, error) {
	return d.set(ctx, structs.FailureDomain{ID: id, State: structs.DomainIn, SetBy: by, Reason: reason}, revision)
}

func (d *Domains) set(ctx context.Context, domain structs.FailureDomain, revision int64) (DomainRow, error) {
	key := domainKey(domain.ID)
	txn := substrate.Txn{
		ID:       newTxnID(),
		Compares: []substrate.Compare{{Key: key, Revision: revision}},
		Puts:     []substrate.Put{{Key: key, Value: encode(domain)}},
	}
	committed, _, err := d.client.commit(ctx, txn, key)
	return DomainRow{FailureDomain: domain, Revision: committed}, err
}

// List returns the failure domains of all cells and all failure domains with a
// row, in no particular order.
func (d *Domains) List(ctx context.Context) ([]DomainRow, error) {
	cells, err := listSummaries(ctx, d.client)
	if err != nil {
		return nil, err
	}
	domains, err := listDomains(ctx, d.client)
	if err != nil {
		return nil, err
	}
	for _, c := range cells {
		if _, found := domains[c.Domain]; !found {
			domains[c.Domain] = structs.FailureDomain{ID: c.Domain}
		}
	}
	list := make([]DomainRow, 0, len(domains))
	for id := range domains {
		row, err := d.Get(ctx, id)
		if err != nil {
			return nil, err
		}
		list = append(list, row)
	}
	return list, nil
}
