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

func (t *tour) printHeading(format string, args ...any) {
	fmt.Fprintf(t.out, "\n== "+format+"\n", args...)
}

// run demonstrates the parts of the system one after the other.
func (t *tour) run(ctx context.Context) error {
	steps := []func(context.Context) error{t.configure, t.sendRequests, t.runJobs, t.runSteps, t.cycleDomain, t.printBurnReport}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runSteps runs a job with two steps on a separate development fleet and stops
// the leader between the steps.
func (t *tour) runSteps(ctx context.Context) error {
	t.printHeading("a job with two steps, where the leader of the fleet stops between the steps")
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
	err = waitUntil(ctx, "job of steps accepted", func(ctx context.Context) (bool, error) {
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
		fmt.Fprintf(t.out, "leader %s stopped\n", leader)
	}
	return waitUntil(ctx, "job of steps completed", func(ctx context.Context) (bool, error) {
		status, err := api.StepsStatus(ctx, daemon.DevQueue, "tour")
		completed := err == nil && status.Phase == structs.JobCompleted
		if completed {
			fmt.Fprintf(t.out, "job %s: %s\n", status.ID, status.Phase)
		}
		return completed, err
	})
}

// configure applies the sample configurations and waits until all targets are
// registered.
func (t *tour) configure(ctx context.Context) error {
	t.printHeading("team configurations generated from the answers in examples/")
	for _, document := range [][]byte{examples.Jabuka, examples.Graz} {
		team, err := config.DecodeTeam(document)
		if err != nil {
			return err
		}
		err = waitUntil(ctx, "configuration", func(ctx context.Context) (bool, error) {
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
	t.printHeading("targets register with their agents, without a configured list")
	return waitUntil(ctx, "targets", func(ctx context.Context) (bool, error) {
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

// sendRequests sends requests of both teams. One of them is sent twice with the
// same idempotency key.
func (t *tour) sendRequests(ctx context.Context) error {
	t.printHeading("a slot check, and an at-most-once alert sent twice with the same idempotency key")
	for _, r := range []struct{ team, kind, key, body string }{
		{"jabuka", "slot-check", "", `{"delivery":"HR-2041"}`},
		{"graz", "alert", "alert-beagle-7", `{"pet":"beagle Luna"}`},
		{"graz", "alert", "alert-beagle-7", `{"pet":"beagle Luna"}`},
	} {
		err := waitUntil(ctx, r.kind, func(ctx context.Context) (bool, error) {
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

// runJobs runs a pricing job and a matching job to completion.
func (t *tour) runJobs(ctx context.Context) error {
	t.printHeading("a pricing run and the nightly matching run")
	for _, j := range []struct{ team, class string }{{"jabuka", "pricing"}, {"graz", "matching"}} {
		input, err := standin.Sample(j.class)
		if err != nil {
			return err
		}
		var accepted client.JobAccepted
		err = waitUntil(ctx, "submission", func(ctx context.Context) (bool, error) {
			var err error
			accepted, err = t.api.SubmitJob(ctx, structs.TeamID(j.team), "tour-"+j.class, client.JobRequest{Class: j.class, Input: input})
			return err == nil, err
		})
		if err != nil {
			return err
		}
		if err := t.waitForResult(ctx, accepted.ID); err != nil {
			return err
		}
	}
	return nil
}

func (t *tour) waitForResult(ctx context.Context, id structs.JobID) error {
	return waitUntil(ctx, "job "+string(id), func(ctx context.Context) (bool, error) {
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

// cycleDomain takes a failure domain out of service, runs a job in the meantime
// and brings the domain back.
func (t *tour) cycleDomain(ctx context.Context) error {
	domain := devDomains[0]
	t.printHeading("failure domain %s is taken out of service and brought back", domain)
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
	if err := t.waitForResult(ctx, accepted.ID); err != nil {
		return err
	}
	return t.api.SetDomain(ctx, domain, structs.DomainIn, "tour")
}

// tourJobParts is the number of finished parts of jobs that the tour leaves
// behind. A job has one part for each cell that it was assigned to.
const tourJobParts = 3

// countFinishedOnTime returns the number of parts of jobs that finished on
// time.
func countFinishedOnTime(report *burn.Report) int64 {
	total := int64(0)
	for _, b := range report.Batch {
		total += b.Status.Good
	}
	return total
}

// printBurnReport waits until the tour's jobs are counted and prints the
// service-level burn report.
func (t *tour) printBurnReport(ctx context.Context) error {
	t.printHeading("service-level burn report (the leaders write their counts every few seconds)")
	err := waitUntil(ctx, "counts", func(ctx context.Context) (bool, error) {
		document, err := t.api.Raw(ctx, url.Values{"format": {"json"}}, "v1", "burn")
		if err != nil {
			return false, err
		}
		var report burn.Report
		if err := json.Unmarshal(document, &report); err != nil {
			return false, fmt.Errorf("decode report: %w", err)
		}
		return countFinishedOnTime(&report) >= tourJobParts, nil
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
