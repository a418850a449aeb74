package cell

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// newOutageCluster returns a cluster with four hosts, the default timing and
// one ride-out time. The first host leads, and three instances of a service
// run.
func newOutageCluster(t *testing.T, rideOut time.Duration) (*simulatedCluster, structs.JobID) {
	w := newSimulatedCluster(t, Timing{RideOut: KindDurations{Batch: rideOut, Service: rideOut}})
	w.capacity = structs.Resources{MilliCPU: 2000, MemoryMB: 2000}
	w.addHosts("a", "north", 1)
	time.Sleep(10 * time.Second)
	w.addHosts("a", "north", 3)
	id := w.submitJob("key", structs.WorkService, 3)
	if !eventually(time.Minute, func() bool { return w.runningTasks(id) == 3 }) {
		t.Fatal("the service did not start")
	}
	time.Sleep(rideOut + 2*time.Minute)
	return w, id
}

// downtime returns for how much of the next period, of length limit, fewer than
// three instances run.
func (w *simulatedCluster) downtime(id structs.JobID, limit time.Duration) time.Duration {
	down := time.Duration(0)
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(time.Second) {
		if w.runningTasks(id) < 3 {
			down += time.Second
		}
	}
	return down
}

// TestDowntimeAgainstOutages measures the trade-off of the ride-out time. A
// longer one keeps work running through a longer table outage, but the work of
// a lost host restarts later. Run it with -v for the table of
// docs/design/new-attempts.md.
func TestDowntimeAgainstOutages(t *testing.T) {
	durations := []time.Duration{10 * time.Second, time.Minute, 10 * time.Minute, time.Hour}
	for _, rideOut := range durations {
		if rideOut > longestRideOut {
			continue
		}
		for _, outage := range durations {
			t.Run(fmt.Sprintf("ride-out %v, table out for %v", rideOut, outage-time.Second), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { measureTableOutage(t, rideOut, outage-time.Second) })
			})
		}
		for name, loseHost := range hostLosses {
			t.Run(fmt.Sprintf("ride-out %v, %s", rideOut, name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w, id := newOutageCluster(t, rideOut)
					defer w.close()
					loseHost(w)
					down := w.downtime(id, rideOut+2*time.Minute)
					t.Logf("down for %v", down)
					is.True(down > 0)
					is.True(down < time.Minute || name == "host of the leader lost")
					is.NoErr(w.checkHistory())
				})
			})
		}
	}
}

// measureTableOutage cuts the cell off from the table and measures the
// downtime.
func measureTableOutage(t *testing.T, rideOut, outage time.Duration) {
	w, id := newOutageCluster(t, rideOut)
	defer w.close()
	for _, m := range w.members {
		m.table.set(func(p *faultyTable) { p.unreachable = true })
	}
	down := w.downtime(id, outage)
	w.clearFaults()
	down += w.downtime(id, rideOut+2*time.Minute)
	t.Logf("down for %v", down)
	if outage < rideOut && down > 0 {
		t.Error("instances stopped within the ride-out time")
	}
	if err := w.checkHistory(); err != nil {
		t.Error(err)
	}
}

// hostLosses are the ways in which a host with instances is lost for good. The
// first host leads and has two instances, and another host has the third.
var hostLosses = map[string]func(w *simulatedCluster){
	"host lost":               func(w *simulatedCluster) { w.loseHost(w.nonLeaderWithInstance()) },
	"host of the leader lost": func(w *simulatedCluster) { w.loseHost(w.members[0]) },
	"host lost after a planned change of the leader": func(w *simulatedCluster) {
		w.members[0].cancel()
		<-w.members[0].ended
		time.Sleep(10 * time.Second)
		w.loseHost(w.nonLeaderWithInstance())
	},
}

// nonLeaderWithInstance returns a host that does not lead and has an instance.
func (w *simulatedCluster) nonLeaderWithInstance() *member {
	for _, m := range w.members {
		if _, leads := w.nodeOf(m).Leading(); !leads && w.runningOn(m) > 0 {
			return m
		}
	}
	return w.members[1]
}

// loseHost takes a host down for good.
func (w *simulatedCluster) loseHost(m *member) {
	m.host.restartRuntime()
	m.host.mu.Lock()
	m.host.down = true
	m.host.mu.Unlock()
	m.table.set(func(p *faultyTable) { p.unreachable = true })
}

// runningOn returns the number of running attempts on a host.
func (w *simulatedCluster) runningOn(m *member) int {
	m.host.mu.Lock()
	defer m.host.mu.Unlock()
	n := 0
	for _, r := range m.host.runs {
		if !r.state.Final() {
			n++
		}
	}
	return n
}
