package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "ugovor-svc"
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	cancelAfter = 3 * time.Second // deadline of a client's request
)

// machine is a machine with one program of the project.
type machine struct {
	sys      *system
	name, ip string
	program  string
	zone     string
	settings string // path
	runner   *runner

	mu  sync.Mutex
	cmd *exec.Cmd
}

// system is a small deployment.
type system struct {
	rec     *record
	store   *store
	runs    *tracker
	dir     string // temporary folder
	port    int    // first port, the same on all machines
	network string // first three numbers of the addresses
	agents  []*machine
	entries []*machine
	storeAt string

	mu    sync.Mutex
	plans map[string]taskPlan // by job
}

// shape says what a deployment consists of.
type shape struct {
	agents, entries int
	cpu, mem        int64
	labels          func(i int) []string
}

var zoneNames = []string{"zagorje", "slavonija", "medimurje"}

func newSystem(rec *record, s shape) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("make a temporary folder: %w", err)
	}
	sys := &system{rec: rec, store: newStore(rec), runs: newTracker(rec), dir: dir, plans: map[string]taskPlan{}}
	if err := sys.choosePorts(); err != nil {
		return sys, err
	}
	sys.storeAt = sys.network + ".250:" + fmt.Sprint(sys.port+18)
	listener, err := net.Listen("tcp", sys.storeAt)
	if err != nil {
		return sys, fmt.Errorf("listen for the store: %w", err)
	}
	server := &http.Server{Handler: sys.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	for i := range s.agents {
		if err := sys.addAgent(i, s); err != nil {
			return sys, err
		}
	}
	for i := range s.entries {
		m := &machine{sys: sys, name: machineName("edge", i), ip: fmt.Sprintf("%s.%d", sys.network, 101+i), program: "daisywall-entry", zone: zoneNames[i%3]}
		if err := m.writeSettings("edge"); err != nil {
			return sys, err
		}
		sys.entries = append(sys.entries, m)
	}
	return sys, nil
}

// choosePorts chooses a free network of loopback addresses and ports on it.
func (s *system) choosePorts() error {
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		s.port = 20000 + rand.IntN(10000)
		free := true
		for _, offset := range []int{0, 1, 16, 17, 18, 19, 20} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", s.network, s.port+offset))
			if free = free && err == nil; err == nil {
				listener.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports on a loopback address")
}

func (s *system) addAgent(i int, sh shape) error {
	m := &machine{sys: s, name: machineName("side", i), ip: fmt.Sprintf("%s.%d", s.network, 1+i), program: "daisywall-agent", zone: zoneNames[i%3]}
	if err := m.writeSettings("side"); err != nil {
		return err
	}
	m.runner = &runner{
		sys: s, name: m.name, id: newRunnerID(), address: m.address(17), control: m.address(16), zone: m.zone,
		labels: []string{"a", fmt.Sprintf("r1-%d", i%3+1)}, cpu: sh.cpu, mem: sh.mem,
	}
	if sh.labels != nil {
		m.runner.labels = sh.labels(i)
	}
	s.agents = append(s.agents, m)
	return nil
}

func (m *machine) address(offset int) string { return fmt.Sprintf("%s:%d", m.ip, m.sys.port+offset) }

// writeSettings writes the settings file of the platform.
func (m *machine) writeSettings(class string) error {
	listen := map[string]string{"front": m.address(19), "ready": m.address(20)}
	if class == "side" {
		listen = map[string]string{"control": m.address(16)}
	}
	zones := map[string]string{}
	for _, z := range zoneNames {
		zones[z] = "hr-kontinent"
	}
	data, err := json.Marshal(map[string]any{
		"node": m.name, "role": strings.TrimPrefix(m.program, "daisywall-"), "machine_class": class, "serves": []string{class}, "ip": m.ip,
		"zone": m.zone, "region": "hr-kontinent", "zones": zones, "listen": listen, "internal_ports": []int{m.sys.port, m.sys.port + 15},
		"seeds": []string{}, "bootstrap": true, "loss_counts": false, "data_dir": nil, "discovery": "local", "entry": "vip",
		"heartbeat_ms": heartbeat.Milliseconds(),
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
			"rollback_slack_ms": 250, "max_stretch_ms": 5000, "evacuate_ms": 5000, "recover_s": 12, "hold_max_ms": holdMax.Milliseconds(),
			"stop_grace_ms": stopGrace.Milliseconds(), "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
			"finish_s": 14, "status_s": 120, "checkpoint_s": 1, "restore_ms": restoreTime.Milliseconds(), "pace_ms": 100, "harm_ms": 4000,
		},
		"orders": "call", "advice": "",
		"platform": map[string]any{
			"address": m.sys.storeAt, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 8.0, "part_writes_s": 150,
			"row_bytes": rowBytes, "across": false, "history_s": 20,
		},
	})
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	m.settings = filepath.Join(m.sys.dir, m.name+".json")
	return os.WriteFile(m.settings, data, 0o600)
}

// start starts the program with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.sys.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", m.name, err)
	}
	defer log.Close()
	m.cmd = exec.Command("target/" + m.program)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "DAISYWALL_CONFIG=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	m.sys.rec.add("%s: starts target/%s, process %d", m.name, m.program, m.cmd.Process.Pid)
	return nil
}

// kill ends the program with SIGKILL.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	m.sys.rec.add("%s: SIGKILL", m.name)
	_ = m.cmd.Process.Kill() // an error means that it has ended
	_ = m.cmd.Wait()
	m.cmd = nil
}

// machines returns all machines.
func (s *system) machines() []*machine {
	return append(append([]*machine{}, s.agents...), s.entries...)
}

// start writes the configuration and starts all programs and runners.
func (s *system) start() error {
	err := s.store.write("op", "config", map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "lohu930", "host": queueHost, "path_prefix": queuePrefix, "service": serviceName, "priority": 0, "max_attempts": 3, "stretch": 2.0, "target_latency_ms": 1000}},
		"services": []any{map[string]any{"name": serviceName, "admission_check": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return err
	}
	for _, m := range s.agents {
		if err := m.runner.start(); err != nil {
			return err
		}
	}
	for _, m := range s.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return s.awaitReady(20 * time.Second)
}

// awaitReady waits until all entries are ready.
func (s *system) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range s.entries {
			if status, _ := call(client, http.MethodGet, "http://"+e.address(20)+"/v1/ready", nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			s.rec.add("all entries are ready")
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after %s", limit)
}

// leader returns the machine that leads, by the row in the store, nil if there is none.
func (s *system) leader() *machine {
	value := string(s.store.value("daisywall-leader", "fleet-0", "leader"))
	for _, m := range s.agents {
		if strings.Contains(value, `"`+m.address(0)+`"`) {
			return m
		}
	}
	return nil
}

// stop ends all programs.
func (s *system) stop() {
	for _, m := range s.machines() {
		m.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		s.rec.add("logs are kept in the temporary folder")
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

func (s *system) planOf(task string) taskPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plans[jobOf(task)]
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// step is a step of a job in the form of the pages.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb,omitempty"`
	EstimateMS    int64  `json:"estimate_ms"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Requires      string `json:"requires,omitempty"`
	After         []int  `json:"after,omitempty"`
}

// machineName returns the name of a machine.
func machineName(class string, i int) string {
	return fmt.Sprintf("%s-%s-%d", class, zoneNames[i%3], i/3+1)
}

// newRunnerID returns the ID of a runner.
func newRunnerID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

// newJobID returns a job ID.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, as often as the pages say, until its outcome is known or the
// limit has passed. It returns the last status, 0 without an answer.
func (s *system) submit(id, spec string, steps []step, plan taskPlan, limit time.Duration) int {
	s.mu.Lock()
	s.plans[id] = plan
	s.mu.Unlock()
	body := map[string]any{"spec": spec, "steps": steps}
	status := 0
	for begun, i := time.Now(), rand.IntN(len(s.entries)); time.Since(begun) < limit; i++ {
		status, _ = s.request(i, http.MethodPost, queuePrefix+id, body)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status
}

// state returns the state of a job, empty without an answer.
func (s *system) state(id string) (status int, state string) {
	status, answer := s.request(rand.IntN(len(s.entries)), http.MethodGet, queuePrefix+id, nil)
	state, _ = answer["state"].(string)
	return status, state
}

// request sends a request to an entry.
func (s *system) request(entry int, method, path string, body any) (int, map[string]any) {
	m := s.entries[entry%len(s.entries)]
	begun := time.Now()
	status, answer := call(&http.Client{Timeout: cancelAfter}, method, "http://"+m.address(19)+path, body)
	s.rec.add("client: %s %s at %s: %d %v after %d ms", method, path, m.name, status, answer, time.Since(begun).Milliseconds())
	return status, answer
}

// call makes an HTTP call. The status is 0 without an answer.
func call(client *http.Client, method, url string, body any) (int, map[string]any) {
	defer client.CloseIdleConnections()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, nil
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelAfter)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(data)))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(cancelAfter.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var answer map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, answer
}

// labelOne returns the labels of runners of which only one has the label "b".
func labelOne(labelled int) func(i int) []string {
	return func(i int) []string {
		rack := fmt.Sprintf("r1-%d", i%3+1)
		if i == labelled {
			return []string{"b", rack}
		}
		return []string{"a", rack}
	}
}

// idleFor returns the longest time within d for which no task of the job ran although
// fewer than the given number are done.
func (s *system) idleFor(id string, tasks int, d time.Duration) time.Duration {
	var longest time.Duration
	since := time.Now()
	for begun := time.Now(); time.Since(begun) < d; time.Sleep(20 * time.Millisecond) {
		done := s.runs.count(id, func(r *seenRun) bool { return r.how == "done" })
		if s.runs.working(id) > 0 || done >= tasks {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	return longest
}
