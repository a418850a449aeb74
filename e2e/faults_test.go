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

// faults switches faults of a store, a runtime or a target.
func (c *cluster) faults(store string, f standin.FaultSettings) {
	c.t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.Post("http://"+c.control+"/faults/"+store, "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		c.t.Fatalf("switch faults of %s: status %d", store, response.StatusCode)
	}
}

// alert sends an alert in the background.
func (c *cluster) alert(entry int, key string) chan error {
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

// begun waits until some target has begun a request that was not in before,
// and returns its ID.
func (c *cluster) begun(before map[structs.RequestID]int) structs.RequestID {
	c.t.Helper()
	var id structs.RequestID
	eventually(c.t, "a target begins the request", func() (bool, string) {
		for known := range c.executions() {
			if before[known] == 0 {
				id = known
				return true, ""
			}
		}
		return false, "nothing new"
	})
	return id
}

// checkAtMostOnce fails the test when a target ran a request twice.
func (c *cluster) checkAtMostOnce() {
	c.t.Helper()
	if ids := doubled(c.executions()); len(ids) > 0 {
		c.t.Errorf("requests that ran more than once: %v", ids)
	}
}

// doubled returns the requests that ran more than once.
func doubled(executions map[structs.RequestID]int) []structs.RequestID {
	return standin.TargetRecord{Executions: executions}.Doubled()
}

func TestCheckerFindsARequestThatRanTwice(t *testing.T) {
	is := is.New(t)
	is.Equal(doubled(map[structs.RequestID]int{"a": 1, "b": 2}), []structs.RequestID{"b"})
}

func TestAlertWhoseEntryIsKilledRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	before := c.executions()
	c.faults("target", standin.FaultSettings{Delay: standin.Every, DelayMS: 1000})
	lost := c.alert(0, "terrier-1")
	id := c.begun(before)
	c.entries[0].kill()
	is.True(<-lost != nil) // the caller's entry is gone
	c.faults("target", standin.FaultSettings{})
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
	c.faults("target", standin.FaultSettings{Delay: standin.Every, DelayMS: 1000})
	first := c.alert(0, "terrier-2")
	c.begun(before)
	for i := range c.agents {
		c.agents[i].kill() // one of them has the request
	}
	var details *problem.Error
	is.True(errors.As(<-first, &details))
	is.Equal(details.Type, problem.TypeOutcomeUnknown) // it has begun, so "not run" would be false
	c.faults("target", standin.FaultSettings{})
	for i := range c.agents {
		c.agents[i] = c.startAgent(i)
	}
	c.waitForTargets(len(c.targets))
	// The same key through the other entry: nobody can tell any more, so it must
	// neither run nor be called not run.
	err := <-c.alert(1, "terrier-2")
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
		return startsOf(c.events(), running) == 4, fmt.Sprint(startsOf(c.events(), running), " starts")
	})
	c.faults("table", standin.FaultSettings{Refuse: standin.Every})
	for i := range 20 {
		c.request(i%2, "jabuka", "slot-check", "", `{"delivery":"HR-1"}`)
	}
	// A caller that numbers its sends gets a new alert through, exactly once.
	before := len(c.executions())
	alert, err := c.client(0).RequestTry(context.Background(), "graz", "alert", "in-outage", 1, []byte(`{"pet":"cat"}`))
	is.NoErr(err)
	is.Equal(alert.Status, http.StatusOK)
	is.Equal(len(c.executions()), before+1)
	c.checkAtMostOnce()
	// A job cannot be accepted now, and says so at once with a time to return.
	_, err = c.client(0).SubmitJob(context.Background(), "jabuka", "in-outage", client.JobRequest{Class: "pricing"})
	var details *problem.Error
	is.True(errors.As(err, &details))
	is.Equal(details.Type, problem.TypeUnavailable)
	c.faults("table", standin.FaultSettings{})
	is.Equal(c.waitForJob(0, running).State, string(structs.TaskFinished))
	is.Equal(startsOf(c.events(), running), 4) // the outage cost no attempt
	c.checkPlatform()
}

func startsOf(events []standin.Event, job structs.JobID) int {
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
		return startsOf(c.events(), id) == 8, fmt.Sprint(startsOf(c.events(), id), " starts")
	})
	for i := range c.agents {
		c.agents[i].kill()
		c.agents[i] = c.startAgent(i)
	}
	is.Equal(c.waitForJob(0, id).State, string(structs.TaskFinished))
	is.Equal(startsOf(c.events(), id), 8) // no attempt was lost with its agent
	c.checkPlatform()
}

// grantLimit is the longest time after which a start in a failure domain that
// was taken out is a fault.
const grantLimit = 3 * time.Second

func TestFrozenAgentStartsNothingInADomainThatIsOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t)
	for round := range 3 {
		// Work arrives while the agent that leads the domain's cell freezes.
		c.client(0).SubmitJob(context.Background(), "jabuka", fmt.Sprintf("frozen-%d", round), client.JobRequest{Class: "pricing", Input: sample(t, "pricing"), Tasks: 40})
		c.agents[0].signal(syscall.SIGSTOP)
		out, code := c.run("domain", "out", domains[0])
		if code != command.ExitOK {
			t.Fatal(out)
		}
		taken := time.Now()
		time.Sleep(grantLimit) // the time in which a start is still allowed
		c.agents[0].signal(syscall.SIGCONT)
		eventually(t, "the agent is awake", func() (bool, string) {
			response, err := http.Get("http://" + c.locals[0] + "/healthz")
			if err != nil {
				return false, err.Error()
			}
			response.Body.Close()
			return true, ""
		})
		for _, e := range c.events() {
			late := e.Kind == standin.EventStarted && string(e.Worker) == "worker-"+domains[0] && e.At.After(taken.Add(grantLimit))
			is.True(!late)
		}
		out, code = c.run("domain", "in", domains[0])
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
	// Each request is answered within its own deadline, or surely not run.
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
		c.entrySets[i]["entry"] = fmt.Sprintf("entry-new-%d", i)
		c.entrySets[i]["peer_address"] = freeAddress(t)
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
	c.faults("table", standin.FaultSettings{Refuse: standin.Every})
	c.entries[0].kill()
	c.entrySets[0]["entries"] = []string{fmt.Sprint(c.entrySets[1]["peer_address"])}
	c.entries[0] = c.startEntry(0)
	answer := c.request(0, "jabuka", "slot-check", "", `{"delivery":"HR-9"}`)
	is.Equal(answer.Status, http.StatusOK)
}

func TestAgentRestartedInATableOutageFindsItsLeader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newClusterWith(t, clusterOptions{slots: 8, perDomain: 2})
	// Six contracts of 3.5 s outlast the lease of 15 s.
	var input standin.PricingInput
	is.NoErr(json.Unmarshal(sample(t, "pricing"), &input))
	input.WorkMS = 3500
	long, err := json.Marshal(input)
	is.NoErr(err)
	id := c.submit("jabuka", "pricing", client.JobRequest{Input: long, Tasks: 16})
	eventually(t, "the job runs", func() (bool, string) {
		return startsOf(c.events(), id) == 16, fmt.Sprint(startsOf(c.events(), id), " starts")
	})
	c.faults("table", standin.FaultSettings{Refuse: standin.Every})
	entries := []string{fmt.Sprint(c.entrySets[0]["peer_address"]), fmt.Sprint(c.entrySets[1]["peer_address"])}
	for i, agent := range c.agents {
		if strings.Contains(agent.out.String(), `"msg":"leading"`) {
			continue // nobody can follow a leader that restarts now
		}
		agent.kill()
		c.settings[i]["entries"] = entries
		c.agents[i] = c.startAgent(i)
	}
	// Every run outlives its lease by far, so each was renewed.
	eventually(t, "the runs have finished", func() (bool, string) {
		ended := map[standin.EventKind]int{}
		for _, e := range c.events() {
			if e.Attempt.Task.Job == id {
				ended[e.Kind]++
			}
		}
		return ended[standin.EventExited] == 16, fmt.Sprint(ended)
	})
	c.faults("table", standin.FaultSettings{})
	is.Equal(c.waitForJob(0, id).State, string(structs.TaskFinished))
	is.Equal(startsOf(c.events(), id), 16)
	c.checkPlatform()
}
