package standin_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

func newTarget(agent string) *standin.Target {
	return standin.NewTarget(standin.TargetOptions{
		Target: structs.Target{
			ID: "alerts-1", Team: "graz", Kinds: []string{standin.KindAlert, standin.KindSlotCheck}, Slots: 8, Connections: 60,
		},
		AgentAddress: agent,
	})
}

// sendRequest sends one request and returns the response, or the error of
// reading it to the end.
func sendRequest(url, kind, id, body string) (standin.TargetAnswer, error) {
	var answer standin.TargetAnswer
	request, err := http.NewRequest(http.MethodPost, url+"/v1/"+kind, strings.NewReader(body))
	if err != nil {
		return answer, err
	}
	request.Header.Set(standin.RequestIDHeader, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(data, &answer)
}

func TestTargetCountsExecutionsOfCutAndFailedRequests(t *testing.T) {
	is := is.New(t)
	target := newTarget("")
	server := httptest.NewServer(target)
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()

	answer, err := sendRequest(server.URL, standin.KindSlotCheck, "r1", `{"delivery": "UG-1041"}`)
	is.NoErr(err)
	is.Equal(answer, standin.TargetAnswer{RequestID: "r1", Kind: standin.KindSlotCheck, Target: "alerts-1", Subject: "UG-1041", Free: true})
	_, err = sendRequest(server.URL, standin.KindAlert, "r2", `{"pet": "beagle"}`)
	is.NoErr(err)
	is.Equal(len(target.Record().ExecutedRepeatedly()), 0)

	target.Faults.Cut(1)
	_, err = sendRequest(server.URL, standin.KindAlert, "r2", `{"pet": "beagle"}`)
	is.True(err != nil)
	is.Equal(target.Record().ExecutedRepeatedly(), []structs.RequestID{"r2"})

	target.Faults.Fail(1)
	_, err = sendRequest(server.URL, standin.KindAlert, "r3", `{"pet": "cat"}`)
	is.True(err != nil)
	is.Equal(target.Record().Executions["r3"], 0)
}

func TestTargetAnnouncesItselfAndWithdraws(t *testing.T) {
	is := is.New(t)
	puts := make(chan structs.Target, 16)
	deletes := make(chan string, 1)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			deletes <- r.URL.Path
			return
		}
		var announced structs.Target
		if json.NewDecoder(r.Body).Decode(&announced) == nil {
			puts <- announced
		}
	}))
	defer agent.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- newTarget(strings.TrimPrefix(agent.URL, "http://")).Run(ctx, listener) }()

	announced := <-puts
	is.Equal(announced.ID, structs.TargetID("alerts-1"))
	is.Equal(announced.URL, "http://"+listener.Addr().String())
	_, err = sendRequest(announced.URL, standin.KindAlert, "r1", `{"pet": "cat"}`)
	is.NoErr(err)
	http.DefaultClient.CloseIdleConnections()
	cancel()
	is.Equal(<-deletes, "/v1/targets/alerts-1")
	is.NoErr(<-done)
}

func TestControlSetsFaultsAndRejectsUnknownSwitches(t *testing.T) {
	is := is.New(t)
	p := standin.NewPlatform()
	defer p.Close()
	p.AddWorker("w1", taskSize)
	target := newTarget("")
	handler := standin.NewControlHandler(p, map[structs.TargetID]*standin.Target{"alerts-1": target})
	call := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	is.Equal(call("POST", "/faults/table", `{"refuse": 1}`).Code, http.StatusNoContent)
	_, err := p.Table.List(t.Context(), "", "", 1)
	is.True(err != nil)
	_, err = p.Table.List(t.Context(), "", "", 1)
	is.NoErr(err)

	before, err := p.Runtimes["w1"].Snapshot(t.Context())
	is.NoErr(err)
	is.Equal(call("POST", "/restart/w1", "").Code, http.StatusNoContent)
	after, err := p.Runtimes["w1"].Snapshot(t.Context())
	is.NoErr(err)
	is.True(before.Incarnation != after.Incarnation)

	is.Equal(call("POST", "/faults/runtime", `{"worker": "w2", "refuse": 1}`).Code, http.StatusNotFound)
	is.Equal(call("POST", "/faults/table", `{"refuze": 1}`).Code, http.StatusBadRequest)
	is.Equal(call("GET", "/violations", "").Body.String(), "[]")
	var load standin.Loads
	is.NoErr(json.Unmarshal(call("GET", "/load", "").Body.Bytes(), &load))
	is.Equal(load.Table.Reads, int64(1))
	is.Equal(call("GET", "/targets/alerts-1", "").Body.String(), `{"executions":{},"over_slots":0,"over_connections":0}`)
}

func TestPausedCallCompletesAfterResume(t *testing.T) {
	is := is.New(t)
	table := standin.NewTable()
	table.Faults.Pause()
	done := make(chan error)
	go func() {
		_, err := table.List(t.Context(), "", "", 1)
		done <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := table.Get(ctx, "k")
	is.True(err != nil)
	table.Faults.Resume()
	is.NoErr(<-done)
}
