package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/standin/site"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// foreignWriter sends odd reports in the name of the runners.
type foreignWriter struct {
	system *testSystem
	rng    *rand.Rand
	sent   int
}

// Guards against agents that end, or workers that lose their runs, because of odd reports
// in the name of the runners, without any other fault.
func TestForeignReportsEndNoRun(t *testing.T) {
	t.Parallel()
	const jobs, tasks, runTime = 6, 4, 14 * time.Second
	s, err := newSystem(t.TempDir(), 4*time.Second)
	defer s.close()
	if err != nil {
		t.Fatal(err)
	}
	c := newCallers(s)
	if !c.waitForFirstAccepted(firstJobLimit) {
		t.Fatal("no job was accepted at the start")
	}
	for i := range jobs {
		j := &submittedJob{id: structs.JobID(fmt.Sprintf("%016x", 0xb0+i)), tasksPerStep: []int{tasks}, runTime: runTime}
		s.checker.addJob(j)
		c.jobs = append(c.jobs, j)
		if status, _ := c.call(t.Context(), i, http.MethodPost, j.id, j.body()); status != http.StatusOK {
			t.Fatalf("%s was answered with %d", j.id, status)
		}
		j.accepted = true
	}
	ctx, cancel := context.WithTimeout(t.Context(), runTime)
	defer cancel()
	writer := &foreignWriter{system: s, rng: rand.New(rand.NewPCG(1, 3))}
	writer.run(ctx)
	c.waitForCompletion(t)
	for _, j := range c.jobs[1:] {
		if n := s.checker.StartsOfJob(j.id); n != tasks {
			t.Errorf("%s started %d times, want %d", j.id, n, tasks)
		}
	}
	reportViolations(t, s, c, &faultInjector{})
	t.Logf("%d foreign reports", writer.sent)
}

// Guards against tasks that run twice, because an agent that restarts takes a runner of a pool that
// is not configured for its own.
func TestSecondRunnerBesideAgentKillsEndsNoRun(t *testing.T) {
	t.Parallel()
	const tasks, runTime, kills = 4 * workerCount, 16 * time.Second, 3
	s, err := newSystem(t.TempDir(), 4*time.Second)
	defer s.close()
	if err != nil {
		t.Fatal(err)
	}
	c := newCallers(s)
	if !c.waitForFirstAccepted(firstJobLimit) {
		t.Fatal("no job was accepted at the start")
	}
	j := &submittedJob{id: structs.JobID(fmt.Sprintf("%016x", 0xc0)), tasksPerStep: []int{tasks}, runTime: runTime}
	s.checker.addJob(j)
	c.jobs = append(c.jobs, j)
	if status, _ := c.call(t.Context(), 0, http.MethodPost, j.id, j.body()); status != http.StatusOK {
		t.Fatalf("%s was answered with %d", j.id, status)
	}
	j.accepted = true
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	h := s.hosts[1]
	if err := s.addSecondRunner(ctx, h, "other"); err != nil {
		t.Fatal(err)
	}
	for range kills {
		h.process.stop(syscall.SIGKILL)
		if err := h.process.start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
	}
	c.waitForCompletion(t)
	if n := s.checker.StartsOfJob(j.id); n != tasks {
		t.Errorf("%s started %d times, want %d", j.id, n, tasks)
	}
	reportViolations(t, s, c, &faultInjector{})
}

// addSecondRunner adds a runner of the pool that reports to the agent of the host, more often than the
// host's own.
func (s *testSystem) addSecondRunner(ctx context.Context, h *host, pool structs.PoolID) error {
	handler := &deferredHandler{}
	address, err := s.serve(handler)
	if err != nil {
		return err
	}
	runner := standin.NewTaskRunner(standin.TaskRunnerOptions{
		Info: substrate.RunnerInfo{
			ID: "i-second", Pool: pool, FailureDomain: structs.FailureDomainID(h.domain), Address: address,
			Capacity: structs.Resources{MilliCPU: runnerCPU, MemoryMB: 8000},
		},
		MaxLease: s.maxLease, RunTime: s.checker.runTime, Observer: s.checker,
	})
	handler.set(site.Runner(runner))
	go func() {
		for ctx.Err() == nil {
			// An agent that cannot be reached receives the next report.
			_ = site.Report(ctx, s.reportClient, h.reportLink.address(), runner)
			time.Sleep(reportInterval / 4)
		}
	}()
	return nil
}

// run sends reports until ctx ends.
func (w *foreignWriter) run(ctx context.Context) {
	for ctx.Err() == nil {
		h := w.system.hosts[w.rng.IntN(workerCount)]
		info := h.runner.Info()
		// An agent that cannot be reached receives the next report.
		if site.SendReport(ctx, w.system.reportClient, h.reportLink.address(), info.ID, w.body(site.ReportFields(info))) == nil {
			w.sent++
		}
		time.Sleep(time.Duration(50+w.rng.IntN(250)) * time.Millisecond)
	}
}

// body returns a report that differs in one to three fields from that of a runner.
func (w *foreignWriter) body(fields map[string]any) []byte {
	seq, born := fields["seq_no"].(int64), fields["born"].(int64)
	fields["seq_no"] = seq + 1
	odd := []struct {
		field string
		value any
	}{
		{"address", "127.0.0.1:99999"}, {"address", "127.0.0.1:1"}, {"address", "%zz ::/"}, {"address", 7},
		{"seq_no", int64(1)<<62 - 1}, {"seq_no", seq + 1_000_000}, {"seq_no", "x"},
		{"born", born + 1_800_000}, {"born", int64(1)<<62 - 1}, {"born", born - 1}, {"born", 0},
		{"capacity", map[string]any{"cpu": int64(1)<<62 - 1}}, {"capacity", nil}, {"remaining_ms", 1e300}, {"remaining_ms", -1e300},
		{"zone", strings.Repeat("z", 1<<20)}, {"labels", make([]string, 5000)}, {"service", "other"}, {"state", "asleep"},
		{"extra", json.RawMessage(strings.Repeat("[", 9000) + strings.Repeat("]", 9000))},
	}
	for range 1 + w.rng.IntN(3) {
		chosen := odd[w.rng.IntN(len(odd))]
		fields[chosen.field] = chosen.value
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	if w.rng.IntN(8) == 0 {
		return append([]byte(strings.Repeat(`{"a":[`, 400_000)), body...)
	}
	return body
}
