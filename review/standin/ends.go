package main

import (
	"fmt"
	"net/http"
	"time"
)

// playEnds: two jobs of 450 short tasks on a runner whose label they need. The store
// does not answer for 1.6 s while they end. TWICE holds if no task starts again after a
// run of it has ended "done" and that end is taken note of.
func playEnds(rec *record, trouble bool) (verdict, error) {
	sys, err := newSystem(rec, shape{agents: 3, entries: 2, cpu: 16000, mem: 64000, labels: labelOne(1)})
	defer sys.stop()
	if err == nil {
		err = sys.start()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	const work = 6 * time.Second
	handedIn := time.Now()
	for range 2 {
		steps := []step{{Count: 450, CPU: 16, MemMB: 32, EstimateMS: 7000, Requires: "b"}}
		plan := taskPlan{work: work, spread: 1200 * time.Millisecond}
		if status := sys.submit(newJobID(), "short", steps, plan, 10*time.Second); status != http.StatusOK {
			return verdict{}, fmt.Errorf("a job was answered with %d", status)
		}
	}
	time.Sleep(time.Until(handedIn.Add(work - 100*time.Millisecond)))
	if n := sys.runs.runningNow(); n != 900 {
		return verdict{}, fmt.Errorf("%d of 900 tasks run before the disruption", n)
	}
	if trouble {
		sys.store.setSilent(true)
		time.Sleep(1600 * time.Millisecond)
		sys.store.setSilent(false)
	}
	time.Sleep(20 * time.Second)
	return sys.checkTwice(), nil
}

// checkTwice checks the rule TWICE for tasks without copies, as far as runs that start
// after the end "done" of another one.
func (s *system) checkTwice() verdict {
	starts, example := 0, ""
	s.runs.all(func(task string, runs []*seenRun) {
		for _, first := range runs {
			for _, second := range runs {
				if first.how != "done" || first.noted.IsZero() || !second.started.After(first.ended) {
					continue
				}
				starts++
				example = fmt.Sprintf("; such as %s, of which run %d ended done and run %d started %d ms later", task, first.run, second.run, second.started.Sub(first.ended).Milliseconds())
			}
		}
	})
	text := fmt.Sprintf("%d starts after the end done of another run of the task, which was taken note of%s", starts, example)
	return verdict{broken: starts > 0, text: text}
}
