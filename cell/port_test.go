package cell

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// gate freezes one host: whoever passes it waits until the host is thawed.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) pass() {
	for {
		g.mu.Lock()
		frozen := g.frozen
		g.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

// port is one host's way to the table and the object store, with its faults.
// Calls pass the host's gate before and after, so that a host freezes between
// any two steps.
type port struct {
	substrate.Table
	objects substrate.Objects
	history *history
	gate    *gate
	late    *sync.WaitGroup // writes that are still under way

	mu    sync.Mutex
	looks int // reads of leadership rows
	cut   bool
	lose  int           // writes that take effect and whose answer is lost
	delay time.Duration // writes take effect late, their caller has given up
	slow  time.Duration // each call takes this long
}

func (p *port) set(change func(p *port)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// enter returns the faults of one call.
func (p *port) enter(write bool) (cut, lose bool, delay time.Duration) {
	p.gate.pass()
	p.mu.Lock()
	slow := p.slow
	cut, delay = p.cut, p.delay
	if write && !cut && delay == 0 && p.lose > 0 {
		p.lose--
		lose = true
	}
	p.mu.Unlock()
	if slow > 0 {
		time.Sleep(slow)
	}
	return cut, lose, delay
}

var errCut = &structs.UnavailableError{Dependency: "table"}

func (p *port) Get(ctx context.Context, key string) (substrate.Row, error) {
	defer p.gate.pass()
	if cut, _, _ := p.enter(false); cut {
		return substrate.Row{}, errCut
	}
	if strings.HasSuffix(key, "/leader") {
		p.set(func(p *port) { p.looks++ })
	}
	return p.Table.Get(ctx, key)
}

func (p *port) List(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	defer p.gate.pass()
	if cut, _, _ := p.enter(false); cut {
		return nil, errCut
	}
	return p.Table.List(ctx, prefix, after, limit)
}

func (p *port) Commit(_ context.Context, txn substrate.Txn) (int64, error) {
	defer p.gate.pass()
	cut, lose, delay := p.enter(true)
	unknown := &structs.UnknownOutcomeError{Operation: "commit"}
	switch {
	case cut:
		return 0, errCut
	case delay > 0:
		p.late.Go(func() {
			time.Sleep(delay)
			_, _ = p.commit(txn)
		})
		return 0, unknown
	}
	revision, err := p.commit(txn)
	if lose {
		return 0, unknown
	}
	return revision, err
}

// commit reaches the table and records the ends that took effect there.
func (p *port) commit(txn substrate.Txn) (int64, error) {
	revision, err := p.Table.Commit(context.Background(), txn)
	if err != nil {
		return 0, err
	}
	for _, put := range txn.Puts {
		if strings.HasSuffix(put.Key, "/leader") {
			p.recordLeader(put)
		}
		var b Batch
		if !strings.Contains(put.Key, "/log/") || decode(put.Key, put.Value, &b) != nil {
			continue
		}
		for _, e := range b.Ends {
			p.history.add(event{kind: eventEnd, attempt: e.attempt(), cause: e.Cause, checkpoint: e.Checkpoint})
		}
	}
	return revision, nil
}

// objectPort is the same way to the object store.
type objectPort struct{ *port }

func (p objectPort) Put(ctx context.Context, key string, value []byte) error {
	defer p.gate.pass()
	if cut, _, _ := p.enter(false); cut {
		return errCut
	}
	return p.objects.Put(ctx, key, value)
}

func (p objectPort) Get(ctx context.Context, key string) ([]byte, error) {
	defer p.gate.pass()
	if cut, _, _ := p.enter(false); cut {
		return nil, errCut
	}
	return p.objects.Get(ctx, key)
}

func (p objectPort) Delete(ctx context.Context, key string) error {
	return p.objects.Delete(ctx, key)
}

func (p objectPort) List(ctx context.Context, prefix string) ([]string, error) {
	return p.objects.List(ctx, prefix)
}

func (p *port) recordLeader(put substrate.Put) {
	var l Leadership
	if decode(put.Key, put.Value, &l) == nil {
		cell := structs.CellID(strings.Split(put.Key, "/")[1])
		p.history.add(event{kind: eventLead, cell: cell, host: l.Worker, epoch: l.Epoch})
	}
}
