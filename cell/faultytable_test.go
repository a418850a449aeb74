package cell

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// pauseGate pauses one host. Calls to pass block until the host is thawed.
type pauseGate struct {
	mu     sync.Mutex
	frozen chan struct{}
}

func (g *pauseGate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *pauseGate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *pauseGate) pass() {
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

// faultyTable is the table as one host reaches it, with injected faults. Each
// call passes the host's gate before and after, so that a host can freeze
// between any two steps.
type faultyTable struct {
	substrate.Table
	objects       substrate.Objects
	history       *history
	gate          *pauseGate
	delayedWrites *sync.WaitGroup // writes that are still in flight

	mu             sync.Mutex
	leaderRowReads int // number of reads of leadership rows
	unreachable    bool
	lostResponses  int           // number of next writes that take effect without a response
	writeDelay     time.Duration // delay of the effect of writes, whose caller gets an unknown outcome at once
	callDuration   time.Duration // duration of each call
}

func (p *faultyTable) set(change func(p *faultyTable)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// beginCall passes the gate, waits for the duration of a call and returns the
// faults of the call.
func (p *faultyTable) beginCall(write bool) (unreachable, loseResponse bool, delay time.Duration) {
	p.gate.pass()
	p.mu.Lock()
	callDuration := p.callDuration
	unreachable, delay = p.unreachable, p.writeDelay
	if write && !unreachable && delay == 0 && p.lostResponses > 0 {
		p.lostResponses--
		loseResponse = true
	}
	p.mu.Unlock()
	if callDuration > 0 {
		time.Sleep(callDuration)
	}
	return unreachable, loseResponse, delay
}

var errTableUnreachable = &structs.UnavailableError{Dependency: "table"}

func (p *faultyTable) Get(ctx context.Context, key string) (substrate.Row, error) {
	defer p.gate.pass()
	if cut, _, _ := p.beginCall(false); cut {
		return substrate.Row{}, errTableUnreachable
	}
	if strings.HasSuffix(key, "/leader") {
		p.set(func(p *faultyTable) { p.leaderRowReads++ })
	}
	return p.Table.Get(ctx, key)
}

func (p *faultyTable) List(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	defer p.gate.pass()
	if cut, _, _ := p.beginCall(false); cut {
		return nil, errTableUnreachable
	}
	return p.Table.List(ctx, prefix, after, limit)
}

func (p *faultyTable) Commit(_ context.Context, txn substrate.Txn) (int64, error) {
	defer p.gate.pass()
	unreachable, loseResponse, delay := p.beginCall(true)
	unknown := &structs.UnknownOutcomeError{Operation: "commit"}
	switch {
	case unreachable:
		return 0, errTableUnreachable
	case delay > 0:
		p.delayedWrites.Go(func() {
			time.Sleep(delay)
			_, _ = p.commitAndRecord(txn)
		})
		return 0, unknown
	}
	revision, err := p.commitAndRecord(txn)
	if loseResponse {
		return 0, unknown
	}
	return revision, err
}

// commitAndRecord commits to the table and records the committed leaders and
// ends in the history.
func (p *faultyTable) commitAndRecord(txn substrate.Txn) (int64, error) {
	p.history.committing.Lock()
	defer p.history.committing.Unlock()
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

// faultyObjects is the object store as one host reaches it, with the same
// faults.
type faultyObjects struct{ *faultyTable }

func (p faultyObjects) Put(ctx context.Context, key string, value []byte) error {
	defer p.gate.pass()
	if cut, _, _ := p.beginCall(false); cut {
		return errTableUnreachable
	}
	return p.objects.Put(ctx, key, value)
}

func (p faultyObjects) Get(ctx context.Context, key string) ([]byte, error) {
	defer p.gate.pass()
	if cut, _, _ := p.beginCall(false); cut {
		return nil, errTableUnreachable
	}
	return p.objects.Get(ctx, key)
}

func (p faultyObjects) Delete(ctx context.Context, key string) error {
	return p.objects.Delete(ctx, key)
}

func (p faultyObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return p.objects.List(ctx, prefix)
}

func (p *faultyTable) recordLeader(put substrate.Put) {
	var l Leadership
	if decode(put.Key, put.Value, &l) == nil {
		cell := structs.CellID(strings.Split(put.Key, "/")[1])
		p.history.add(event{kind: eventLead, cell: cell, host: l.Worker, epoch: l.Epoch})
	}
}
