package site_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/standin/site"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Guards against a stand-in that shows or refuses more than the platform's runners do, which would hide
// faults of agents that have called an incarnation that has ended: the answers to starts and stops do
// not state the incarnation, calls for an earlier one with the same ID are carried out, and calls to
// another ID have no effect.
func TestRunnerCarriesOutCallsToItsIDWithoutNamingItsIncarnation(t *testing.T) {
	is := is.New(t)
	runner := standin.NewTaskRunner(standin.TaskRunnerOptions{
		Info: substrate.RunnerInfo{ID: "i-1"}, MaxLease: time.Minute, RunTime: func(structs.RunID) time.Duration { return time.Hour },
	})
	server := httptest.NewServer(site.Runner(runner))
	defer server.Close()
	call := func(id, path, fields string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader(fields))
		is.NoErr(err)
		req.Header.Set("X-Expect-Instance", id)
		resp, err := server.Client().Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp.StatusCode, string(body)
	}
	const start = `{"task":"a.0.0.1","run_id":1,"expires_ms":30000,"fence_token":2}`
	runs := func() int { return len(runner.Paces()) }

	first := runner.Info().Incarnation
	time.Sleep(2 * time.Millisecond) // incarnations are told apart by milliseconds
	runner.Restart()
	is.True(runner.Info().Incarnation != first)
	status, body := call("i-1", "/v1/run-start", start)
	is.Equal(status, http.StatusOK)
	is.Equal(runs(), 1) // the next incarnation has carried out the start
	is.True(!strings.Contains(body, "born"))
	status, body = call("i-1", "/v1/hold", `{"fence_token":2}`)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, `"born":`))
	status, body = call("i-1", "/v1/run-start", `{"task":"a.0.0.2","run_id":1,"expires_ms":30000,"fence_token":1}`)
	is.Equal(status, http.StatusConflict)
	is.True(!strings.Contains(body, "born"))
	status, body = call("i-1", "/v1/run-stop", `{"task":"a.0.0.1","run_id":1,"fence_token":2}`)
	is.Equal(status, http.StatusOK)
	is.Equal(runs(), 0)
	is.True(!strings.Contains(body, "born"))

	runner.RestartAs("i-2")
	for _, path := range []string{"/v1/run-start", "/v1/hold", "/v1/run-stop"} {
		status, body = call("i-1", path, start)
		is.Equal(status, http.StatusMisdirectedRequest)
		is.True(!strings.Contains(body, "born"))
	}
	is.Equal(runs(), 0)
}
