package cell

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// inboxPageRows is the number of inbox rows that are read at a time.
const inboxPageRows = 32

// domainState is the leader's last reading of its failure domain.
type domainState struct {
	polled       bool // the last poll has read the failure domain, the inbox and the quotas
	revision     int64
	outOfService bool
	returnedAt   time.Time     // when this leader read that the domain is back in service, zero if it has not
	startLimiter *rate.Limiter // limits starts after the return to service
	handoffCells []handoffCell // cells that can accept tasks of this cell
}

// inboxRow is a row of the inbox with all the rows that its acceptance
// compares.
type inboxRow struct {
	key         string
	inbox       Inbox
	job         jobRow
	prior       Status // status row of the cell before the acceptance
	comparisons []substrate.Compare
	jobMissing  bool // the job does not exist
}

// Inbox is the value of an inbox row.
type Inbox struct {
	Job    structs.JobID `json:"job"`
	Tasks  []Handoff     `json:"tasks,omitempty"`
	Cancel bool          `json:"cancel,omitempty"`
}

// poll reads the inbox, the failure domain and the quotas until ctx ends.
func (l *leader) poll(ctx context.Context) {
	timer := time.NewTicker(l.options.Timing.PollInterval)
	defer timer.Stop()
	for {
		if err := l.pollOnce(ctx); err != nil && ctx.Err() == nil {
			l.options.Log.Debug("poll", zap.String("cell", string(l.cell)), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.pollRequested:
		}
	}
}

// requestPoll requests an immediate poll of the table.
func (l *leader) requestPoll() {
	select {
	case l.pollRequested <- struct{}{}:
	default:
	}
}

// discardPolledRows discards the rows that were read from the table after a
// comparison with them has failed.
func (l *leader) discardPolledRows() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbox = nil
	l.domain.polled = false
	l.requestPoll()
}

func (l *leader) pollOnce(ctx context.Context) error {
	if err := l.pollDomain(ctx); err != nil {
		return err
	}
	if err := l.pollInbox(ctx); err != nil {
		return err
	}
	if err := l.pollQuotas(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	l.domain.polled = true
	l.mu.Unlock()
	l.wakeLoop()
	return nil
}

// pollDomain reads the row of the failure domain.
func (l *leader) pollDomain(ctx context.Context) error {
	row, found, err := l.client.get(ctx, domainKey(l.options.Domain))
	if err != nil {
		return err
	}
	var domain structs.FailureDomain
	if found {
		if err := decode(row.Key, row.Value, &domain); err != nil {
			return err
		}
	}
	outOfService := domain.State == structs.DomainOut
	var handoffCells []handoffCell
	if outOfService || l.foreign {
		if handoffCells, err = l.readHandoffCells(ctx); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Revision < l.domain.revision {
		return nil
	}
	if l.domain.outOfService && !outOfService {
		l.domain.returnedAt = time.Now()
		l.domain.startLimiter = newStartLimiter(l.options.Timing)
	}
	l.domain.revision, l.domain.outOfService, l.domain.handoffCells = row.Revision, outOfService, handoffCells
	return nil
}

// pollInbox reads the first inbox rows and the rows that their acceptance
// needs.
func (l *leader) pollInbox(ctx context.Context) error {
	rows, err := l.client.list(ctx, inboxPrefix(l.cell), "", inboxPageRows)
	if err != nil {
		return err
	}
	list := make([]inboxRow, 0, len(rows))
	for _, row := range rows {
		entry, err := l.readInboxRow(ctx, row)
		if err != nil {
			return err
		}
		list = append(list, entry)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbox = list
	return nil
}

func (l *leader) readInboxRow(ctx context.Context, row substrate.Row) (inboxRow, error) {
	entry := inboxRow{key: row.Key}
	entry.comparisons = append(entry.comparisons, substrate.Compare{Key: row.Key, Revision: row.Revision})
	if err := decode(row.Key, row.Value, &entry.inbox); err != nil {
		return entry, err
	}
	job, found, err := l.client.get(ctx, jobKey(entry.inbox.Job))
	if err != nil {
		return entry, err
	}
	entry.comparisons = append(entry.comparisons, substrate.Compare{Key: job.Key, Revision: job.Revision})
	entry.jobMissing = !found
	if found {
		if err := decode(job.Key, job.Value, &entry.job); err != nil {
			return entry, err
		}
	}
	status, found, err := l.client.get(ctx, statusKey(entry.inbox.Job, l.cell))
	if err != nil {
		return entry, err
	}
	entry.comparisons = append(entry.comparisons, substrate.Compare{Key: status.Key, Revision: status.Revision})
	if found {
		return entry, decode(status.Key, status.Value, &entry.prior)
	}
	return entry, nil
}

// addAccepts adds inbox rows to the batch. The same transaction deletes them,
// so that no row is accepted twice.
func (l *leader) addAccepts(txn *leaderTxn) {
	included := map[structs.JobID]bool{}
	for _, entry := range l.inbox {
		if len(txn.deletes) == maxAccepts {
			break
		}
		if included[entry.inbox.Job] {
			continue
		}
		included[entry.inbox.Job] = true
		txn.deletes = append(txn.deletes, entry.key)
		txn.comparisons = append(txn.comparisons, entry.comparisons...)
		if entry.jobMissing {
			continue
		}
		if len(entry.inbox.Tasks) > 0 {
			txn.batch.Accepts = append(txn.batch.Accepts, Accept{Job: entry.job.Job, Tasks: entry.inbox.Tasks, Prior: entry.prior})
			txn.puts = append(txn.puts, substrate.Put{Key: statusKey(entry.inbox.Job, l.cell), Value: encode(l.statusAfterAccept(entry))})
		}
		if entry.inbox.Cancel || entry.job.CancelRequested {
			txn.batch.Cancels = append(txn.batch.Cancels, entry.inbox.Job)
		}
	}
}

// statusAfterAccept returns the status row of the cell after it has accepted
// the tasks.
func (l *leader) statusAfterAccept(entry inboxRow) Status {
	status := entry.prior
	if job, found := l.state.Jobs[entry.inbox.Job]; found {
		status = job.Status
	}
	for _, h := range entry.inbox.Tasks {
		status.Accepted += h.Count
	}
	return status
}

// removeAcceptedInbox removes the inbox rows that the transaction has
// accepted.
func (l *leader) removeAcceptedInbox(txn *leaderTxn) {
	if len(txn.deletes) == 0 {
		return
	}
	var remaining []inboxRow
	for _, entry := range l.inbox {
		accepted := false
		for _, key := range txn.deletes {
			accepted = accepted || key == entry.key
		}
		if !accepted {
			remaining = append(remaining, entry)
		}
	}
	l.inbox = remaining
	l.requestPoll()
}
