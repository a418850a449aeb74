// Package e2e tests the real programs as processes on loopback. It uses them
// from outside, as callers and operators do.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/burn"
	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/command"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

func sample(t testing.TB, program string) json.RawMessage {
	t.Helper()
	input, err := standin.Sample(program)
	if err != nil {
		t.Fatal(err)
	}
	return input
}

// getControl reads a JSON document from the control interface of the stand-in.
func (c *cluster) getControl(path string, out any) {
	c.t.Helper()
	response, err := http.Get("http://" + c.controlAddress + path)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		c.t.Fatal(err)
	}
}

// executions returns by request ID how often the targets executed the request.
func (c *cluster) executions() map[structs.RequestID]int {
	total := map[structs.RequestID]int{}
	for _, target := range c.targets {
		var record standin.TargetRecord
		c.getControl("/targets/"+target.id, &record)
		for id, n := range record.Executions {
			total[id] += n
		}
	}
	return total
}

// events returns the events that the runtimes have recorded.
func (c *cluster) events() []standin.Event {
	var events []standin.Event
	c.getControl("/history", &events)
	return events
}

// eventsOf returns a description of the events that the runtimes have recorded
// for an attempt.
func (c *cluster) eventsOf(attempt structs.AttemptID) []string {
	var list []string
	for _, e := range c.events() {
		if e.Attempt == attempt {
			list = append(list, fmt.Sprintf("%s %s %s", e.At.Format("05.000"), e.Kind, e.Worker))
		}
	}
	return list
}

// checkPlatform fails the test if the runtimes recorded more work than the
// capacity of a worker or two runs of a task at a time.
func (c *cluster) checkPlatform() {
	c.t.Helper()
	var violations []*standin.Violation
	c.getControl("/violations", &violations)
	for _, v := range violations {
		c.t.Errorf("runtime recorded: %s", v)
	}
}

// request sends a request until an entry answers it with success.
func (c *cluster) request(entry int, team, kind, key, body string) client.Answer {
	c.t.Helper()
	var answer client.Answer
	eventually(c.t, "answer to request "+kind, func() (bool, string) {
		var err error
		answer, err = c.client(entry).Request(context.Background(), structs.TeamID(team), kind, key, []byte(body))
		return err == nil && answer.Status == http.StatusOK, fmt.Sprintf("%d %s %v", answer.Status, answer.Body, err)
	})
	return answer
}

func (c *cluster) submit(team, class string, job client.JobRequest) structs.JobID {
	c.t.Helper()
	job.Class = class
	var accepted client.JobAccepted
	key := fmt.Sprintf("%s-%d-%s", class, os.Getpid(), c.t.Name())
	eventually(c.t, "submit job "+class, func() (bool, string) {
		var err error
		accepted, err = c.client(0).SubmitJob(context.Background(), structs.TeamID(team), key, job)
		return err == nil, fmt.Sprint(err)
	})
	return accepted.ID
}

func (c *cluster) waitForJob(entry int, id structs.JobID) client.JobStatus {
	c.t.Helper()
	var status client.JobStatus
	eventually(c.t, "end of job "+string(id), func() (bool, string) {
		var err error
		status, err = c.client(entry).Job(context.Background(), id)
		return err == nil && status.Final(), fmt.Sprintf("%+v %v", status, err)
	})
	return status
}

func TestRequestsAndJobsOfBothTeamsComplete(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	ctx := context.Background()

	// A caller receives the answer to their own request.
	for i, delivery := range []string{"HR-2041", "HR-2042"} {
		answer := c.request(i, "jabuka", "slot-check", "", fmt.Sprintf(`{"delivery":%q}`, delivery))
		var got standin.TargetAnswer
		is.NoErr(json.Unmarshal(answer.Body, &got))
		is.Equal(got.Subject, delivery)
		is.Equal(got.RequestID, answer.RequestID)
	}

	// A pricing job is placed and runs under a lease. Its result can be read by
	// the ID of the job through the other entry.
	pricing := c.submit("jabuka", "pricing", client.JobRequest{Input: sample(t, "pricing"), Tasks: 2})
	is.Equal(c.waitForJob(1, pricing).State, string(structs.TaskFinished))
	prices, err := c.client(1).Result(ctx, structs.TaskID{Job: pricing, Index: 1})
	is.NoErr(err)
	is.True(json.Valid(prices))

	// The leader explains the placement of the task also after the task has
	// finished.
	out, code := c.runCommand("explain", "task", string(pricing)+"/0")
	is.Equal(code, command.ExitOK)
	is.True(strings.Contains(out, "place task "+string(pricing)+"/0"))

	// An alert runs once when the same key is sent again through another entry.
	first := c.request(0, "graz", "alert", "beagle-7", `{"pet":"beagle Luna"}`)
	second := c.request(1, "graz", "alert", "beagle-7", `{"pet":"beagle Luna"}`)
	is.Equal(string(first.Body), string(second.Body))
	is.Equal(c.executions()[first.RequestID], 1)

	matching := c.submit("graz", "matching", client.JobRequest{Input: sample(t, "matching")})
	is.Equal(c.waitForJob(0, matching).State, string(structs.TaskFinished))

	// The burn report contains the counts of the entries and of the leaders,
	// also after the entry that counted the requests has exited.
	c.entries[0].terminate(t)
	c.entries[0] = c.startEntry(0)
	eventually(t, "counts in the burn report", func() (bool, string) {
		out, _ := c.runCommand("burn", "-o", "json")
		var report burn.Report
		if err := json.Unmarshal([]byte(out), &report); err != nil {
			return false, out
		}
		counts := map[string]int64{}
		for _, r := range report.Requests {
			counts[string(r.Team)+"/"+r.Kind] = r.Status.Good + r.Status.Bad
		}
		for _, b := range report.Batch {
			counts[string(b.Team)+"/"+b.Class] = b.Status.Good
		}
		// The second alert with the same key counts as a separate request.
		return counts["graz/alert"] == 2 && counts["jabuka/slot-check"] == 2 && counts["jabuka/pricing"] >= 1 && counts["graz/matching"] == 1, fmt.Sprint(counts)
	})

	// The services of the configuration run although no caller has submitted
	// them.
	eventually(t, "services of the configuration run", func() (bool, string) {
		out, _ := c.runCommand("jobs", "list", "graz", "-o", "json")
		var jobs []client.JobStatus
		if json.Unmarshal([]byte(out), &jobs) != nil {
			return false, out
		}
		for _, j := range jobs {
			if j.Kind == structs.WorkService && j.State == "running" {
				return true, out
			}
		}
		return false, out
	})
	c.checkPlatform()
}

func TestFailureDomainLeavesAndReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	const domain, worker = "kordun", structs.WorkerID("worker-kordun")
	out, code := c.runCommand("domain", "out", domain, "--reason", "maintenance")
	if code != command.ExitOK {
		t.Fatal(out)
	}
	eventually(t, "services have moved off", func() (bool, string) {
		running := map[structs.AttemptID]bool{}
		for _, e := range c.events() {
			if e.Worker == worker {
				running[e.Attempt] = e.Kind == standin.EventStarted
			}
		}
		for attempt, isRunning := range running {
			if isRunning {
				return false, fmt.Sprintf("%s, after %v", attempt, c.eventsOf(attempt))
			}
		}
		return true, ""
	})
	before := len(c.events())
	id := c.submit("jabuka", "pricing", client.JobRequest{Input: sample(t, "pricing"), Tasks: 8})
	is.Equal(c.waitForJob(0, id).State, string(structs.TaskFinished))
	for _, e := range c.events()[before:] {
		is.True(e.Worker != worker || e.Kind != standin.EventStarted) // no task starts in a domain that is out
	}
	out, code = c.runCommand("domain", "in", domain)
	if code != command.ExitOK {
		t.Fatal(out)
	}
	out, _ = c.runCommand("domain", "list", "-o", "json")
	var domains []structs.FailureDomain
	is.NoErr(json.Unmarshal([]byte(out), &domains))
	for _, d := range domains {
		is.Equal(d.State, structs.DomainIn)
	}
	c.checkPlatform()
}

// callerPause is the time between two requests of a caller.
const callerPause = 20 * time.Millisecond

func TestGracefulStopsCutOffNoRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	stopCaller := make(chan struct{})
	failures := make(chan error, 64)
	callerDone := make(chan struct{})
	go func() {
		defer close(callerDone)
		for i := 0; ; i++ {
			select {
			case <-stopCaller:
				return
			default:
			}
			// This pace is far below the rate limit of the team.
			time.Sleep(callerPause)
			// Entry 1 keeps running while the agents and targets that serve it
			// stop.
			answer, err := c.client(1).Request(context.Background(), "jabuka", "slot-check", "", []byte(fmt.Sprintf(`{"delivery":"HR-%d"}`, i)))
			if err != nil || answer.Status != http.StatusOK {
				failures <- fmt.Errorf("request %d: %d %w", i, answer.Status, err)
				return
			}
		}
	}()
	c.entries[0].terminate(t)
	for i := range 2 {
		c.agents[i].terminate(t)
	}
	close(stopCaller)
	<-callerDone
	select {
	case err := <-failures:
		t.Fatal(err)
	default:
	}
	c.checkPlatform()
}
