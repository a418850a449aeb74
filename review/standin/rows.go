package main

import (
	"fmt"
	"net/http"
	"time"
)

// playRows: a job of 500 tasks with checkpoints, and small jobs. The process that leads
// is killed, and the store does not answer for 4.5 s. LOST holds if finish_s after the end of
// the traffic the large job has a task at work within 3 s while its tasks wait.
func playRows(rec *record, trouble bool) (verdict, error) {
	sys, err := newSystem(rec, shape{agents: 8, entries: 2, cpu: 16000, mem: 64000})
	defer sys.stop()
	if err == nil {
		err = sys.start()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	large := newJobID()
	plan := taskPlan{work: 75 * time.Second, checkpoints: time.Second}
	steps := []step{{Count: 500, CPU: 100, MemMB: 64, EstimateMS: 75000, Checkpointing: true}}
	if status := sys.submit(large, "large", steps, plan, 10*time.Second); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the large job was answered with %d", status)
	}
	for begun := time.Now(); sys.runs.working(large) < 500 && time.Since(begun) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		continue
	}
	time.Sleep(4 * time.Second) // checkpoints are written
	leader := sys.leader()
	if n := sys.runs.working(large); n < 450 || leader == nil {
		return verdict{}, fmt.Errorf("%d tasks of the large job run before the disruption, leader found: %v", n, leader != nil)
	}
	if trouble {
		if err := sys.killLeaderInOutage(leader); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(8 * time.Second)
	accepted, completed := sys.serveSmallJobs(8 * time.Second)
	rec.add("the traffic ends")
	time.Sleep(14 * time.Second) // finish_s
	idle := sys.idleFor(large, 500, 10*time.Second)
	text := fmt.Sprintf("finish_s after the end of the traffic, the large job had nothing running for %.1f of 10 s while its tasks waited, and %d tasks of other jobs ran; of 20 small jobs that came from 8 s after the disruption on, %d were accepted and %d completed; the store refused %d calls",
		idle.Seconds(), sys.runs.runningNow()-sys.runs.working(large), accepted, completed, sys.store.refusedCalls())
	return verdict{broken: idle >= 3*time.Second, text: text}, nil
}

// killLeaderInOutage kills the process that leads, which starts again after a second,
// while the store does not answer for 4.5 s.
func (s *system) killLeaderInOutage(leader *machine) error {
	s.store.setSilent(true)
	leader.kill()
	time.Sleep(time.Second)
	if err := leader.start(); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond)
	s.store.setSilent(false)
	return nil
}

// serveSmallJobs hands in 20 small jobs within d, and returns how many were accepted
// and how many of these were shown as completed within 6 s.
func (s *system) serveSmallJobs(d time.Duration) (accepted, completed int) {
	const jobs = 20
	type result struct{ accepted, completed bool }
	results := make(chan result, jobs)
	for range jobs {
		go func() {
			id := newJobID()
			steps := []step{{Count: 2, CPU: 100, MemMB: 64, EstimateMS: 300}}
			status := s.submit(id, "small", steps, taskPlan{work: 300 * time.Millisecond}, 2*cancelAfter)
			ok := status == http.StatusOK
			results <- result{ok, ok && s.awaitState(id, "completed", 6*time.Second)}
		}()
		time.Sleep(d / jobs)
	}
	for range jobs {
		r := <-results
		if r.accepted {
			accepted++
		}
		if r.completed {
			completed++
		}
	}
	return accepted, completed
}

// awaitState waits until the job is shown in the state.
func (s *system) awaitState(id, wanted string, limit time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(300 * time.Millisecond) {
		if _, state := s.state(id); state == wanted {
			return true
		}
	}
	return false
}
