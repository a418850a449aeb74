package cell

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// outageWorld runs three instances of a service on four hosts, of which the
// first leads, with the default durations and one ride.
func outageWorld(t *testing.T, ride time.Duration) (*world, structs.JobID) {
	w := newWorld(t, Timing{Ride: KindDurations{Batch: ride, Service: ride}})
	w.capacity = structs.Resources{MilliCPU: 2000, MemoryMB: 2000}
	w.add("a", "north", 1)
	time.Sleep(10 * time.Second)
	w.add("a", "north", 3)
	id := w.submit("key", structs.WorkService, 3)
	if !eventually(time.Minute, func() bool { return w.running(id) == 3 }) {
		t.Fatal("the service did not start")
	}
	time.Sleep(ride + 2*time.Minute)
	return w, id
}

// downtime returns how long fewer than three instances run, from now on and
// for limit at most.
func (w *world) downtime(id structs.JobID, limit time.Duration) time.Duration {
	down := time.Duration(0)
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(time.Second) {
		if w.running(id) < 3 {
			down += time.Second
		}
	}
	return down
}

// TestDowntimeAgainstOutages measures both sides of the choice of a ride: what
// an outage of the table stops, and how late the work of a lost host restarts.
// Run it with -v for the table of docs/design/new-attempts.md.
func TestDowntimeAgainstOutages(t *testing.T) {
	durations := []time.Duration{10 * time.Second, time.Minute, 10 * time.Minute, time.Hour}
	for _, ride := range durations {
		if ride > longestRide {
			continue
		}
		for _, outage := range durations {
			t.Run(fmt.Sprintf("ride %v, table out for %v", ride, outage-time.Second), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { tableOut(t, ride, outage-time.Second) })
			})
		}
		for name, lose := range losses {
			t.Run(fmt.Sprintf("ride %v, %s", ride, name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w, id := outageWorld(t, ride)
					defer w.close()
					lose(w)
					down := w.downtime(id, ride+2*time.Minute)
					t.Logf("down for %v", down)
					is.True(down > 0)
					is.True(down < time.Minute || name == "host of the leader lost")
					is.NoErr(w.verdict())
				})
			})
		}
	}
}

// tableOut cuts the cell from the table and measures the downtime.
func tableOut(t *testing.T, ride, outage time.Duration) {
	w, id := outageWorld(t, ride)
	defer w.close()
	for _, m := range w.members {
		m.port.set(func(p *port) { p.cut = true })
	}
	down := w.downtime(id, outage)
	w.heal()
	down += w.downtime(id, ride+2*time.Minute)
	t.Logf("down for %v", down)
	if outage < ride && down > 0 {
		t.Error("stopped within the ride")
	}
	if err := w.verdict(); err != nil {
		t.Error(err)
	}
}

// losses are the ways in which a host with instances goes for good. The first
// host leads and has two instances, another one has the third.
var losses = map[string]func(w *world){
	"host lost":               func(w *world) { w.lose(w.holder()) },
	"host of the leader lost": func(w *world) { w.lose(w.members[0]) },
	"host lost after a planned change of the leader": func(w *world) {
		w.members[0].cancel()
		<-w.members[0].ended
		time.Sleep(10 * time.Second)
		w.lose(w.holder())
	},
}

// holder returns a host with an instance that does not lead.
func (w *world) holder() *member {
	for _, m := range w.members {
		if _, leads := w.nodeOf(m).Leading(); !leads && w.hostedOn(m) > 0 {
			return m
		}
	}
	return w.members[1]
}

// lose takes a host away for good.
func (w *world) lose(m *member) {
	m.host.restartRuntime()
	m.host.mu.Lock()
	m.host.down = true
	m.host.mu.Unlock()
	m.port.set(func(p *port) { p.cut = true })
}

// hostedOn counts the runs of a host.
func (w *world) hostedOn(m *member) int {
	m.host.mu.Lock()
	defer m.host.mu.Unlock()
	n := 0
	for _, r := range m.host.runs {
		if !r.state.Over() {
			n++
		}
	}
	return n
}
