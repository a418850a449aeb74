package standin

import (
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Gangs coordinates the runs of gangs on several task runners, so that the
// members of a gang start working and end together.
type Gangs struct {
	JoinTimeout time.Duration                // longest wait of a member for the other members of its gang
	Size        func(structs.StepTaskID) int // returns the number of tasks in the gang of a task, 0 for a task without a gang

	mu   sync.Mutex
	runs map[gangRun]*gangMembers
}

// gangRun identifies a run of a gang.
type gangRun struct {
	job         structs.JobID
	round, step int32
	number      int32
}

type gangMembers struct {
	runners   map[structs.RunID]*TaskRunner
	joinTimer *time.Timer
	ended     bool
}

// NewGangs returns a registry without runs. size returns the number of tasks in
// a task's gang, 0 for a task without a gang. wait limits how long a member
// waits for the other members.
func NewGangs(wait time.Duration, size func(structs.StepTaskID) int) *Gangs {
	return &Gangs{JoinTimeout: wait, Size: size, runs: map[gangRun]*gangMembers{}}
}

func gangRunOf(r structs.RunID) gangRun {
	return gangRun{job: r.Task.Job, round: r.Task.Round, step: r.Task.Step, number: r.Number}
}

// join adds a member. The gang starts working when all members have joined.
func (g *Gangs) join(r *TaskRunner, id structs.RunID, runTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.runs[gangRunOf(id)]
	if m == nil {
		m = &gangMembers{runners: map[structs.RunID]*TaskRunner{}}
		g.runs[gangRunOf(id)] = m
		m.joinTimer = time.AfterFunc(g.JoinTimeout, func() { g.endAll(gangRunOf(id), substrate.RunEndGangIncomplete) })
	}
	if m.ended {
		go r.endRun(id, substrate.RunEndGangMemberEnded)
		return
	}
	m.runners[id] = r
	if len(m.runners) == g.Size(id.Task) {
		m.joinTimer.Stop()
		time.AfterFunc(runTime, func() { g.complete(gangRunOf(id)) })
	}
}

// complete ends the members as done. If some members are on runners that fail
// their runs, it ends these members as failed and the others as
// RunEndGangMemberEnded.
func (g *Gangs) complete(run gangRun) {
	g.mu.Lock()
	m := g.runs[run]
	var failing []structs.RunID
	for id, r := range m.runners {
		if r.isFailing() {
			failing = append(failing, id)
		}
	}
	for _, id := range failing {
		go m.runners[id].endRun(id, substrate.RunEndFailed)
		delete(m.runners, id)
	}
	g.mu.Unlock()
	if len(failing) > 0 {
		g.endAll(run, substrate.RunEndGangMemberEnded)
		return
	}
	g.endAll(run, substrate.RunEndDone)
}

// memberEnded removes a member that has ended, and ends the other members as
// RunEndGangMemberEnded.
func (g *Gangs) memberEnded(id structs.RunID) {
	g.mu.Lock()
	m := g.runs[gangRunOf(id)]
	if m != nil {
		delete(m.runners, id)
	}
	g.mu.Unlock()
	g.endAll(gangRunOf(id), substrate.RunEndGangMemberEnded)
}

// endAll ends the remaining members of a gang run, once only. A goroutine for
// each member acquires the lock of the member's runner, since the caller may
// hold one of these locks.
func (g *Gangs) endAll(run gangRun, end substrate.RunEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.runs[run]
	if m == nil || m.ended {
		return
	}
	m.ended = true
	m.joinTimer.Stop()
	for id, r := range m.runners {
		go r.endRun(id, end)
	}
}
