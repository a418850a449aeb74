package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/daisywall/daisywall/platform"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/standin/ports"
	"github.com/daisywall/daisywall/standin/site"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// siteHosts is the number of hosts with a runner in a test site.
const siteHosts = 3

// testSite simulates the users' platform on loopback and runs the daemons in
// this process.
type testSite struct {
	t            *testing.T
	store        *standin.PartStore
	client       *standin.PartStoreClient
	frontAddress string
	readyAddress string
	cancels      map[string]context.CancelFunc
	ended        map[string]chan struct{} // by host, closed when its last process has ended
	settings     map[string]platform.Settings
	group        *errgroup.Group
	issuer       *standin.PermitIssuer
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func serveHTTP(t *testing.T, address string, h http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func newTestSite(t *testing.T) *testSite {
	store := standin.NewPartStore()
	s := &testSite{
		t: t, store: store, client: store.Client(), frontAddress: freeAddress(t), readyAddress: freeAddress(t),
		cancels: map[string]context.CancelFunc{}, ended: map[string]chan struct{}{}, settings: map[string]platform.Settings{}, group: &errgroup.Group{},
	}
	// On the route that requires permits, the issuer permits steps to run on
	// one host only.
	s.issuer = standin.NewPermitIssuer(structs.PermitPolicy{Validity: 3 * time.Second}, func(_ structs.StepID, runner string) bool { return runner == "i-side-1" })
	permits := freeAddress(t)
	serveHTTP(t, permits, site.Permits(s.issuer))
	storeAddress := freeAddress(t)
	serveHTTP(t, storeAddress, site.Store(s.client))
	_, err := store.Commit(substrate.PartTxn{Puts: []substrate.PartRow{{Table: "op", Key: "config", Value: []byte(
		`{"version":3,"routes":[{"name":"q","host":"h","path_prefix":"/jobs/","service":"pool","max_attempts":3,"stretch":2},` +
			`{"name":"p","host":"h","path_prefix":"/permitted/","service":"pool","max_attempts":3,"stretch":2,"advice":{"decide_ms":5,"each_ms":1,"valid_ms":3000}}]}`)}}})
	if err != nil {
		t.Fatal(err)
	}
	newSettings := func(name, class string) platform.Settings {
		port, err := ports.Reserve(2)
		if err != nil {
			t.Fatal(err)
		}
		return platform.Settings{
			Host: name, HostClass: class, IP: "127.0.0.1", FailureDomain: "north", StoreAddress: storeAddress, PermitAddress: permits, RowBytes: 65536,
			MaxLease: 10 * time.Second, Grace: 6 * time.Second, PeerPorts: platform.PortRange{First: port, Last: port + 1},
		}
	}
	for i := range siteHosts {
		b := newSettings(fmt.Sprintf("side-%d", i), "side")
		b.ReportAddress = freeAddress(t)
		s.settings[b.Host] = b
		s.addRunner(b)
		s.start(b)
	}
	entry := newSettings("edge-0", "edge")
	entry.CallerAddress, entry.ReadyAddress = s.frontAddress, s.readyAddress
	s.settings[entry.Host] = entry
	s.start(entry)
	t.Cleanup(s.stop)
	return s
}

// addRunner starts the runner of a host, which sends reports to its agent.
func (s *testSite) addRunner(b platform.Settings) {
	address := freeAddress(s.t)
	runner := standin.NewTaskRunner(standin.TaskRunnerOptions{
		Info: substrate.RunnerInfo{
			ID: "i-" + b.Host, Pool: "pool", FailureDomain: "north", Address: address, Labels: []string{"a", "r1"},
			Capacity: structs.Resources{MilliCPU: 4000, MemoryMB: 8000},
		},
		MaxLease: 10 * time.Second, RunTime: func(structs.RunID) time.Duration { return 100 * time.Millisecond },
	})
	serveHTTP(s.t, address, site.Runner(runner))
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			// A stopped agent receives the next report after its restart.
			_ = site.Report(ctx, http.DefaultClient, b.ReportAddress, runner)
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

func (s *testSite) start(b platform.Settings) {
	if ended := s.ended[b.Host]; ended != nil {
		<-ended // its ports are free again
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	s.cancels[b.Host], s.ended[b.Host] = cancel, ended
	run := RunPlatformAgent
	if b.HostClass == "edge" {
		run = RunPlatformEntry
	}
	s.group.Go(func() error {
		defer close(ended)
		return run(ctx, b)
	})
}

func (s *testSite) stop() {
	for _, cancel := range s.cancels {
		cancel()
	}
	if err := s.group.Wait(); err != nil {
		s.t.Errorf("daemons: %v", err)
	}
}

func (s *testSite) call(method, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.frontAddress+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// waitForResponse repeats a call until the response has the status and contains
// the text.
func (s *testSite) waitForResponse(want int, contains, method, path, body string) {
	s.t.Helper()
	var status int
	var got string
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(20 * time.Millisecond) {
		if status, got = s.call(method, path, body); status == want && strings.Contains(got, contains) {
			return
		}
	}
	s.t.Fatalf("%s %s: want %d %q, last %d %q", method, path, want, contains, status, got)
}

const twoStepJob = `{"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":100},{"count":2,"cpu":500,"mem_mb":100,"after":[0]}]}`

func TestPlatformDaemonsCompleteJobsAcrossLeaderRestart(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t)
	s.waitForResponse(200, "", "POST", "/jobs/5c0e7a21d94b36f8", twoStepJob)
	s.waitForResponse(200, "completed", "GET", "/jobs/5c0e7a21d94b36f8", "")
	status, _ := s.call("GET", "/jobs/0000000000000000", "")
	is.Equal(status, 410)
	status, _ = s.call("GET", "/none/", "")
	is.Equal(status, 404)
	s.waitForResponse(200, `{"waiting":0}`, "GET", "/jobs/", "")

	s.waitForResponse(200, "", "POST", "/permitted/5c0e7a21d94b36fb", twoStepJob)
	s.waitForResponse(200, "completed", "GET", "/permitted/5c0e7a21d94b36fb", "")
	is.True(s.issuer.RunnersRequested() > 0)

	leader := s.leader()
	s.cancels[leader]()
	s.waitForResponse(200, "", "POST", "/jobs/5c0e7a21d94b36f9", twoStepJob)
	s.waitForResponse(200, "completed", "GET", "/jobs/5c0e7a21d94b36f9", "")
	is.True(s.leader() != leader)
	s.start(s.settings[leader])

	s.client.SetMode(standin.StoreRefuses)
	s.waitForResponse(503, "", "POST", "/jobs/5c0e7a21d94b36fa", twoStepJob)
	s.client.SetMode(standin.StoreServes)
	s.waitForResponse(200, "", "POST", "/jobs/5c0e7a21d94b36fa", twoStepJob)
	s.waitForResponse(200, "completed", "GET", "/jobs/5c0e7a21d94b36fa", "")
}

// leader returns the host that is named in the leadership row.
func (s *testSite) leader() string {
	rows, _ := s.store.List("daisywall-leader", "fleet-0")
	var value struct {
		Address string `json:"address"`
	}
	if len(rows) == 0 || json.Unmarshal(rows[0].Value, &value) != nil {
		s.t.Fatal("no leader")
	}
	for name, b := range s.settings {
		if value.Address == fmt.Sprintf("%s:%d", b.IP, b.PeerPorts.First) {
			return name
		}
	}
	return ""
}
