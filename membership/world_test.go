package membership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// memoryTable holds the rows of entries, with an outage switch.
type memoryTable struct {
	mu       sync.Mutex
	rows     map[string]substrate.Row
	revision int64
	down     bool
}

func newMemoryTable() *memoryTable { return &memoryTable{rows: map[string]substrate.Row{}} }

func (t *memoryTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (t *memoryTable) List(_ context.Context, prefix, _ string, _ int) ([]substrate.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, &structs.UnavailableError{Dependency: "table"}
	}
	var rows []substrate.Row
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows, nil
}

func (t *memoryTable) Commit(_ context.Context, txn substrate.Txn) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return 0, &structs.UnavailableError{Dependency: "table"}
	}
	for _, c := range txn.Compares {
		if have := t.rows[c.Key].Revision; have != c.Revision {
			return 0, &structs.ConflictError{Key: c.Key, Want: c.Revision, Have: have}
		}
	}
	t.revision++
	for _, p := range txn.Puts {
		t.rows[p.Key] = substrate.Row{Key: p.Key, Value: p.Value, Revision: t.revision, TxnID: txn.ID}
	}
	for _, d := range txn.Deletes {
		delete(t.rows, d)
	}
	return t.revision, nil
}

func (t *memoryTable) Get(context.Context, string) (substrate.Row, error) {
	return substrate.Row{}, &structs.NotFoundError{Subject: "row"}
}

func (t *memoryTable) Changes(context.Context, string, int64) ([]substrate.Row, int64, error) {
	return nil, 0, nil
}

func (t *memoryTable) has(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, found := t.rows[key]
	return found
}

// cluster is a set of entries that can be reached by address.
type cluster struct {
	table *memoryTable

	mu      sync.Mutex
	entries map[string]*runningEntry
	work    sync.WaitGroup
}

type runningEntry struct {
	registry *Registry
	rows     *EntryRows
	cancel   context.CancelFunc
	lost     chan struct{} // closed when the process ends
}

func newCluster() *cluster {
	return &cluster{table: newMemoryTable(), entries: map[string]*runningEntry{}}
}

// start starts an entry process at the address.
func (c *cluster) start(address string, seeds ...string) *runningEntry {
	rows := NewEntryRows(EntryRowsOptions{
		Entry: structs.EntryID("entry-" + address), Address: address, Table: c.table, Seeds: seeds, Dial: c.dial,
	})
	registry := NewRegistry(RegistryOptions{
		Entry: structs.EntryID("entry-" + address), Address: address, Entries: rows.Entries, NoteEntry: rows.Note,
	})
	ctx, cancel := context.WithCancel(context.Background())
	e := &runningEntry{registry: registry, rows: rows, cancel: cancel, lost: make(chan struct{})}
	c.mu.Lock()
	c.entries[address] = e
	c.mu.Unlock()
	c.work.Go(func() { _ = rows.Run(ctx) })
	c.work.Go(func() { _ = registry.Run(ctx) })
	return e
}

// stop ends the entry process at the address.
func (c *cluster) stop(address string) {
	c.mu.Lock()
	e := c.entries[address]
	delete(c.entries, address)
	c.mu.Unlock()
	e.cancel()
	close(e.lost)
}

func (c *cluster) stopAll() {
	c.mu.Lock()
	var addresses []string
	for a := range c.entries {
		addresses = append(addresses, a)
	}
	c.mu.Unlock()
	for _, a := range addresses {
		c.stop(a)
	}
	c.work.Wait()
}

func (c *cluster) dial(address string) (EntryConn, error) {
	return &clusterConn{cluster: c, address: address}, nil
}

type clusterConn struct {
	cluster *cluster
	address string
}

type unreachableError struct{ address string }

func (e *unreachableError) Error() string { return "unreachable: " + e.address }

func (c *clusterConn) entry() *runningEntry {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	return c.cluster.entries[c.address]
}

func (c *clusterConn) Register(ctx context.Context, q *daisywallpb.RegisterRequest, _ ...grpc.CallOption) (*daisywallpb.RegisterResponse, error) {
	e := c.entry()
	if e == nil {
		return nil, &unreachableError{c.address}
	}
	return e.registry.Register(ctx, q)
}

func (c *clusterConn) WaitLost(ctx context.Context) {
	e := c.entry()
	if e == nil {
		return
	}
	select {
	case <-e.lost:
	case <-ctx.Done():
	}
}

func (c *clusterConn) Close() error { return nil }

// agent is an agent process with its targets.
type agent struct {
	locals    *LocalTargets
	announcer *Announcer
	cancel    context.CancelFunc
}

func (c *cluster) agent(id string, seeds ...string) *agent {
	locals := NewLocalTargets(LocalOptions{TTL: time.Hour})
	target := validTarget()
	target.ID = structs.TargetID("t-" + id)
	_ = locals.Announce(target)
	started := time.Now()
	announcer, err := NewAnnouncer(AnnouncerOptions{
		Worker:      structs.Worker{ID: structs.WorkerID(id), FailureDomain: "d1", Address: id + ":1"},
		Incarnation: fmt.Sprint(started.UnixNano()), Targets: locals.Targets, Changed: locals.Changed,
		Table: c.table, Seeds: seeds, Dial: c.dial, Clock: func() time.Duration { return time.Since(started) },
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.work.Go(func() { _ = announcer.Run(ctx) })
	return &agent{locals, announcer, cancel}
}
