package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/daisywall/daisywall/burn"
	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/daemon"
	"github.com/daisywall/daisywall/examples"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

func (t *tour) step(format string, args ...any) {
	fmt.Fprintf(t.out, "\n== "+format+"\n", args...)
}

// run walks through the parts of the system in their order.
func (t *tour) run(ctx context.Context) error {
	steps := []func(context.Context) error{t.configure, t.requests, t.jobs, t.steps, t.domain, t.report}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// steps runs a job of two steps on a fleet of its own, and stops the leader
// between them.
func (t *tour) steps(ctx context.Context) error {
	t.step("a job of two steps; the process that leads the fleet stops between them")
	fleet, err := daemon.StartDevFleet(ctx)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	api := client.New(fleet.URL, "", &http.Client{})
	job := []structs.Step{
		{Tasks: 4, Resources: structs.Resources{MilliCPU: 500, MemoryMB: 100}},
		{Tasks: 2, Resources: structs.Resources{MilliCPU: 500, MemoryMB: 100}, After: []int32{0}},
	}
	err = until(ctx, "job of steps accepted", func(ctx context.Context) (bool, error) {
		status, err := api.SubmitSteps(ctx, daemon.DevQueue, "tour", job, "")
		if err == nil {
			fmt.Fprintf(t.out, "job %s: %s\n", status.ID, status.Phase)
		}
		return err == nil, err
	})
	if err != nil {
		return err
	}
	if leader, found := fleet.StopLeader(); found {
		fmt.Fprintf(t.out, "%s led and has stopped\n", leader)
	}
	return until(ctx, "job of steps completed", func(ctx context.Context) (bool, error) {
		status, err := api.Steps(ctx, daemon.DevQueue, "tour")
		done := err == nil && status.Phase == structs.JobCompleted
		if done {
			fmt.Fprintf(t.out, "job %s: %s\n", status.ID, status.Phase)
		}
		return done, err
	})
}

// configure applies the sample configurations and waits for the targets.
func (t *tour) configure(ctx context.Context) error {
	t.step("the teams' configuration, made from the answers in examples/")
	for _, document := range [][]byte{examples.Jabuka, examples.Graz} {
		team, err := config.DecodeTeam(document)
		if err != nil {
			return err
		}
		err = until(ctx, "configuration", func(ctx context.Context) (bool, error) {
			current, err := t.api.Config(ctx)
			if err != nil {
				return false, err
			}
			revision, err := t.api.ApplyConfig(ctx, current.Revision, client.ConfigChange{Put: []structs.TeamConfig{team}})
			if err == nil {
				fmt.Fprintf(t.out, "team %s: revision %d\n", team.ID, revision)
			}
			return err == nil, err
		})
		if err != nil {
			return err
		}
	}
	t.step("targets announce themselves to their agents; nothing lists them")
	return until(ctx, "targets", func(ctx context.Context) (bool, error) {
		targets, err := t.api.Targets(ctx)
		if len(targets) < 2*len(devDomains) {
			return false, err
		}
		for _, target := range targets {
			fmt.Fprintf(t.out, "%-20s on %-18s %v\n", target.ID, target.Worker, target.Kinds)
		}
		return true, nil
	})
}

// requests sends an urgent request of each team.
func (t *tour) requests(ctx context.Context) error {
	t.step("a grower's slot check, and an alert that must run at most once, sent twice with one key")
	for _, r := range []struct{ team, kind, key, body string }{
		{"jabuka", "slot-check", "", `{"delivery":"HR-2041"}`},
		{"graz", "alert", "alert-beagle-7", `{"pet":"beagle Luna"}`},
		{"graz", "alert", "alert-beagle-7", `{"pet":"beagle Luna"}`},
	} {
		err := until(ctx, r.kind, func(ctx context.Context) (bool, error) {
			answer, err := t.api.Request(ctx, structs.TeamID(r.team), r.kind, r.key, []byte(r.body))
			if err == nil {
				fmt.Fprintf(t.out, "%s\n", answer.Body)
			}
			return err == nil, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// jobs runs a pricing run and the nightly matching to their ends.
func (t *tour) jobs(ctx context.Context) error {
	t.step("a pricing run and the nightly matching run")
	for _, j := range []struct{ team, class string }{{"jabuka", "pricing"}, {"graz", "matching"}} {
		input, err := standin.Sample(j.class)
		if err != nil {
			return err
		}
		var accepted client.JobAccepted
		err = until(ctx, "submission", func(ctx context.Context) (bool, error) {
			var err error
			accepted, err = t.api.SubmitJob(ctx, structs.TeamID(j.team), "tour-"+j.class, client.JobRequest{Class: j.class, Input: input})
			return err == nil, err
		})
		if err != nil {
			return err
		}
		if err := t.finish(ctx, accepted.ID); err != nil {
			return err
		}
	}
	return nil
}

func (t *tour) finish(ctx context.Context, id structs.JobID) error {
	return until(ctx, "job "+string(id), func(ctx context.Context) (bool, error) {
		status, err := t.api.Job(ctx, id)
		if err != nil || !status.Final() {
			return false, err
		}
		result, err := t.api.Result(ctx, structs.TaskID{Job: id})
		if err != nil {
			return false, err
		}
		fmt.Fprintf(t.out, "job %s (%s) %s: %.300s\n", id, status.Class, status.State, result)
		return true, nil
	})
}

// domain takes a failure domain out, runs a job meanwhile and brings it back.
func (t *tour) domain(ctx context.Context) error {
	domain := devDomains[0]
	t.step("failure domain %s leaves and returns", domain)
	if err := t.api.SetDomain(ctx, domain, structs.DomainOut, "tour"); err != nil {
		return err
	}
	input, err := standin.Sample("pricing")
	if err != nil {
		return err
	}
	accepted, err := t.api.SubmitJob(ctx, "jabuka", "tour-while-out", client.JobRequest{Class: "pricing", Tasks: 4, Input: input})
	if err != nil {
		return err
	}
	if err := t.finish(ctx, accepted.ID); err != nil {
		return err
	}
	return t.api.SetDomain(ctx, domain, structs.DomainIn, "tour")
}

// tourJobs is the number of parts of jobs that the tour leaves finished: one
// for each cell that a job was given to.
const tourJobs = 3

// finishedOnTime counts the finished parts of jobs.
func finishedOnTime(report *burn.Report) int64 {
	total := int64(0)
	for _, b := range report.Batch {
		total += b.Status.Good
	}
	return total
}

// report prints the service-level burn report.
func (t *tour) report(ctx context.Context) error {
	t.step("service-level burn report (the leaders write their counts every few seconds)")
	err := until(ctx, "counts", func(ctx context.Context) (bool, error) {
		document, err := t.api.Raw(ctx, url.Values{"format": {"json"}}, "v1", "burn")
		if err != nil {
			return false, err
		}
		var report burn.Report
		if err := json.Unmarshal(document, &report); err != nil {
			return false, fmt.Errorf("decode report: %w", err)
		}
		return finishedOnTime(&report) >= tourJobs, nil
	})
	if err != nil {
		return err
	}
	report, err := t.api.Raw(ctx, url.Values{"format": {"text"}}, "v1", "burn")
	if err != nil {
		return err
	}
	_, err = t.out.Write(report)
	return err
}
