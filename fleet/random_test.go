package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// randomSeeds is the number of histories that CI plays.
const randomSeeds = 40

// history is a random sequence of faults over a fleet that works.
type history struct {
	w     *world
	rng   *rand.Rand
	entry *Entry
	// accepted holds the jobs whose submission was answered with success,
	// refused those that were surely not run, cancelled those whose
	// cancellation was answered with success.
	accepted, refused, cancelled map[string]bool
	next                         int
	trace                        []string
}

func (h *history) note(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf("%7.3f ", time.Since(h.w.start).Seconds())+fmt.Sprintf(format, args...))
}

func (h *history) host() *worldHost { return h.w.hosts[h.rng.IntN(len(h.w.hosts))] }

// act does one thing.
func (h *history) act() {
	host := h.host()
	switch h.rng.IntN(14) {
	case 0:
		h.note("kill %s", host.name)
		host.kill()
	case 1, 2:
		if !host.alive() {
			h.note("boot %s", host.name)
			host.boot()
		}
	case 3:
		cut := h.rng.IntN(2) == 0
		h.note("cut %s %v", host.name, cut)
		host.setCut(cut)
	case 4, 5:
		modes := []standin.StoreMode{standin.StoreServes, standin.StoreServes, standin.StoreRefuses, standin.StoreSilent, standin.StoreLoses, standin.StoreLate}
		mode := modes[h.rng.IntN(len(modes))]
		h.note("store %s %d", host.name, mode)
		host.store.Set(mode)
	case 6:
		h.note("restart runner %s", host.name)
		host.runner.Restart()
	case 7:
		dark := h.rng.IntN(2) == 0
		h.note("crash runner %s %v", host.name, dark)
		host.runner.Crash(dark)
	case 8:
		h.note("unanswered %s", host.name)
		host.runner.LeaveUnanswered(h.rng.IntN(4))
	case 9:
		h.cancel()
	default:
		h.submit()
	}
}

// name returns the ID of the nth job. Each fourth one is of gangs.
func (h *history) name(n int) string {
	if n%4 == 0 {
		return fmt.Sprintf("%s%d", gangPrefix, n)
	}
	return fmt.Sprintf("job-%d", n)
}

func (h *history) submit() {
	h.next++
	id := h.name(h.next)
	job := worldJob(id, int32(1+h.rng.IntN(4)), int32(1+h.rng.IntN(3)))
	if gangSize(structs.StepTaskID{Job: job.ID}) > 0 {
		job = gangJob(strings.TrimPrefix(id, gangPrefix), 2)
	}
	err := h.w.submit(h.entry, job)
	var notRun *structs.NotRunError
	switch {
	case err == nil:
		h.accepted[id] = true
	case errors.As(err, &notRun):
		h.refused[id] = true
	}
	h.note("submit %s: %v", id, err)
}

func (h *history) cancel() {
	if h.next == 0 {
		return
	}
	id := h.name(1 + h.rng.IntN(h.next))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := h.entry.Cancel(ctx, structs.JobID(id), "q")
	if err == nil {
		h.cancelled[id] = true
	}
	h.note("cancel %s: %v", id, err)
}

// heal ends all faults.
func (h *history) heal() {
	h.note("heal")
	for _, host := range h.w.hosts {
		host.setCut(false)
		host.store.Set(standin.StoreServes)
		host.runner.LeaveUnanswered(0)
		if host.runner.Away() {
			host.runner.Restart()
		}
		if !host.alive() {
			host.boot()
		}
	}
}

// check asks for what clients were promised.
func (h *history) check(t *testing.T) {
	limit := 40 * time.Second
	for id := range h.accepted {
		for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			phase := h.w.phase(h.entry, id)
			if phase == structs.JobCompleted || (phase == structs.JobCancelled && h.cancelled[id]) || phase == structs.JobCancelled && h.mayBeCancelled(id) {
				break
			}
			if time.Since(begun) > limit {
				t.Errorf("%s was accepted and is %q", id, phase)
				break
			}
		}
	}
	for id := range h.refused {
		if n := h.w.checker.StartsOfJob(structs.JobID(id)); n > 0 {
			t.Errorf("%s was refused and started %d tasks", id, n)
		}
	}
	for _, fault := range h.w.checker.Found() {
		t.Error(fault)
		task, _, _ := strings.Cut(fault, "#")
		for _, line := range h.w.checker.Log(task) {
			t.Log(line)
		}
	}
	if t.Failed() {
		for _, line := range h.trace {
			t.Log(line)
		}
	}
}

// mayBeCancelled reports whether a cancellation was sent whose answer is not
// known to be a failure.
func (h *history) mayBeCancelled(id string) bool {
	for _, line := range h.trace {
		var at float64
		var which string
		if n, _ := fmt.Sscanf(line, "%f cancel %s", &at, &which); n == 2 && which == id+":" {
			return true
		}
	}
	return false
}

func playHistory(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		var issuer *standin.PermitIssuer
		if seed%4 == 3 {
			issuer = standin.NewPermitIssuer(permitPolicy, func(step structs.StepID, runner string) bool {
				return step.Step%2 == 0 || runner != "host-0"
			})
		}
		w := newWorldWith(t, 4, issuer)
		defer w.close()
		w.ready()
		h := &history{
			w: w, rng: rand.New(rand.NewPCG(seed, 1)), entry: w.entry(),
			accepted: map[string]bool{}, refused: map[string]bool{}, cancelled: map[string]bool{},
		}
		defer h.entry.Close()
		for range 60 {
			h.act()
			time.Sleep(time.Duration(h.rng.IntN(900)) * time.Millisecond)
		}
		h.heal()
		h.check(t)
	})
}

// Kills, cuts, a store that refuses, is silent, loses answers or is late for
// some hosts, runners that crash, restart or leave starts unanswered, and
// cancellations, in random series that overlap: one run of a task at a time,
// nothing after it is done, no worker over its capacity, nothing accepted is
// lost and nothing refused runs.
func TestRandomFaultsKeepThePromises(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playHistory(t, seed) })
	}
}

func TestCheckerFindsPlantedViolations(t *testing.T) {
	is := is.New(t)
	run := structs.TaskRun{Task: structs.StepTaskID{Job: "a"}, Number: 1}
	again := structs.TaskRun{Task: run.Task, Number: 2}
	c := standin.NewRunChecker(taskCPU, taskCPU)
	c.Started("w1", run)
	c.Started("w2", again) // beside the first
	is.Equal(len(c.Found()), 1)
	c = standin.NewRunChecker(taskCPU, taskCPU)
	c.Started("w1", run)
	c.Ended("w1", run, substrate.RunEndDone)
	c.Acknowledged("w1", run, substrate.RunEndDone)
	c.Started("w1", again) // after it was done
	is.Equal(len(c.Found()), 1)
	c = standin.NewRunChecker(taskCPU, taskCPU)
	c.Started("w1", run)
	c.Started("w1", structs.TaskRun{Task: structs.StepTaskID{Job: "b"}, Number: 1}) // over the capacity
	is.Equal(len(c.Found()), 1)
}
