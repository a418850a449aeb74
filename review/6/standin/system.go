package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/standin/ports"
	"github.com/daisywall/daisywall/standin/site"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// The deployment: the figures of a small one.
const (
	entryCount   = 2
	zoneCount    = 2
	rackSize     = 3
	heartbeat    = 1100 * time.Millisecond
	longestHold  = 10 * time.Second
	runnerCPU    = 16000
	runnerMemory = 64000
	service      = "ugovor-svc"
	restartDelay = 200 * time.Millisecond
)

// shape is what differs between the cases.
type shape struct {
	workers  int
	taskTime time.Duration
	advice   *policy // nil for a queue without advice
	// checkpoint is the checkpoint of a run, nil for none.
	checkpoint func(structs.RunID) string
	lasts      bool // all tasks last until they are stopped
	lost       int  // machines that are lost
}

// host is one machine: a program, and a runner beside an agent.
type host struct {
	name, zone, rack, program, settingsPath string
	front, control                          string
	output                                  *os.File
	runner                                  *standin.TaskRunner // nil for an entry
	reported                                chan struct{}       // signalled after each report of the runner, if somebody waits

	mu  sync.Mutex
	cmd *exec.Cmd
}

// system is a deployment on loopback.
type system struct {
	shape    shape
	programs string
	log      *recorder
	store    *standin.PartStore
	workers  []*host
	entries  []*host
	servers  []*http.Server
	// adviceAddress is empty without a queue with advice.
	adviceAddress string
	lastWriter    atomic.Pointer[host]
	client        *http.Client
	watcher       *watcher
	cancel        context.CancelFunc
}

func newSystem(ctx context.Context, dir, programs string, log *recorder, shape shape) (*system, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &system{
		shape: shape, programs: programs, log: log, store: standin.NewPartStore(), client: &http.Client{Timeout: 3 * time.Second},
		watcher: newWatcher(log), cancel: cancel,
	}
	if err := s.configure(); err != nil {
		return s, err
	}
	if shape.advice != nil {
		var err error
		if s.adviceAddress, err = s.serve(newAdvice(*shape.advice, log)); err != nil {
			return s, err
		}
	}
	for i := range shape.workers + entryCount {
		if err := s.addHost(ctx, dir, i); err != nil {
			return s, err
		}
	}
	for _, h := range s.hosts() {
		if err := s.start(h); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *system) hosts() []*host { return append(append([]*host(nil), s.workers...), s.entries...) }

// configure writes the operator's configuration.
func (s *system) configure() error {
	route := map[string]any{
		"name": "q", "host": "h.example", "path_prefix": "/jobs/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 2,
		"service": service, "max_attempts": 3, "stretch": 2.0,
	}
	if p := s.shape.advice; p != nil {
		route["advice"] = p
	}
	config, err := json.Marshal(map[string]any{
		"version": 1, "routes": []any{route}, "services": []any{map[string]any{"name": service, "admission_check": false}}, "limits": map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return err
	}
	s.log.printf("configuration: %s", config)
	_, err = s.store.Commit(substrate.PartTxn{Puts: []substrate.PartRow{{Table: "op", Key: "config", Value: config}}})
	return err
}

func (s *system) addHost(ctx context.Context, dir string, i int) error {
	isWorker := i < s.shape.workers
	h := &host{name: fmt.Sprintf("side-%d", i), zone: fmt.Sprintf("zone-%d", i%zoneCount), rack: fmt.Sprintf("r1-%d", i/rackSize), program: "daisywall-agent", reported: make(chan struct{})}
	class, serves := "side", "side"
	if !isWorker {
		h.name, h.program, class, serves = fmt.Sprintf("edge-%d", i-s.shape.workers), "daisywall-entry", "edge", "edge"
	}
	port, err := ports.Reserve(5)
	if err != nil {
		return err
	}
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	h.front, h.control = address(2), address(4)
	storeAddress, err := s.serve(s.recordWriter(h, site.Store(s.store.Client())))
	if err != nil {
		return err
	}
	if isWorker {
		if h.runner, err = s.addRunner(ctx, h, "i-"+h.name, service); err != nil {
			return err
		}
		s.workers = append(s.workers, h)
	} else {
		s.entries = append(s.entries, h)
	}
	return s.addProgram(dir, h, class, serves, port, storeAddress)
}

// addProgram writes the settings of the program of a host.
func (s *system) addProgram(dir string, h *host, class, serves string, port int, storeAddress string) error {
	settings := map[string]any{
		"node": h.name, "machine_class": class, "serves": []string{serves}, "ip": "127.0.0.1", "zone": h.zone, "region": "region",
		"listen":         map[string]string{"front": h.front, "ready": fmt.Sprintf("127.0.0.1:%d", port+3), "control": h.control},
		"internal_ports": []int{port, port + 1}, "heartbeat_ms": heartbeat.Milliseconds(), "discovery": "local", "orders": "call",
		"bounds":   map[string]any{"hold_max_ms": longestHold.Milliseconds(), "grace_s": 6.0, "rollback_slack_ms": 250, "harm_ms": 4000, "pace_ms": 100},
		"platform": map[string]any{"address": storeAddress, "form": "table", "row_bytes": 65536},
	}
	if h.runner != nil {
		settings["app"], settings["service"] = h.runner.Info().Address, service
	}
	if s.adviceAddress != "" {
		settings["advice"] = s.adviceAddress
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	h.settingsPath = filepath.Join(dir, h.name+".json")
	if err := os.WriteFile(h.settingsPath, data, 0o600); err != nil {
		return err
	}
	h.output, err = os.Create(filepath.Join(dir, h.name+".log"))
	return err
}

// addRunner starts a runner on the machine of an agent. It reports to the agent every heartbeat.
func (s *system) addRunner(ctx context.Context, h *host, id, pool string) (*standin.TaskRunner, error) {
	info := substrate.RunnerInfo{
		ID: id, Pool: structs.PoolID(pool), FailureDomain: structs.FailureDomainID(h.zone), Labels: []string{"a", h.rack},
		Capacity: structs.Resources{MilliCPU: runnerCPU, MemoryMB: runnerMemory},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	info.Address = listener.Addr().String()
	runner := standin.NewTaskRunner(standin.TaskRunnerOptions{
		Info: info, MaxLease: longestHold, Observer: s.watcher, RunTime: func(structs.RunID) time.Duration { return s.shape.taskTime },
		Checkpoint: s.shape.checkpoint, LongRunning: func(structs.RunID) bool { return s.shape.lasts },
	})
	s.serveOn(listener, s.recordCalls(id, site.Runner(runner)))
	go s.report(ctx, h, runner, pool)
	return runner, nil
}

// report sends the reports of a runner until ctx ends.
func (s *system) report(ctx context.Context, h *host, runner *standin.TaskRunner, pool string) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for ctx.Err() == nil {
		if !runner.IsCrashed() {
			result := "acknowledged"
			if err := site.Report(ctx, s.client, h.control, runner); err != nil {
				result = err.Error()
			}
			s.log.printf("report of %s, service %s, to %s: %s", runner.Info().ID, pool, h.name, result)
		}
		if pool == service {
			select {
			case h.reported <- struct{}{}:
			default:
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// recordWriter remembers which machine has last written to the store under a condition.
func (s *system) recordWriter(h *host, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/rows-tx" {
			s.lastWriter.Store(h)
		}
		next.ServeHTTP(w, r)
	})
}

// recordCalls records the starts that a runner is told.
func (s *system) recordCalls(id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/run-start") || strings.HasSuffix(r.URL.Path, "/run-stop") {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			s.log.printf("call to %s: %s %s", id, r.URL.Path, body)
			r.Body = io.NopCloser(strings.NewReader(string(body)))
		}
		next.ServeHTTP(w, r)
	})
}

func (s *system) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.serveOn(listener, h)
	return listener.Addr().String(), nil
}

func (s *system) serveOn(listener net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// start starts the program of a host.
func (s *system) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(filepath.Join(s.programs, h.program))
	cmd.Env = []string{"DAISYWALL_CONFIG=" + h.settingsPath}
	cmd.Stdout, cmd.Stderr = h.output, h.output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	s.log.printf("%s starts %s, process %d", h.name, h.program, cmd.Process.Pid)
	h.cmd = cmd
	return nil
}

// kill ends the program of a host with SIGKILL.
func (s *system) kill(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	s.log.printf("kill %s, process %d", h.name, h.cmd.Process.Pid)
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
	h.cmd = nil
}

// close ends all processes and servers.
func (s *system) close() {
	for _, h := range s.hosts() {
		s.kill(h)
		if h.output != nil {
			h.output.Close()
		}
	}
	s.cancel()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// call sends one request of a caller and returns the status, 0 without an answer, and the body.
func (s *system) call(ctx context.Context, entry int, method, id, body string) (int, string) {
	url := "http://" + s.entries[entry%entryCount].front + "/jobs/" + id
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		s.log.printf("%s %s: no answer: %v", method, id, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.log.printf("%s %s: answer cut off: %v", method, id, err)
		return 0, err.Error()
	}
	s.log.printf("%s %s %s -> %d %s", method, id, body, resp.StatusCode, data)
	return resp.StatusCode, string(data)
}

// submit hands a job in until it is accepted.
func (s *system) submit(ctx context.Context, id, body string) error {
	for i := range 30 {
		if status, _ := s.call(ctx, i, http.MethodPost, id, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}
