package site

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

type runnerRequest struct {
	Task       string `json:"task"`
	Run        int32  `json:"run_id"`
	Payload    string `json:"spec"`
	ExpiresMS  int64  `json:"expires_ms"`
	Fence      int64  `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	Permit     string `json:"ticket"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

type runnerResponse struct {
	ClockMS int64   `json:"clock_ms"`
	Born    int64   `json:"born,omitempty"` // set in lists of runs only
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

// holdPath is the path of the call that lists the runs.
const holdPath = "/v1/hold"

func taskName(t structs.StepTaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index)
}

func (c runnerRequest) taskRun() (structs.RunID, error) {
	parts := strings.Split(c.Task, ".")
	if len(parts) != 4 {
		return structs.RunID{}, &structs.InvalidError{Subject: "task", Faults: []structs.Fault{{Path: "/task", Value: c.Task, Rule: "must have four parts"}}}
	}
	var numbers [3]int64
	for i, part := range parts[1:] {
		n, err := strconv.ParseInt(part, 10, 32)
		if err != nil {
			return structs.RunID{}, fmt.Errorf("parse task %s: %w", c.Task, err)
		}
		numbers[i] = n
	}
	task := structs.StepTaskID{Job: structs.JobID(parts[0]), Round: int32(numbers[0]), Step: int32(numbers[1]), Index: int32(numbers[2])}
	return structs.RunID{Task: task, Number: c.Run}, nil
}

// Runner serves a task runner. As on the platform, a call names only an ID: the current incarnation
// carries it out, whichever one it was meant for, unless that had another ID. Of the answers only lists
// of runs state the start of the incarnation, so that the answer to a start or a stop does not show which
// incarnation has given it.
func Runner(r *standin.TaskRunner) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, call func(ctx context.Context, client *standin.TaskRunnerClient, c runnerRequest, a *runnerResponse) error) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
			var c runnerRequest
			if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			info := r.Info()
			if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != info.ID {
				writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
				return
			}
			a := runnerResponse{ClockMS: time.Since(info.StartedAt).Milliseconds()}
			err := call(req.Context(), r.Client(info.Incarnation), c, &a)
			if path == holdPath && err == nil {
				a.Born = info.StartedAt.UnixMilli()
			}
			writeRunnerResult(w, a, err)
		})
	}
	handle("/v1/run-start", func(ctx context.Context, client *standin.TaskRunnerClient, c runnerRequest, _ *runnerResponse) error {
		run, err := c.taskRun()
		if err != nil {
			return err
		}
		start := substrate.TaskStart{Run: run, Payload: c.Payload, Checkpoint: c.Checkpoint, Permit: c.Permit}
		_, err = client.Start(ctx, c.Fence, start, toRuntimeClock(c.ExpiresMS))
		return err
	})
	handle("/v1/run-stop", func(ctx context.Context, client *standin.TaskRunnerClient, c runnerRequest, _ *runnerResponse) error {
		run, err := c.taskRun()
		if err != nil {
			return err
		}
		return client.Stop(ctx, c.Fence, run)
	})
	handle("/v1/pace", func(ctx context.Context, client *standin.TaskRunnerClient, c runnerRequest, _ *runnerResponse) error {
		run, err := c.taskRun()
		if err != nil {
			return err
		}
		return client.SetPace(ctx, c.Fence, run, c.Percent)
	})
	handle(holdPath, func(ctx context.Context, client *standin.TaskRunnerClient, c runnerRequest, a *runnerResponse) error {
		state, err := client.PollRuns(ctx, c.Fence, c.LastSeen, toRuntimeClock(c.ExpiresMS), time.Duration(c.WaitMS)*time.Millisecond)
		if err != nil {
			return err
		}
		a.ClockMS = time.Duration(state.Clock).Milliseconds()
		for _, active := range state.Active {
			a.Running = append(a.Running, []any{taskName(active.Run.Task), active.Run.Number, active.Checkpoint, active.Percent, active.Reading})
		}
		for _, ended := range state.Ended {
			a.Ended = append(a.Ended, []any{ended.Number, taskName(ended.Run.Task), ended.Run.Number, string(ended.End), ended.Checkpoint})
		}
		return nil
	})
	return mux
}

func toRuntimeClock(ms int64) substrate.RuntimeClock {
	return substrate.RuntimeClock(time.Duration(ms) * time.Millisecond)
}

// refusalReasons are the names of refusals in the platform's protocol.
var refusalReasons = map[substrate.StartRefusal]string{
	substrate.RefusalFenced: "fence", substrate.RefusalStaleRun: "old", substrate.RefusalLeaseLapsed: "late", substrate.RefusalCapacity: "room",
	substrate.RefusalPermit: "ticket",
}

func writeRunnerResult(w http.ResponseWriter, a runnerResponse, err error) {
	var refused *substrate.StartRefusedError
	var mismatch *substrate.IncarnationError
	var invalid *structs.InvalidError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, a)
	case errors.As(err, &refused):
		a.Reason = refusalReasons[refused.Refusal]
		writeJSON(w, http.StatusConflict, a)
	case errors.As(err, &mismatch):
		writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
	case errors.As(err, &invalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		panic(http.ErrAbortHandler)
	}
}

// ReportFields returns the report of a runner that describes itself by info.
func ReportFields(info substrate.RunnerInfo) map[string]any {
	state := "ready"
	if info.Draining {
		state = "draining"
	}
	return map[string]any{
		"service": info.Pool, "address": info.Address, "zone": info.FailureDomain, "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]int64{"cpu": info.Capacity.MilliCPU, "mem_mb": info.Capacity.MemoryMB, "gpu": info.Capacity.Accelerators},
		"labels":   info.Labels, "seq_no": info.Sequence, "born": info.StartedAt.UnixMilli(),
	}
}

// Report sends the report of the runner to the address once.
func Report(ctx context.Context, client *http.Client, address string, r *standin.TaskRunner) error {
	info := r.Report()
	body, err := json.Marshal(ReportFields(info))
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	return SendReport(ctx, client, address, info.ID, body)
}

// SendReport sends the body as the report of the runner with the ID.
func SendReport(ctx context.Context, client *http.Client, address, id string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build report: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("send report: %w", err)
	}
	return resp.Body.Close()
}
