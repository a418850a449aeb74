package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

const (
	teamCount     = 63
	cellSize      = 64
	networkDelay  = 3 * time.Millisecond
	changesPerDay = 14_000
	secondsPerDay = 86_400
)

// fullConfig returns a configuration of 63 teams that are random variations of
// the sample teams.
func fullConfig(tb testing.TB, revision int64) *structs.Config {
	tb.Helper()
	random := rand.New(rand.NewPCG(20261203, 1))
	c := &structs.Config{Revision: revision}
	for i := range teamCount {
		team := sampleTeam(tb, []string{"jabuka", "graz"}[i%2])
		team.ID = structs.TeamID(fmt.Sprintf("team-%02d", i))
		for k := range team.Requests {
			team.Requests[k].Name = fmt.Sprintf("%s-%d", team.Requests[k].Name, random.IntN(100))
			team.Requests[k].DeadlineMS += random.Int64N(1000)
		}
		for k := range team.Batch {
			team.Batch[k].Class = fmt.Sprintf("%s-%d", team.Batch[k].Class, random.IntN(100))
			team.Batch[k].DeadlineMS += random.Int64N(1_000_000)
		}
		c.Teams = append(c.Teams, team)
	}
	return c
}

func sampleTeam(tb testing.TB, name string) structs.TeamConfig {
	tb.Helper()
	data, err := os.ReadFile("../../examples/" + name + "/config.json")
	if err != nil {
		tb.Fatal(err)
	}
	team, err := config.DecodeTeam(data)
	if err != nil {
		tb.Fatal(err)
	}
	return team
}

// changeDeadlines returns a change of one deadline of each of the first n
// teams.
func changeDeadlines(c *structs.Config, n int) config.Change {
	change := config.Change{}
	for _, team := range c.Teams[:n] {
		team.Requests = append([]structs.RequestKind(nil), team.Requests...)
		team.Requests[0].DeadlineMS += 1 + c.Revision
		change.Put = append(change.Put, team)
	}
	return change
}

func applyConfig(tb testing.TB, holder *config.Holder, c *structs.Config) {
	tb.Helper()
	if _, err := holder.ApplyIfNewer(c); err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkUpdateSize reports the size of an update by the number of changed
// teams.
func BenchmarkUpdateSize(b *testing.B) {
	c := fullConfig(b, 1)
	plain, err := json.Marshal(c)
	if err != nil {
		b.Fatal(err)
	}
	for _, changed := range []int{1, 10, teamCount} {
		b.Run(fmt.Sprintf("changed=%d", changed), func(b *testing.B) {
			leader := config.NewHolder()
			applyConfig(b, leader, c)
			next := &structs.Config{Revision: 2, Teams: append([]structs.TeamConfig(nil), c.Teams...)}
			copy(next.Teams, changeDeadlines(c, changed).Put)
			applyConfig(b, leader, next)
			var delta, full []byte
			for range b.N {
				_, delta = leader.UpdateSince(1)
				_, full = leader.UpdateSince(0)
			}
			b.ReportMetric(float64(len(plain)), "plain-bytes")
			b.ReportMetric(float64(len(full)), "full-bytes")
			b.ReportMetric(float64(len(delta)), "delta-bytes")
		})
	}
}

// BenchmarkApplyUpdate measures the processor time that an agent needs to apply
// an update with one changed team of 63.
func BenchmarkApplyUpdate(b *testing.B) {
	c := fullConfig(b, 1)
	leader, agent := config.NewHolder(), config.NewHolder()
	applyConfig(b, leader, c)
	applyConfig(b, agent, c)
	b.ReportAllocs()
	for range b.N {
		b.StopTimer()
		current := leader.Current()
		next := &structs.Config{Revision: current.Revision + 1, Teams: append([]structs.TeamConfig(nil), current.Teams...)}
		copy(next.Teams, changeDeadlines(current, 1).Put)
		applyConfig(b, leader, next)
		_, data := leader.UpdateSince(agent.Revision())
		b.StartTimer()
		if _, err := agent.ApplyUpdateIfNewer(data); err != nil {
			b.Fatal(err)
		}
	}
}

// simulatedFleet holds the configuration holders of all daemons in one process.
// The holders of the leaders follow the table, and those of the agents poll
// their leader once per heartbeat.
type simulatedFleet struct {
	table            *standin.Table
	heartbeat        time.Duration    // heartbeat interval of the agents
	holders          []*config.Holder // leaders first
	sentByLeader     []atomic.Int64   // bytes sent, by leader
	receivedByAgents atomic.Int64     // bytes received by all agents
	updatesSent      atomic.Int64     // updates sent by all leaders
}

func startSimulatedFleet(ctx context.Context, group *sync.WaitGroup, table *standin.Table, size int, heartbeat time.Duration) *simulatedFleet {
	leaders := (size + cellSize - 1) / cellSize
	f := &simulatedFleet{table: table, heartbeat: heartbeat, sentByLeader: make([]atomic.Int64, leaders)}
	for i := range size {
		holder := config.NewHolder()
		f.holders = append(f.holders, holder)
		if i < leaders {
			watcher := config.NewWatcher(table, holder, config.NoPeers{}, zap.NewNop(), config.WatcherOptions{})
			group.Go(func() {
				pause(ctx, rand.N(config.DefaultPollInterval))
				_ = watcher.Run(ctx)
			})
			continue
		}
		group.Go(func() { f.runAgent(ctx, i%leaders, holder) })
	}
	return f
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *simulatedFleet) runAgent(ctx context.Context, leader int, holder *config.Holder) {
	pause(ctx, rand.N(f.heartbeat))
	for ctx.Err() == nil {
		revision := holder.Revision()
		pause(ctx, networkDelay)
		_, data := f.holders[leader].UpdateSince(revision)
		pause(ctx, networkDelay)
		if data != nil {
			f.sentByLeader[leader].Add(int64(len(data)))
			f.receivedByAgents.Add(int64(len(data)))
			f.updatesSent.Add(1)
			_, _ = holder.ApplyUpdateIfNewer(data)
		}
		pause(ctx, f.heartbeat)
	}
}

// waitForRevision returns once every holder has the revision.
func (f *simulatedFleet) waitForRevision(revision int64) {
	for _, holder := range f.holders {
		for {
			changed := holder.Changed()
			if holder.Revision() >= revision {
				break
			}
			<-changed
		}
	}
}

func (f *simulatedFleet) maxSentByLeader() int64 {
	var most int64
	for i := range f.sentByLeader {
		most = max(most, f.sentByLeader[i].Load())
	}
	return most
}

// BenchmarkPropagation measures the time from the acceptance of a change until
// the last daemon has the revision of the change, and the bytes sent. A burst
// is 100 changes in a row. The heartbeat interval is 1 s in small cells and 2 s
// in cells of 64 workers.
func BenchmarkPropagation(b *testing.B) {
	for _, heartbeat := range []time.Duration{time.Second, 2 * time.Second} {
		for _, size := range []int{64, 500, 4700} {
			for _, burst := range []int{1, 100} {
				b.Run(fmt.Sprintf("heartbeat=%s/daemons=%d/burst=%d", heartbeat, size, burst), func(b *testing.B) {
					benchmarkPropagation(b, size, burst, heartbeat)
				})
			}
		}
	}
}

func benchmarkPropagation(b *testing.B, size, burst int, heartbeat time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	table := standin.NewTable()
	store := config.NewStore(table)
	if _, err := store.Apply(ctx, 0, config.Change{Put: fullConfig(b, 0).Teams}, "bench"); err != nil {
		b.Fatal(err)
	}
	f := startSimulatedFleet(ctx, &group, table, size, heartbeat)
	f.waitForRevision(1)
	updatesBefore, receivedBefore := f.updatesSent.Load(), f.receivedByAgents.Load()
	sentBefore := f.maxSentByLeader()
	var worst, total time.Duration
	b.ResetTimer()
	for range b.N {
		pause(ctx, rand.N(heartbeat)) // random phase of polls and heartbeats
		revision := applyBurst(ctx, b, store, burst)
		accepted := time.Now()
		f.waitForRevision(revision)
		took := time.Since(accepted)
		worst, total = max(worst, took), total+took
	}
	b.StopTimer()
	iterations := float64(b.N)
	b.ReportMetric(worst.Seconds(), "worst-s")
	b.ReportMetric(total.Seconds()/iterations, "mean-s")
	b.ReportMetric(float64(f.updatesSent.Load()-updatesBefore)/iterations/float64(size), "updates/daemon")
	b.ReportMetric(float64(f.receivedByAgents.Load()-receivedBefore)/iterations/float64(size), "B/agent")
	perLeader := float64(f.maxSentByLeader()-sentBefore) / iterations
	b.ReportMetric(perLeader, "B/leader")
	b.ReportMetric(perLeader/float64(burst)*changesPerDay/secondsPerDay, "B/s-leader-at-14000/day")
}

func applyBurst(ctx context.Context, b *testing.B, store *config.Store, burst int) (revision int64) {
	for i := range burst {
		current, err := store.Current(ctx)
		if err != nil {
			b.Fatal(err)
		}
		change := changeDeadlines(current, 1)
		if i%teamCount > 0 {
			current.Teams[0], current.Teams[i%teamCount] = current.Teams[i%teamCount], current.Teams[0]
			change = changeDeadlines(current, 1)
		}
		if revision, err = store.Apply(ctx, current.Revision, change, "bench"); err != nil {
			b.Fatal(err)
		}
	}
	return revision
}

// BenchmarkSustained makes 50 changes at ten times the rate of 14,000 a day. It
// reports the longest time until a change is in force everywhere, and the bytes
// that a leader sends.
func BenchmarkSustained(b *testing.B) {
	for _, size := range []int{500, 4700} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) { benchmarkSustained(b, size) })
	}
}

func benchmarkSustained(b *testing.B, size int) {
	const changes, factor = 50, 10
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	table := standin.NewTable()
	store := config.NewStore(table)
	if _, err := store.Apply(ctx, 0, config.Change{Put: fullConfig(b, 0).Teams}, "bench"); err != nil {
		b.Fatal(err)
	}
	f := startSimulatedFleet(ctx, &group, table, size, time.Second)
	f.waitForRevision(1)
	before := f.maxSentByLeader()
	b.ResetTimer()
	var worst atomic.Int64
	for range b.N {
		var waiters sync.WaitGroup
		for i := range changes {
			revision := applyBurst(ctx, b, store, 1+i%2) // one or two changes in a row
			accepted := time.Now()
			waiters.Go(func() {
				f.waitForRevision(revision)
				took := int64(time.Since(accepted))
				for old := worst.Load(); took > old && !worst.CompareAndSwap(old, took); old = worst.Load() {
				}
			})
			pause(ctx, time.Duration(1+i%2)*secondsPerDay*time.Second/(changesPerDay*factor))
		}
		waiters.Wait()
	}
	b.StopTimer()
	b.ReportMetric(time.Duration(worst.Load()).Seconds(), "worst-s")
	b.ReportMetric(float64(f.maxSentByLeader()-before)/b.Elapsed().Seconds(), "B/s-leader")
}
