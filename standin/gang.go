package standin

import (
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Gangs lets the runs of gangs on several task runners work and end together.
type Gangs struct {
	Wait time.Duration                // for the other members
	Size func(structs.StepTaskID) int // tasks of the gang, 0 for a task that is not in one

	mu   sync.Mutex
	runs map[gangRun]*gangMembers
}

// gangRun names a run of a gang.
type gangRun struct {
	job         structs.JobID
	round, step int32
	number      int32
}

type gangMembers struct {
	on      map[structs.TaskRun]*TaskRunner
	waiting *time.Timer
	over    bool
}

// NewGangs returns a registry. Size gives the number of tasks of a task's gang,
// 0 for one that works alone; wait is how long a member waits for the others.
func NewGangs(wait time.Duration, size func(structs.StepTaskID) int) *Gangs {
	return &Gangs{Wait: wait, Size: size, runs: map[gangRun]*gangMembers{}}
}

func gangOf(r structs.TaskRun) gangRun {
	return gangRun{job: r.Task.Job, round: r.Task.Round, step: r.Task.Step, number: r.Number}
}

// join adds a member. The gang works from the moment when all are there.
func (g *Gangs) join(r *TaskRunner, id structs.TaskRun, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.runs[gangOf(id)]
	if m == nil {
		m = &gangMembers{on: map[structs.TaskRun]*TaskRunner{}}
		g.runs[gangOf(id)] = m
		m.waiting = time.AfterFunc(g.Wait, func() { g.endAll(gangOf(id), substrate.RunEndAlone) })
	}
	if m.over {
		go r.finish(id, substrate.RunEndBroken)
		return
	}
	m.on[id] = r
	if len(m.on) == g.Size(id.Task) {
		m.waiting.Stop()
		time.AfterFunc(took, func() { g.complete(gangOf(id)) })
	}
}

// complete ends the gang: done, unless a member is on a runner that fails.
func (g *Gangs) complete(run gangRun) {
	g.mu.Lock()
	m := g.runs[run]
	var failing []structs.TaskRun
	for id, r := range m.on {
		if r.isFailing() {
			failing = append(failing, id)
		}
	}
	for _, id := range failing {
		go m.on[id].finish(id, substrate.RunEndFailed)
		delete(m.on, id)
	}
	g.mu.Unlock()
	if len(failing) > 0 {
		g.endAll(run, substrate.RunEndBroken)
		return
	}
	g.endAll(run, substrate.RunEndDone)
}

// left takes note that a member is over, which ends the others.
func (g *Gangs) left(id structs.TaskRun) {
	g.mu.Lock()
	m := g.runs[gangOf(id)]
	if m != nil {
		delete(m.on, id)
	}
	g.mu.Unlock()
	g.endAll(gangOf(id), substrate.RunEndBroken)
}

// endAll ends the members that are left, once. Each runner's lock is taken by a
// goroutine of its own, since the caller may hold one.
func (g *Gangs) endAll(run gangRun, how substrate.RunEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.runs[run]
	if m == nil || m.over {
		return
	}
	m.over = true
	m.waiting.Stop()
	for id, r := range m.on {
		go r.finish(id, how)
	}
}
