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

// pauseGate simulates SIGSTOP. Callers of waitWhilePaused block until the
// daemon is resumed.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{} // closed on resume, nil while the daemon runs
}

func (g *pauseGate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

func (g *pauseGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

func (g *pauseGate) waitWhilePaused() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// pausableTable is the table of a daemon that may pause before a call and
// between the effect and the response.
type pausableTable struct {
	substrate.Table
	gate *pauseGate
}

func (t pausableTable) Get(ctx context.Context, key string) (substrate.Row, error) {
	t.gate.waitWhilePaused()
	row, err := t.Table.Get(ctx, key)
	t.gate.waitWhilePaused()
	return row, err
}

func (t pausableTable) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	t.gate.waitWhilePaused()
	rows, revision, err := t.Table.Changes(ctx, prefix, since)
	t.gate.waitWhilePaused()
	return rows, revision, err
}

// simulatedDaemon is one incarnation of an entry, leader or agent.
type simulatedDaemon struct {
	name   string
	gate   pauseGate
	holder *Holder
	stop   context.CancelFunc
}

// observation is a revision that was in force in a daemon.
type observation struct {
	daemon   string // index and incarnation number of the daemon
	revision int64
	checksum uint64
}

// acceptedChange is a change that Store.Apply reported as committed.
type acceptedChange struct {
	revision int64
	operator string
}

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
	maxNetworkDelay   = 50 * time.Millisecond
)

// simulatedCluster is a set of leaders that watch the table and agents that
// receive updates from them. It injects faults and records the revisions in
// force.
type simulatedCluster struct {
	ctx     context.Context
	group   sync.WaitGroup
	table   *standin.Table
	leaders int

	mu           sync.Mutex
	random       *rand.Rand
	daemons      []*simulatedDaemon // leaders first
	incarnations int
	observations []observation
	accepted     []acceptedChange
}

func newSimulatedCluster(ctx context.Context, leaders, agents int, seed uint64) *simulatedCluster {
	c := &simulatedCluster{ctx: ctx, table: standin.NewTable(), leaders: leaders, random: rand.New(rand.NewPCG(seed, 1))}
	c.daemons = make([]*simulatedDaemon, leaders+agents)
	for i := range c.daemons {
		c.restartDaemon(i)
	}
	return c
}

func (c *simulatedCluster) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// restartDaemon starts a new incarnation of a daemon with an empty holder. It
// stops the previous incarnation first, if there is one.
func (c *simulatedCluster) restartDaemon(i int) {
	c.mu.Lock()
	if previous := c.daemons[i]; previous != nil {
		previous.stop()
		previous.gate.resume()
	}
	c.incarnations++
	ctx, cancel := context.WithCancel(c.ctx)
	d := &simulatedDaemon{name: fmt.Sprintf("%d.%d", i, c.incarnations), holder: NewHolder(), stop: cancel}
	c.daemons[i] = d
	c.mu.Unlock()

	c.group.Go(func() { c.recordRevisions(ctx, d) })
	c.group.Go(func() { c.runHeartbeats(ctx, d) })
	if i < c.leaders {
		watcher := NewWatcher(pausableTable{c.table, &d.gate}, d.holder, simulatedPeers{c, d}, zap.NewNop(), WatcherOptions{})
		c.group.Go(func() { _ = watcher.Run(ctx) })
	}
}

func (c *simulatedCluster) daemon(i int) *simulatedDaemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[i]
}

// recordRevisions records each revision that comes into force in the daemon.
func (c *simulatedCluster) recordRevisions(ctx context.Context, d *simulatedDaemon) {
	for {
		changed := d.holder.Changed()
		s := d.holder.currentSnapshot()
		c.mu.Lock()
		c.observations = append(c.observations, observation{d.name, s.revision, s.checksum})
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// runHeartbeats sends the heartbeats of a daemon to one leader. After a timeout
// it continues with a leader chosen at random, and the late response may still
// arrive. Leaders send heartbeats too because they are also agents.
func (c *simulatedCluster) runHeartbeats(ctx context.Context, d *simulatedDaemon) {
	time.Sleep(time.Duration(c.randomInt(int(heartbeatInterval))))
	leader := c.randomInt(c.leaders)
	for ctx.Err() == nil {
		d.gate.waitWhilePaused()
		responded := make(chan struct{})
		c.group.Go(func() {
			c.sendHeartbeat(d, c.daemon(leader))
			close(responded)
		})
		select {
		case <-responded:
		case <-time.After(heartbeatTimeout):
			leader = c.randomInt(c.leaders)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat exchanges one heartbeat. Either side may pause at each step.
func (c *simulatedCluster) sendHeartbeat(d, leader *simulatedDaemon) {
	revision := d.holder.Revision()
	c.delayMessage()
	leader.gate.waitWhilePaused()
	_, data := leader.holder.UpdateSince(revision)
	leader.gate.waitWhilePaused()
	c.delayMessage()
	d.gate.waitWhilePaused()
	if data != nil {
		_, _ = d.holder.ApplyUpdateIfNewer(data)
	}
}

func (c *simulatedCluster) delayMessage() {
	time.Sleep(time.Duration(c.randomInt(int(maxNetworkDelay))))
}

// simulatedPeers gives a leader access to the other daemons of the cluster.
type simulatedPeers struct {
	cluster *simulatedCluster
	self    *simulatedDaemon
}

func (p simulatedPeers) FetchUpdates(ctx context.Context, since int64) [][]byte {
	p.cluster.delayMessage()
	var list [][]byte
	for i := range p.cluster.daemons {
		d := p.cluster.daemon(i)
		d.gate.mu.Lock()
		paused := d.gate.resumed != nil
		d.gate.mu.Unlock()
		if d == p.self || paused || ctx.Err() != nil {
			continue
		}
		if _, data := d.holder.UpdateSince(since); data != nil {
			list = append(list, data)
		}
	}
	return list
}

// apply changes the deadline of one of three teams on top of the current
// revision, and records the change if it is accepted.
func (c *simulatedCluster) apply(operator string, deadlineMS int64) {
	ctx, cancel := context.WithTimeout(c.ctx, 20*time.Second)
	defer cancel()
	store := NewStore(c.table)
	current, err := store.Current(ctx)
	if err != nil {
		return
	}
	team := testTeam(fmt.Sprintf("team-%d", deadlineMS%3), deadlineMS)
	revision, err := store.Apply(ctx, current.Revision, Change{Put: []structs.TeamConfig{team}}, operator)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = append(c.accepted, acceptedChange{revision, operator})
}
