package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// waiting returns a batch task that has waited long enough for a reservation.
func waiting(job string, size structs.Resources) Task {
	t := task(job, 0, size)
	t.Waited = defaultReserveAfter
	return t
}

func TestUrgentTaskDoesNotTakeTheRoomKeptForAnother(t *testing.T) {
	is := is.New(t)
	large := waiting("matching", cores(14))
	s := snapshot(workers(1), large)
	s.Workers[0].Runs = []Run{run("report", 0, cores(8))}
	p := New(Options{})
	plan := p.Plan(s)
	is.Equal(plan.State.Reserved[large.ID], structs.WorkerID("w00"))

	s.State, s.Workers[0].Runs = plan.State, nil
	s.Pending[0].Waited += 10 * time.Second
	small := task("report", 1, cores(4))
	small.HasDeadline, small.TimeLeft = true, 5*time.Minute
	s.Pending = append(s.Pending, small)
	plan = p.Plan(s)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Task, large.ID)
}

func TestServiceIsReservedForBesideAnotherReservation(t *testing.T) {
	is := is.New(t)
	large := waiting("matching", cores(14))
	s := snapshot(workers(2), large)
	tight := run("pricing", 0, cores(10))
	tight.HasDeadline, tight.TimeLeft, tight.RunTime = true, 2*time.Minute, time.Minute
	s.Workers[0].Runs = []Run{tight}
	s.Workers[1].Runs = []Run{run("report", 0, cores(16))}
	p := New(Options{})
	plan := p.Plan(s)
	is.Equal(plan.State.Reserved[large.ID], structs.WorkerID("w00"))

	s.State = plan.State
	watcher := task("chip-watcher", 0, cores(4))
	watcher.Kind = structs.WorkService
	s.Pending = append(s.Pending, watcher)
	plan = p.Plan(s)
	is.Equal(plan.State.Reserved[large.ID], structs.WorkerID("w00"))
	is.Equal(plan.State.Reserved[watcher.ID], structs.WorkerID("w01"))
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Evictions[0].Worker, structs.WorkerID("w01"))
}

func TestReservationStaysWithItsWorker(t *testing.T) {
	is := is.New(t)
	first, second := waiting("matching", cores(14)), waiting("pricing", cores(14))
	s := snapshot(workers(2), first)
	s.Workers[0].Runs = []Run{run("report", 0, cores(4))}
	s.Workers[1].Runs = []Run{run("report", 1, cores(10))}
	p := New(Options{})
	plan := p.Plan(s)
	is.Equal(plan.State.Reserved[first.ID], structs.WorkerID("w00"))

	second.HasDeadline, second.TimeLeft = true, 10*time.Minute
	s.State, s.Pending = plan.State, append(s.Pending, second)
	plan = p.Plan(s)
	is.Equal(plan.State.Reserved[first.ID], structs.WorkerID("w00"))
	is.Equal(plan.State.Reserved[second.ID], structs.WorkerID("w01"))
}

func TestWorkerWhoseServicesUseTheRoomIsNotReserved(t *testing.T) {
	is := is.New(t)
	large := waiting("matching", cores(8))
	s := snapshot(workers(2), large)
	busy := service("slot-check", 0, 0)
	busy.Usage = cores(12)
	s.Workers[0].Runs = []Run{busy}
	s.Workers[1].Runs = []Run{run("report", 1, cores(14))}
	plan := New(Options{}).Plan(s)
	is.Equal(plan.State.Reserved[large.ID], structs.WorkerID("w01"))
}
