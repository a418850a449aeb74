package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// gate stops a daemon like SIGSTOP: whatever passes through it waits.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil when open
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// gatedTable is the table as a daemon sees it that may freeze before a call
// and between the effect and the answer.
type gatedTable struct {
	substrate.Table
	gate *gate
}

func (t gatedTable) Get(ctx context.Context, key string) (substrate.Row, error) {
	t.gate.pass()
	row, err := t.Table.Get(ctx, key)
	t.gate.pass()
	return row, err
}

func (t gatedTable) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	t.gate.pass()
	rows, revision, err := t.Table.Changes(ctx, prefix, since)
	t.gate.pass()
	return rows, revision, err
}

// daemon is one life of an entry, leader or agent.
type daemon struct {
	name   string
	gate   gate
	holder *Holder
	stop   context.CancelFunc
}

// observation is a revision that a daemon had in force.
type observation struct {
	daemon   string // with the number of its life
	revision int64
	sum      uint64
}

// acceptance is a change that an operator was told to be accepted.
type acceptance struct {
	revision int64
	operator string
}

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
	maxHop            = 50 * time.Millisecond
)

// fleet is a set of leaders that watch the table and agents that hear from
// them, with faults and a record of what was seen.
type fleet struct {
	ctx     context.Context
	group   sync.WaitGroup
	table   *standin.Table
	leaders int

	mu       sync.Mutex
	random   *rand.Rand
	daemons  []*daemon // leaders first
	lives    int
	seen     []observation
	accepted []acceptance
}

func newFleet(ctx context.Context, leaders, agents int, seed uint64) *fleet {
	f := &fleet{ctx: ctx, table: standin.NewTable(), leaders: leaders, random: rand.New(rand.NewPCG(seed, 1))}
	f.daemons = make([]*daemon, leaders+agents)
	for i := range f.daemons {
		f.replace(i)
	}
	return f
}

func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// replace ends the life of a daemon and starts another, which holds nothing.
func (f *fleet) replace(i int) {
	f.mu.Lock()
	if old := f.daemons[i]; old != nil {
		old.stop()
		old.gate.thaw()
	}
	f.lives++
	ctx, cancel := context.WithCancel(f.ctx)
	d := &daemon{name: fmt.Sprintf("%d.%d", i, f.lives), holder: NewHolder(), stop: cancel}
	f.daemons[i] = d
	f.mu.Unlock()

	f.group.Go(func() { f.observe(ctx, d) })
	f.group.Go(func() { f.heartbeats(ctx, d) })
	if i < f.leaders {
		watcher := NewWatcher(gatedTable{f.table, &d.gate}, d.holder, peers{f, d}, zap.NewNop(), WatcherOptions{})
		f.group.Go(func() { _ = watcher.Run(ctx) })
	}
}

func (f *fleet) daemon(i int) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// observe records each revision that comes into force at the daemon.
func (f *fleet) observe(ctx context.Context, d *daemon) {
	for {
		changed := d.holder.Changed()
		s := d.holder.snapshot()
		f.mu.Lock()
		f.seen = append(f.seen, observation{d.name, s.revision, s.sum})
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// heartbeats runs at agents and at leaders, which are agents too. It asks one leader after another. A leader that does not answer in
// time is left, and its answer may still arrive later.
func (f *fleet) heartbeats(ctx context.Context, d *daemon) {
	time.Sleep(time.Duration(f.intN(int(heartbeatInterval))))
	leader := f.intN(f.leaders)
	for ctx.Err() == nil {
		d.gate.pass()
		answered := make(chan struct{})
		f.group.Go(func() {
			f.exchange(d, f.daemon(leader))
			close(answered)
		})
		select {
		case <-answered:
		case <-time.After(heartbeatTimeout):
			leader = f.intN(f.leaders)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// exchange is one heartbeat. Either side may freeze at each step.
func (f *fleet) exchange(d, leader *daemon) {
	have := d.holder.Revision()
	f.hop()
	leader.gate.pass()
	_, data := leader.holder.UpdateSince(have)
	leader.gate.pass()
	f.hop()
	d.gate.pass()
	if data != nil {
		_, _ = d.holder.OfferUpdate(data)
	}
}

func (f *fleet) hop() { time.Sleep(time.Duration(f.intN(int(maxHop)))) }

// peers are the other daemons as a leader reaches them.
type peers struct {
	fleet *fleet
	self  *daemon
}

func (p peers) Updates(ctx context.Context, since int64) [][]byte {
	p.fleet.hop()
	var list [][]byte
	for i := range p.fleet.daemons {
		d := p.fleet.daemon(i)
		d.gate.mu.Lock()
		frozen := d.gate.closed != nil
		d.gate.mu.Unlock()
		if d == p.self || frozen || ctx.Err() != nil {
			continue
		}
		if _, data := d.holder.UpdateSince(since); data != nil {
			list = append(list, data)
		}
	}
	return list
}

// apply changes the deadline of one of three teams on top of the revision that
// the operator sees, and records an acceptance.
func (f *fleet) apply(operator string, deadlineMS int64) {
	ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
	defer cancel()
	store := NewStore(f.table)
	current, err := store.Current(ctx)
	if err != nil {
		return
	}
	team := testTeam(fmt.Sprintf("team-%d", deadlineMS%3), deadlineMS)
	revision, err := store.Apply(ctx, current.Revision, Change{Put: []structs.TeamConfig{team}}, operator)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = append(f.accepted, acceptance{revision, operator})
}
