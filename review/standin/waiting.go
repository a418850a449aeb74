package main

import (
	"fmt"
	"net/http"
	"time"
)

// playWaiting: ten jobs of a task that needs a label, which one of ten runners has.
// That runner answers 503 to starts for 6.5 s. MIXED holds if an entry gives as waiting
// at least half of the jobs that were accepted over 5 s before and have not begun.
func playWaiting(rec *record, trouble bool) (verdict, error) {
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
	begun := time.Now()
	if trouble {
		sys.agents[labelled].runner.setUnhealthy(true)
	}
	var jobs []string
	for range 10 {
		id := newJobID()
		jobs = append(jobs, id)
		steps := []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 1000, Requires: "b"}}
		if status := sys.submit(id, "waiting", steps, taskPlan{work: time.Second}, 10*time.Second); status != http.StatusOK {
			return verdict{}, fmt.Errorf("a job was answered with %d", status)
		}
	}
	acceptedBy := time.Now()
	time.Sleep(5200 * time.Millisecond) // visible_ms, 2 s and a margin
	broken, text := 0, ""
	for i := 0; time.Since(begun) < 6300*time.Millisecond; i++ {
		status, answer := sys.request(i, http.MethodGet, queuePrefix, nil)
		waiting, ok := answer["waiting"].(float64)
		notBegun := 0 // counted after the answer, so that none of them had begun before it
		for _, id := range jobs {
			if sys.runs.count(id, func(*seenRun) bool { return true }) == 0 {
				notBegun++
			}
		}
		if status == http.StatusOK && ok && 2*int(waiting) < notBegun {
			broken++
			text = fmt.Sprintf("; such as %d, while %d jobs had not begun that were accepted %.1f s before or earlier", int(waiting), notBegun, time.Since(acceptedBy).Seconds())
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(begun.Add(6500 * time.Millisecond)))
	sys.agents[labelled].runner.setUnhealthy(false)
	completed := 0
	for _, id := range jobs {
		if sys.awaitState(id, "completed", 15*time.Second) {
			completed++
		}
	}
	text = fmt.Sprintf("%d answers gave as waiting under half of the jobs that waited%s; %d of 10 jobs were completed later", broken, text, completed)
	return verdict{broken: broken > 0, text: text}, nil
}
