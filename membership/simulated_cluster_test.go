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

// fakeTable holds the rows of entries in memory. Reads and writes fail while it is
// unavailable.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]substrate.Row
	revision    int64
	unavailable bool
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]substrate.Row{}} }

func (t *fakeTable) setUnavailable(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable = down
}

func (t *fakeTable) List(_ context.Context, prefix, _ string, _ int) ([]substrate.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailable {
		return nil, &structs.UnavailableError{Dependency: "table"}
	}
	var rows []substrate.Row
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows, nil
}

func (t *fakeTable) Commit(_ context.Context, txn substrate.Txn) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unavailable {
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

func (t *fakeTable) Get(context.Context, string) (substrate.Row, error) {
	return substrate.Row{}, &structs.NotFoundError{Subject: "row"}
}

func (t *fakeTable) Changes(context.Context, string, int64) ([]substrate.Row, int64, error) {
	return nil, 0, nil
}

func (t *fakeTable) has(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, found := t.rows[key]
	return found
}

// simulatedCluster is a set of entry processes that can be reached by address.
type simulatedCluster struct {
	table *fakeTable

	mu         sync.Mutex
	entries    map[string]*simulatedEntry
	goroutines sync.WaitGroup
}

type simulatedEntry struct {
	registry *Registry
	rows     *EntryDirectory
	cancel   context.CancelFunc
	stopped  chan struct{} // closed when the process ends
}

func newSimulatedCluster() *simulatedCluster {
	return &simulatedCluster{table: newFakeTable(), entries: map[string]*simulatedEntry{}}
}

// startEntry starts an entry process at the address.
func (c *simulatedCluster) startEntry(address string, seeds ...string) *simulatedEntry {
	rows := NewEntryDirectory(EntryDirectoryOptions{
		Entry: structs.EntryID("entry-" + address), Address: address, Table: c.table, Seeds: seeds, Dial: c.dial,
	})
	registry := NewRegistry(RegistryOptions{
		Entry: structs.EntryID("entry-" + address), Address: address, Entries: rows.Entries, OnEntryAnnounced: rows.RecordEntry,
	})
	ctx, cancel := context.WithCancel(context.Background())
	e := &simulatedEntry{registry: registry, rows: rows, cancel: cancel, stopped: make(chan struct{})}
	c.mu.Lock()
	c.entries[address] = e
	c.mu.Unlock()
	c.goroutines.Go(func() { _ = rows.Run(ctx) })
	c.goroutines.Go(func() { _ = registry.Run(ctx) })
	return e
}

// stopEntry ends the entry process at the address.
func (c *simulatedCluster) stopEntry(address string) {
	c.mu.Lock()
	e := c.entries[address]
	delete(c.entries, address)
	c.mu.Unlock()
	e.cancel()
	close(e.stopped)
}

func (c *simulatedCluster) stopAll() {
	c.mu.Lock()
	var addresses []string
	for a := range c.entries {
		addresses = append(addresses, a)
	}
	c.mu.Unlock()
	for _, a := range addresses {
		c.stopEntry(a)
	}
	c.goroutines.Wait()
}

func (c *simulatedCluster) dial(address string) (EntryConn, error) {
	return &simulatedEntryConn{cluster: c, address: address}, nil
}

type simulatedEntryConn struct {
	cluster *simulatedCluster
	address string
}

type unreachableError struct{ address string }

func (e *unreachableError) Error() string { return "unreachable: " + e.address }

func (c *simulatedEntryConn) entry() *simulatedEntry {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	return c.cluster.entries[c.address]
}

func (c *simulatedEntryConn) Register(ctx context.Context, q *daisywallpb.RegisterRequest, _ ...grpc.CallOption) (*daisywallpb.RegisterResponse, error) {
	e := c.entry()
	if e == nil {
		return nil, &unreachableError{c.address}
	}
	return e.registry.Register(ctx, q)
}

func (c *simulatedEntryConn) WaitDisconnected(ctx context.Context) {
	e := c.entry()
	if e == nil {
		return
	}
	select {
	case <-e.stopped:
	case <-ctx.Done():
	}
}

func (c *simulatedEntryConn) Close() error { return nil }

// simulatedAgent is an agent process with its targets.
type simulatedAgent struct {
	locals    *LocalTargets
	announcer *Announcer
	cancel    context.CancelFunc
}

func (c *simulatedCluster) startAgent(id string, seeds ...string) *simulatedAgent {
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
	c.goroutines.Go(func() { _ = announcer.Run(ctx) })
	return &simulatedAgent{locals, announcer, cancel}
}
