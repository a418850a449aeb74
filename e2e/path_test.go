// Package e2e drives the real processes on loopback from outside, as callers
// and operators do.
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

// get reads a JSON document of the stand-in's control interface.
func (c *cluster) get(path string, out any) {
	c.t.Helper()
	response, err := http.Get("http://" + c.control + path)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		c.t.Fatal(err)
	}
}

// executions counts how often each request ID ran over all targets.
func (c *cluster) executions() map[structs.RequestID]int {
	total := map[structs.RequestID]int{}
	for _, target := range c.targets {
		var record standin.TargetRecord
		c.get("/targets/"+target.id, &record)
		for id, n := range record.Executions {
			total[id] += n
		}
	}
	return total
}

// events is the runtimes' own record.
func (c *cluster) events() []standin.Event {
	var events []standin.Event
	c.get("/history", &events)
	return events
}

// eventsOf tells what the runtimes saw of an attempt.
func (c *cluster) eventsOf(attempt structs.AttemptID) []string {
	var list []string
	for _, e := range c.events() {
		if e.Attempt == attempt {
			list = append(list, fmt.Sprintf("%s %s %s", e.At.Format("05.000"), e.Kind, e.Worker))
		}
	}
	return list
}

// checkPlatform fails the test when the runtimes saw capacity exceeded or a
// task running twice at a time.
func (c *cluster) checkPlatform() {
	c.t.Helper()
	var violations []*standin.Violation
	c.get("/violations", &violations)
	for _, v := range violations {
		c.t.Errorf("runtime saw: %s", v)
	}
}

// request sends a request until it is answered.
func (c *cluster) request(entry int, team, kind, key, body string) client.Answer {
	c.t.Helper()
	var answer client.Answer
	eventually(c.t, "answer to "+kind, func() (bool, string) {
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
	eventually(c.t, "submit "+class, func() (bool, string) {
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

func TestWholePathOfBothDeployments(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	ctx := context.Background()

	// A grower gets the whole answer to their own request.
	for i, delivery := range []string{"HR-2041", "HR-2042"} {
		answer := c.request(i, "jabuka", "slot-check", "", fmt.Sprintf(`{"delivery":%q}`, delivery))
		var got standin.TargetAnswer
		is.NoErr(json.Unmarshal(answer.Body, &got))
		is.Equal(got.Subject, delivery)
		is.Equal(got.RequestID, answer.RequestID)
	}

	// A pricing run is placed, runs under a lease, and its result is fetched by
	// the job's ID through the other entry.
	pricing := c.submit("jabuka", "pricing", client.JobRequest{Input: sample(t, "pricing"), Tasks: 2})
	is.Equal(c.waitForJob(1, pricing).State, string(structs.TaskFinished))
	prices, err := c.client(1).Result(ctx, structs.TaskID{Job: pricing, Index: 1})
	is.NoErr(err)
	is.True(json.Valid(prices))

	// The leader says why the task ran where it did, also when it is over.
	out, code := c.run("explain", "task", string(pricing)+"/0")
	is.Equal(code, command.ExitOK)
	is.True(strings.Contains(out, "place task "+string(pricing)+"/0"))

	// An alert runs once, also when its key comes again through another entry.
	first := c.request(0, "graz", "alert", "beagle-7", `{"pet":"beagle Luna"}`)
	second := c.request(1, "graz", "alert", "beagle-7", `{"pet":"beagle Luna"}`)
	is.Equal(string(first.Body), string(second.Body))
	is.Equal(c.executions()[first.RequestID], 1)

	matching := c.submit("graz", "matching", client.JobRequest{Input: sample(t, "matching")})
	is.Equal(c.waitForJob(0, matching).State, string(structs.TaskFinished))

	// The counts of entries and leaders meet in the burn report, also after the
	// entry that counted is gone.
	c.entries[0].terminate(t)
	c.entries[0] = c.startEntry(0)
	eventually(t, "burn report", func() (bool, string) {
		out, _ := c.run("burn", "-o", "json")
		var report burn.Report
		if err := json.Unmarshal([]byte(out), &report); err != nil {
			return false, out
		}
		good := map[string]int64{}
		for _, r := range report.Requests {
			good[string(r.Team)+"/"+r.Kind] = r.Status.Good + r.Status.Bad
		}
		for _, b := range report.Batch {
			good[string(b.Team)+"/"+b.Class] = b.Status.Good
		}
		// The second alert with the same key is a request of its own.
		return good["graz/alert"] == 2 && good["jabuka/slot-check"] == 2 && good["jabuka/pricing"] >= 1 && good["graz/matching"] == 1, fmt.Sprint(good)
	})

	// The watchers of the configuration run without having been submitted.
	eventually(t, "watchers run", func() (bool, string) {
		out, _ := c.run("jobs", "list", "graz", "-o", "json")
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
	out, code := c.run("domain", "out", domain, "--reason", "maintenance")
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
		for attempt, runs := range running {
			if runs {
				return false, fmt.Sprintf("%s, after %v", attempt, c.eventsOf(attempt))
			}
		}
		return true, ""
	})
	before := len(c.events())
	id := c.submit("jabuka", "pricing", client.JobRequest{Input: sample(t, "pricing"), Tasks: 8})
	is.Equal(c.waitForJob(0, id).State, string(structs.TaskFinished))
	for _, e := range c.events()[before:] {
		is.True(e.Worker != worker || e.Kind != standin.EventStarted) // nothing starts in a domain that is out
	}
	out, code = c.run("domain", "in", domain)
	if code != command.ExitOK {
		t.Fatal(out)
	}
	out, _ = c.run("domain", "list", "-o", "json")
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
	stop := make(chan struct{})
	failures := make(chan error, 64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			// The team's rate limit is far above this pace.
			time.Sleep(callerPause)
			// Entry 1 stays; the agents and targets behind it stop.
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
	close(stop)
	<-done
	select {
	case err := <-failures:
		t.Fatal(err)
	default:
	}
	c.checkPlatform()
}
