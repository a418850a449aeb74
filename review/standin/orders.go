package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playOrders: three jobs of 400 tasks with a spec of 4,000 bytes on a runner whose
// label they need. The runner crashes and is back after 3 s. LOST holds if finish_s
// after the end of the traffic a task of each job is at work, or the job is done.
func playOrders(rec *record, trouble bool) (verdict, error) {
	const labelled = 1
	sys, err := newSystem(rec, shape{agents: 8, entries: 2, cpu: 16000, mem: 64000, labels: labelOne(labelled)})
	defer sys.stop()
	if err == nil {
		err = sys.start()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	var jobs []string
	for range 3 {
		id := newJobID()
		jobs = append(jobs, id)
		steps := []step{{Count: 400, CPU: 13, MemMB: 32, EstimateMS: 15000, Requires: "b"}}
		if status := sys.submit(id, strings.Repeat("x", 4000), steps, taskPlan{work: 15 * time.Second}, 10*time.Second); status != http.StatusOK {
			return verdict{}, fmt.Errorf("a job was answered with %d", status)
		}
		time.Sleep(2 * time.Second)
	}
	rec.add("the traffic ends")
	time.Sleep(time.Second)
	if n := sys.runs.runningNow(); n != 1200 {
		return verdict{}, fmt.Errorf("%d of 1200 tasks run before the disruption", n)
	}
	if trouble {
		r := sys.agents[labelled].runner
		r.crash()
		time.Sleep(3 * time.Second)
		if err := r.start(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(40 * time.Second) // finish_s has passed, and the work of all tasks would have
	idle, text := time.Duration(0), "40 s later"
	for _, id := range jobs {
		d := sys.idleFor(id, 400, 4*time.Second)
		_, state := sys.state(id)
		done := sys.runs.count(id, func(s *seenRun) bool { return s.how == "done" })
		text += fmt.Sprintf(", a job is shown as %q with %d of 400 tasks done and had nothing running for %.1f of 4 s", state, done, d.Seconds())
		idle = max(idle, d)
	}
	return verdict{broken: idle >= 3*time.Second, text: text}, nil
}
