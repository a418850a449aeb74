package cell

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// inboxPage is the number of inbox rows that are read at a time.
const inboxPage = 32

// domainView is what a leader knows of its failure domain.
type domainView struct {
	polled   bool
	revision int64
	out      bool
	returned time.Time     // when it was seen to come in again
	pace     *rate.Limiter // of starts after it came in
	peers    []peer        // cells that can take work over
}

// acceptance is an inbox row with everything that its acceptance compares.
type acceptance struct {
	key      string
	item     Inbox
	job      jobRow
	prior    Status
	compares []substrate.Compare
	gone     bool // the job does not exist
}

// Inbox is the value of an inbox row.
type Inbox struct {
	Job    structs.JobID `json:"job"`
	Tasks  []Handoff     `json:"tasks,omitempty"`
	Cancel bool          `json:"cancel,omitempty"`
}

// poll reads the inbox, the failure domain and the quotas until ctx ends.
func (l *leader) poll(ctx context.Context) {
	timer := time.NewTicker(l.o.Timing.Poll)
	defer timer.Stop()
	for {
		if err := l.pollOnce(ctx); err != nil && ctx.Err() == nil {
			l.o.Log.Debug("poll", zap.String("cell", string(l.cell)), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.notified:
		}
	}
}

// readAgain asks for a read of the inbox and the failure domain now.
func (l *leader) readAgain() {
	select {
	case l.notified <- struct{}{}:
	default:
	}
}

// forgetReads drops what was read of the table, after a comparison with it
// has failed.
func (l *leader) forgetReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbox = nil
	l.domain.polled = false
	l.readAgain()
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
	l.signal()
	return nil
}

// pollDomain reads the row of the failure domain.
func (l *leader) pollDomain(ctx context.Context) error {
	row, found, err := l.settler.get(ctx, domainKey(l.o.Domain))
	if err != nil {
		return err
	}
	var domain structs.FailureDomain
	if found {
		if err := decode(row.Key, row.Value, &domain); err != nil {
			return err
		}
	}
	out := domain.State == structs.DomainOut
	var peers []peer
	if out || l.foreign {
		if peers, err = l.readPeers(ctx); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Revision < l.domain.revision {
		return nil
	}
	if l.domain.out && !out {
		l.domain.returned = time.Now()
		l.domain.pace = newPace(l.o.Timing)
	}
	l.domain.revision, l.domain.out, l.domain.peers = row.Revision, out, peers
	return nil
}

// pollInbox reads the first inbox rows and what their acceptance needs.
func (l *leader) pollInbox(ctx context.Context) error {
	rows, err := l.settler.list(ctx, inboxPrefix(l.cell), "", inboxPage)
	if err != nil {
		return err
	}
	list := make([]acceptance, 0, len(rows))
	for _, row := range rows {
		a, err := l.readAcceptance(ctx, row)
		if err != nil {
			return err
		}
		list = append(list, a)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inbox = list
	return nil
}

func (l *leader) readAcceptance(ctx context.Context, row substrate.Row) (acceptance, error) {
	a := acceptance{key: row.Key}
	a.compares = append(a.compares, substrate.Compare{Key: row.Key, Revision: row.Revision})
	if err := decode(row.Key, row.Value, &a.item); err != nil {
		return a, err
	}
	job, found, err := l.settler.get(ctx, jobKey(a.item.Job))
	if err != nil {
		return a, err
	}
	a.compares = append(a.compares, substrate.Compare{Key: job.Key, Revision: job.Revision})
	a.gone = !found
	if found {
		if err := decode(job.Key, job.Value, &a.job); err != nil {
			return a, err
		}
	}
	status, found, err := l.settler.get(ctx, statusKey(a.item.Job, l.cell))
	if err != nil {
		return a, err
	}
	a.compares = append(a.compares, substrate.Compare{Key: status.Key, Revision: status.Revision})
	if found {
		return a, decode(status.Key, status.Value, &a.prior)
	}
	return a, nil
}

// composeAccepts takes inbox rows into the batch. Their rows go in the same
// transaction, so that no row is taken twice.
func (l *leader) composeAccepts(w *work) {
	taken := map[structs.JobID]bool{}
	for _, a := range l.inbox {
		if len(w.deletes) == maxAccepts {
			break
		}
		if taken[a.item.Job] {
			continue
		}
		taken[a.item.Job] = true
		w.deletes = append(w.deletes, a.key)
		w.compares = append(w.compares, a.compares...)
		if a.gone {
			continue
		}
		if len(a.item.Tasks) > 0 {
			w.batch.Accepts = append(w.batch.Accepts, Accept{Job: a.job.Job, Tasks: a.item.Tasks, Prior: a.prior})
			w.puts = append(w.puts, substrate.Put{Key: statusKey(a.item.Job, l.cell), Value: encode(l.statusAfter(a))})
		}
		if a.item.Cancel || a.job.Cancelled {
			w.batch.Cancels = append(w.batch.Cancels, a.item.Job)
		}
	}
}

// statusAfter is the status row of the cell once it has accepted the tasks.
func (l *leader) statusAfter(a acceptance) Status {
	status := a.prior
	if job, found := l.state.Jobs[a.item.Job]; found {
		status = job.Status
	}
	for _, h := range a.item.Tasks {
		status.Accepted += h.Count
	}
	return status
}

// acceptsApplied drops the inbox rows that the transaction took.
func (l *leader) acceptsApplied(w *work) {
	if len(w.deletes) == 0 {
		return
	}
	var left []acceptance
	for _, a := range l.inbox {
		taken := false
		for _, key := range w.deletes {
			taken = taken || key == a.key
		}
		if !taken {
			left = append(left, a)
		}
	}
	l.inbox = left
	l.readAgain()
}
