package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/command"
	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// setFaults sets the injected faults of a store, a runtime or a target.
func (c *cluster) setFaults(component string, f standin.FaultSettings) {
	c.t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.Post("http://"+c.controlAddress+"/faults/"+component, "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		c.t.Fatalf("set faults of %s: status %d", component, response.StatusCode)
	}
}

// sendAlert sends an alert in the background.
func (c *cluster) sendAlert(entry int, key string) chan error {
	done := make(chan error, 1)
	go func() {
		answer, err := c.client(entry).Request(context.Background(), "graz", "alert", key, []byte(`{"pet":"terrier"}`))
		if err == nil && answer.Status != http.StatusOK {
			err = fmt.Errorf("status %d", answer.Status)
		}
		done <- err
	}()
	return done
}

// waitForNewRequest waits until a target executes a request that is not in
// before, and returns the ID of the request.
func (c *cluster) waitForNewRequest(before map[structs.RequestID]int) structs.RequestID {
	c.t.Helper()
	var id structs.RequestID
	eventually(c.t, "a target runs a new request", func() (bool, string) {
		for candidate := range c.executions() {
			if before[candidate] == 0 {
				id = candidate
				return true, ""
			}
		}
		return false, "no new request"
	})
	return id
}

// checkAtMostOnce fails the test if the targets executed a request more than
// once.
func (c *cluster) checkAtMostOnce() {
	c.t.Helper()
	if ids := repeatedRequests(c.executions()); len(ids) > 0 {
		c.t.Errorf("requests that ran more than once: %v", ids)
	}
}

// repeatedRequests returns the requests that were executed more than once.
func repeatedRequests(executions map[structs.RequestID]int) []structs.RequestID {
	return standin.TargetRecord{Executions: executions}.ExecutedRepeatedly()
}

func TestCheckerFindsARequestThatRanTwice(t *testing.T) {
	is := is.New(t)
	is.Equal(repeatedRequests(map[structs.RequestID]int{"a": 1, "b": 2}), []structs.RequestID{"b"})
}

func TestAlertWhoseEntryIsKilledRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	before := c.executions()
	c.setFaults("target", standin.FaultSettings{Delay: standin.EveryCall, DelayMS: 1000})
	lostAnswer := c.sendAlert(0, "terrier-1")
	id := c.waitForNewRequest(before)
	c.entries[0].kill()
	is.True(<-lostAnswer != nil) // the caller's entry was killed
	c.setFaults("target", standin.FaultSettings{})
	answer := c.request(1, "graz", "alert", "terrier-1", `{"pet":"terrier"}`)
	is.Equal(answer.RequestID, id) // the answer of the only execution
	c.checkAtMostOnce()
	is.Equal(len(c.executions()), len(before)+1)
}

func TestAlertWhoseAgentIsKilledNeverRunsAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	before := c.executions()
	c.setFaults("target", standin.FaultSettings{Delay: standin.EveryCall, DelayMS: 1000})
	firstAnswer := c.sendAlert(0, "terrier-2")
	c.waitForNewRequest(before)
	for i := range c.agents {
		c.agents[i].kill() // one of these agents forwards the request
	}
	var details *problem.Error
	is.True(errors.As(<-firstAnswer, &details))
	is.Equal(details.Type, problem.TypeOutcomeUnknown) // the request has begun, so "not run" would be false
	c.setFaults("target", standin.FaultSettings{})
	for i := range c.agents {
		c.agents[i] = c.startAgent(i)
	}
	c.waitForTargets(len(c.targets))
	// The same key is sent through the other entry. The outcome is lost, so the
	// request must neither run again nor be answered as not run.
	err := <-c.sendAlert(1, "terrier-2")
	is.True(errors.As(err, &details))
	is.True(details.Type != problem.TypeNotRun)
	c.checkAtMostOnce()
	is.Equal(len(c.executions()), len(before)+1)
}

func TestRequestsAndRunsOutliveATableOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	running := c.submit("jabuka", "pricing", client.JobRequest{Input: sample(t, "pricing"), Tasks: 4})
	eventually(t, "the job runs", func() (bool, string) {
		return countStarts(c.events(), running) == 4, fmt.Sprint(countStarts(c.events(), running), " starts")
	})
	c.setFaults("table", standin.FaultSettings{Refuse: standin.EveryCall})
	for i := range 20 {
		c.request(i%2, "jabuka", "slot-check", "", `{"delivery":"HR-1"}`)
	}
	// A new alert that is sent with an attempt number runs exactly once.
	before := len(c.executions())
	alert, err := c.client(0).RequestAttempt(context.Background(), "graz", "alert", "in-outage", 1, []byte(`{"pet":"cat"}`))
	is.NoErr(err)
	is.Equal(alert.Status, http.StatusOK)
	is.Equal(len(c.executions()), before+1)
	c.checkAtMostOnce()
	// A job cannot be accepted during the outage. The answer says so and tells
	// the caller when to try again.
	_, err = c.client(0).SubmitJob(context.Background(), "jabuka", "in-outage", client.JobRequest{Class: "pricing"})
	var details *problem.Error
	is.True(errors.As(err, &details))
	is.Equal(details.Type, problem.TypeUnavailable)
	c.setFaults("table", standin.FaultSettings{})
	is.Equal(c.waitForJob(0, running).State, string(structs.TaskFinished))
	is.Equal(countStarts(c.events(), running), 4) // the outage cost no attempt
	c.checkPlatform()
}

func countStarts(events []standin.Event, job structs.JobID) int {
	n := 0
	for _, e := range events {
		if e.Attempt.Task.Job == job && e.Kind == standin.EventStarted {
			n++
		}
	}
	return n
}

func TestRestartedAgentAdoptsItsRuns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	id := c.submit("jabuka", "pricing", client.JobRequest{Input: sample(t, "pricing"), Tasks: 8})
	eventually(t, "the job runs", func() (bool, string) {
		return countStarts(c.events(), id) == 8, fmt.Sprint(countStarts(c.events(), id), " starts")
	})
	for i := range c.agents {
		c.agents[i].kill()
		c.agents[i] = c.startAgent(i)
	}
	is.Equal(c.waitForJob(0, id).State, string(structs.TaskFinished))
	is.Equal(countStarts(c.events(), id), 8) // no attempt was lost with its agent
	c.checkPlatform()
}

// startAfterOutLimit is the time in which tasks may still start in a failure
// domain after operators have taken it out of service.
const startAfterOutLimit = 3 * time.Second

func TestFrozenAgentStartsNothingInADomainThatIsOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	for round := range 3 {
		// Jobs arrive while the agent that leads the domain's cell freezes.
		c.client(0).SubmitJob(context.Background(), "jabuka", fmt.Sprintf("frozen-%d", round), client.JobRequest{Class: "pricing", Input: sample(t, "pricing"), Tasks: 40})
		c.agents[0].signal(syscall.SIGSTOP)
		out, code := c.runCommand("domain", "out", domains[0])
		if code != command.ExitOK {
			t.Fatal(out)
		}
		outSince := time.Now()
		time.Sleep(startAfterOutLimit) // starts are still allowed during this time
		c.agents[0].signal(syscall.SIGCONT)
		eventually(t, "the agent responds again", func() (bool, string) {
			response, err := http.Get("http://" + c.localAddresses[0] + "/healthz")
			if err != nil {
				return false, err.Error()
			}
			response.Body.Close()
			return true, ""
		})
		for _, e := range c.events() {
			startedTooLate := e.Kind == standin.EventStarted && string(e.Worker) == "worker-"+domains[0] && e.At.After(outSince.Add(startAfterOutLimit))
			is.True(!startedTooLate)
		}
		out, code = c.runCommand("domain", "in", domains[0])
		if code != command.ExitOK {
			t.Fatal(out)
		}
	}
	c.checkPlatform()
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newClusterWith(t, clusterOptions{slots: 8, relays: true})
	for i := range 40 {
		c.request(i%2, "jabuka", "slot-check", "", `{"delivery":"HR-1"}`)
	}
	silenced := 0
	for _, r := range c.relays {
		silenced += r.silence()
	}
	is.True(silenced > 0)
	// Each request is answered within its own deadline, or answered as not run.
	for i := range 20 {
		c.request(i%2, "jabuka", "slot-check", "", `{"delivery":"HR-2"}`)
		c.request(i%2, "graz", "alert", fmt.Sprintf("silent-%d", i), `{"pet":"cat"}`)
	}
	c.checkAtMostOnce()
	c.checkPlatform()
}

func TestEveryEntryReplacedOneByOne(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	for i := range c.entries {
		c.entries[i].kill()
		c.entrySettings[i]["entry"] = fmt.Sprintf("entry-new-%d", i)
		c.entrySettings[i]["peer_address"] = freeAddress(t)
		c.entries[i] = c.startEntry(i)
		c.waitForTargets(len(c.targets))
		c.request(i, "jabuka", "slot-check", "", `{"delivery":"HR-3"}`)
	}
}

func TestRestartedEntryTakesTheConfigurationFromAgentsInAnOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	eventually(t, "agents have the configuration", func() (bool, string) {
		status, err := c.client(0).ConfigStatus(context.Background())
		return err == nil && len(status.Workers) == len(domains) && len(status.Lagging) == 0, fmt.Sprintf("%+v %v", status, err)
	})
	c.setFaults("table", standin.FaultSettings{Refuse: standin.EveryCall})
	c.entries[0].kill()
	c.entrySettings[0]["entries"] = []string{fmt.Sprint(c.entrySettings[1]["peer_address"])}
	c.entries[0] = c.startEntry(0)
	answer := c.request(0, "jabuka", "slot-check", "", `{"delivery":"HR-9"}`)
	is.Equal(answer.Status, http.StatusOK)
}

func TestAgentRestartedInATableOutageFindsItsLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newClusterWith(t, clusterOptions{slots: 8, agentsPerDomain: 2})
	// The run time of six contracts of 3.5 s is longer than the lease of 15 s.
	var input standin.PricingInput
	is.NoErr(json.Unmarshal(sample(t, "pricing"), &input))
	input.WorkMS = 3500
	long, err := json.Marshal(input)
	is.NoErr(err)
	id := c.submit("jabuka", "pricing", client.JobRequest{Input: long, Tasks: 16})
	eventually(t, "the job runs", func() (bool, string) {
		return countStarts(c.events(), id) == 16, fmt.Sprint(countStarts(c.events(), id), " starts")
	})
	c.setFaults("table", standin.FaultSettings{Refuse: standin.EveryCall})
	entries := []string{fmt.Sprint(c.entrySettings[0]["peer_address"]), fmt.Sprint(c.entrySettings[1]["peer_address"])}
	for i, agent := range c.agents {
		if strings.Contains(agent.output.String(), `"msg":"leading"`) {
			continue // a leader is not restarted, because agents could not find it again during the outage
		}
		agent.kill()
		c.agentSettings[i]["entries"] = entries
		c.agents[i] = c.startAgent(i)
	}
	// Every run takes longer than its lease, so the lease of each run that
	// finishes was renewed.
	eventually(t, "the runs have finished", func() (bool, string) {
		ended := map[standin.EventKind]int{}
		for _, e := range c.events() {
			if e.Attempt.Task.Job == id {
				ended[e.Kind]++
			}
		}
		return ended[standin.EventExited] == 16, fmt.Sprint(ended)
	})
	c.setFaults("table", standin.FaultSettings{})
	is.Equal(c.waitForJob(0, id).State, string(structs.TaskFinished))
	is.Equal(countStarts(c.events(), id), 16)
	c.checkPlatform()
}
