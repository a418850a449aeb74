package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// longFirstWait is the wait for the first start from which a summary gives the
// usual reason if no line gives one. A shorter one is time for the commit and the
// reports of the workers.
const longFirstWait = Seconds(time.Second)

// Summary states in words what became of a job of steps and why it was refused,
// waited, was stopped or got a copy, from the timeline of a request with its ID.
func Summary(events []Event, id string) string {
	if strings.Contains(id, "/") {
		// The lines that contain the ID of a task or a run do not show what the job
		// waited for or how it ended.
		return "only for the ID of a job"
	}
	collected := newLossLog()
	var httpRefusals, waitReasons []string
	for _, e := range events {
		collected.add(e)
		if !e.OfRequest {
			continue
		}
		if e.Message == "refused" {
			httpRefusals = append(httpRefusals, fmt.Sprintf("refused with status %v: %s", e.Fields["status"], cmp.Or(e.text("reason"), unknown)))
		} else if reason := e.waitReason(); reason != "" {
			waitReasons = append(waitReasons, reason)
		}
	}
	parts := distinct(httpRefusals)
	j := collected.jobs[id]
	switch {
	case j != nil:
		parts = append(parts, j.summary(collected.end, distinct(waitReasons))...)
	case len(parts) == 0:
		parts = []string{"no line about a job of steps"}
	}
	if n := len(collected.epochs); n > 0 {
		parts = append(parts, "the leader changed "+times(n)+" meanwhile")
	}
	return strings.Join(parts, "; ")
}

// waitReason returns why a task of the job waits if the line gives a reason.
func (e Event) waitReason() string {
	switch e.Message {
	case "permits":
		asked, _ := e.Fields["asked"].(float64)
		if given, _ := e.Fields["given"].(float64); given < asked {
			return fmt.Sprintf("%.0f of %.0f permits given", given, asked)
		}
	case "step waits: no permit service is configured":
		return "no permit service is configured"
	case "job set aside":
		return "set aside after a panic"
	case "long-running tasks are pending":
		excluded, _ := e.Fields["excluded"].(map[string]any)
		if len(excluded) == 0 {
			return ""
		}
		return "workers excluded: " + strings.Join(slices.Sorted(maps.Keys(excluded)), ", ")
	}
	return ""
}

// summary returns the parts of the summary. end is the time of the last line.
func (j *lossJob) summary(end time.Time, waitReasons []string) []string {
	q := newQueueLosses(j.queue)
	q.addJob(j, end)
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(q.Refused)) {
		parts = append(parts, fmt.Sprintf("refused %s: %s", times(q.Refused[reason]), reason))
	}
	switch {
	case j.phase != "" && !j.acceptedAt.IsZero():
		parts = append(parts, fmt.Sprintf("%s %s s after its acceptance", j.phase, Seconds(j.endedAt.Sub(j.acceptedAt))))
	case j.phase != "":
		parts = append(parts, j.phase)
	case !j.isRefused():
		parts = append(parts, "no end in the log")
	}
	parts = append(parts, j.waitSummary(&q, waitReasons)...)
	for _, reason := range slices.Sorted(maps.Keys(q.Stops)) {
		part := fmt.Sprintf("stopped %s: %s", times(q.Stops[reason]), reason)
		if wait := q.Time.AfterStop[reason]; wait > 0 {
			part += fmt.Sprintf(" (then waited %s s to run again)", wait)
		}
		parts = append(parts, part)
	}
	for _, reason := range slices.Sorted(maps.Keys(q.Released)) {
		what := "lost a run"
		if hasNotStarted[reason] {
			what = "a start had no effect"
		}
		parts = append(parts, fmt.Sprintf("%s %s: %s", what, times(q.Released[reason]), reason))
	}
	return append(parts, j.runSummary(&q)...)
}

// waitSummary returns the part on the wait for the first start.
func (j *lossJob) waitSummary(q *QueueLosses, reasons []string) []string {
	if q.Time.FirstStart == 0 {
		if len(reasons) == 0 {
			return nil
		}
		return []string{"waited: " + strings.Join(reasons, ", ")}
	}
	part := fmt.Sprintf("waited %s s for the first start", q.Time.FirstStart)
	switch {
	case len(reasons) > 0:
		part += ": " + strings.Join(reasons, ", ")
	case q.Time.FirstStart >= longFirstWait:
		part += " (no line gives a reason; usually there is no room)"
	}
	return []string{part}
}

// runSummary returns the parts on failed runs and copies.
func (j *lossJob) runSummary(q *QueueLosses) []string {
	failed := 0
	var copies []string
	for task, runs := range j.tasks {
		for _, r := range runs {
			if r.end == "failed" {
				failed++
			}
			if r.isCopy {
				outcome := "did not win"
				if r.copyWon {
					outcome = "won"
				}
				copies = append(copies, fmt.Sprintf("task %d/%d/%d got a copy (run %d), which %s", task.round, task.step, task.index, r.number, outcome))
			}
		}
	}
	var parts []string
	if failed > 0 {
		parts = append(parts, "a run failed "+times(failed))
	}
	if q.Time.AfterLoss > 0 {
		parts = append(parts, fmt.Sprintf("waited %s s to run again after lost or failed runs", q.Time.AfterLoss))
	}
	slices.Sort(copies)
	return append(parts, copies...)
}

// times returns how often something happened.
func times(n int) string {
	if n == 1 {
		return "once"
	}
	return fmt.Sprintf("%d times", n)
}

// distinct returns the texts without those that came before.
func distinct(texts []string) []string {
	var out []string
	for _, text := range texts {
		if !slices.Contains(out, text) {
			out = append(out, text)
		}
	}
	return out
}
