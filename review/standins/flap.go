package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Figures of the disruption in the case flap.
const (
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
)

// playFlap: a job with a task that needs a label, which one of ten runners has. That
// runner goes down and up by turns. LOST holds if the job is not shown as failed, since
// no run of it has ended "failed".
func playFlap(rec *record, trouble bool) (verdict, error) {
	const labelled = 3
	sys, err := newSystem(rec, shape{agents: 10, entries: 2, cpu: 16000, mem: 64000, labels: labelOne(labelled)})
	defer sys.stop()
	if err == nil {
		err = sys.start()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	id := newJobID()
	steps := []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 2000, Requires: "b"}}
	if status := sys.submit(id, "flap", steps, taskPlan{work: 2 * time.Second}, 10*time.Second); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job was answered with %d", status)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		r := sys.agents[labelled].runner
		for begun := time.Now(); time.Since(begun) < flapTime-flapPeriod/2; time.Sleep(flapPeriod / 2) {
			r.crash()
			time.Sleep(flapPeriod / 2)
			if err := r.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	var states []string
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(500 * time.Millisecond) {
		if _, state := sys.state(id); state != "" && !slices.Contains(states, state) {
			states = append(states, state)
		}
	}
	failed := sys.runs.count(id, func(s *seenRun) bool { return s.how == "failed" })
	crashed := sys.runs.count(id, func(s *seenRun) bool { return s.how == "crashed" })
	text := fmt.Sprintf("the job was shown as %v; %d of its runs ended failed, %d were lost with their runner", states, failed, crashed)
	return verdict{broken: failed == 0 && slices.Contains(states, "failed"), text: text}, nil
}
