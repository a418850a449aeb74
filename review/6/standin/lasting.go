package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

const (
	lastingJob   = "00000000000000d1"
	lastingTasks = 20
	// lossDelay is the time from the starts to the loss of the machines.
	lossDelay = 3500 * time.Millisecond
	// The platform's rule for tasks that last: nothing for idleFor, from lastsAfter after the last run.
	lastsAfter = 6 * time.Second
)

// playLoss runs one job of tasks that last. The disruption: machines are lost for good at once, that which last
// wrote to the store under a condition and others. If late is set, one of the orders to start the tasks, to the
// second of these machines, was left unanswered before and carried out late.
func (s *system) playLoss(ctx context.Context, trouble, late bool) (broken bool, err error) {
	time.Sleep(5 * time.Second)
	lose := s.hostsToLose()
	if trouble && late {
		s.log.printf("the runner of %s leaves its next order unanswered and carries it out %v later", lose[1].name, standin.LateStartDelay)
		lose[1].runner.WithholdStartReplies(1)
	}
	body := fmt.Sprintf(`{"spec":"ledger","steps":[{"count":%d,"cpu":1500,"mem_mb":3000,"estimate_ms":400,"long_running":true}]}`, lastingTasks)
	if err := s.submit(ctx, lastingJob, body); err != nil {
		return false, err
	}
	for range 200 {
		if s.watcher.running() == lastingTasks {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if n := s.watcher.running(); n != lastingTasks {
		return false, fmt.Errorf("%d of %d tasks run", n, lastingTasks)
	}
	time.Sleep(lossDelay)
	lost := map[structs.StepTaskID]bool{}
	if trouble {
		for _, h := range lose {
			for _, task := range s.watcher.tasksOn(h.runner.Info().ID) {
				lost[task] = true
			}
			s.log.printf("the machine %s is gone, with its runner", h.name)
			h.runner.Crash(true)
			s.kill(h)
		}
		if len(lost) < 2 {
			return false, fmt.Errorf("%d tasks were lost", len(lost))
		}
	}
	lostAt := time.Now()
	time.Sleep(lastsAfter + idleFor)
	for task := range lost {
		if s.watcher.isRunning(task) {
			continue
		}
		broken = true
		s.log.printf("LOST: task %s has had no run for %v, with room for it on the other machines", task, time.Since(lostAt))
	}
	s.call(ctx, 0, http.MethodGet, lastingJob, "")
	time.Sleep(8 * time.Second)
	for task := range lost {
		s.log.printf("task %s runs now: %v", task, s.watcher.isRunning(task))
	}
	return broken, nil
}

// hostsToLose returns the machine that last wrote to the store under a condition, and others.
func (s *system) hostsToLose() []*host {
	leader := s.lastWriter.Load()
	lose := []*host{leader}
	for _, h := range s.workers {
		if h != leader && len(lose) < s.shape.lost {
			lose = append(lose, h)
		}
	}
	return lose
}
