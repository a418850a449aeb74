package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/standin/ports"
	"github.com/daisywall/daisywall/standin/site"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Sizes and intervals of a system.
const (
	workerCount      = 4
	entryCount       = 2
	taskCPU          = 500  // request of each task, in thousandths of a processor
	runnerCPU        = 4000 // capacity of each runner, in thousandths of a processor
	reportInterval   = 200 * time.Millisecond
	terminationGrace = 6 * time.Second // time from SIGTERM to SIGKILL
	gangStartTimeout = 3 * time.Second
	domainCount      = 3
	deadlyAfter      = 10 * time.Millisecond // time from the start of a task to the crash of its runner
)

// host runs one program. If the program is an agent, the host also has a
// runner.
type host struct {
	name, domain string
	agentAddress string // peer address of the host's agent
	process      *process
	storeClient  *standin.PartStoreClient
	runner       *standin.TaskRunner // nil for an entry
	runnerName   string              // ID of the runner's first incarnation, which names it to the checker
	runnerLink   *link               // link of the agent to the runner, nil for an entry
	reportLink   *link               // link of the runner's reports to the agent, nil for an entry
	callerLink   *link               // link of callers to the entry, nil for a worker
	settings     map[string]any

	mu       sync.Mutex
	isolated bool
}

func (h *host) setIsolated(isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isolated = isolated
}

func (h *host) isIsolated() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isolated
}

// testSystem is a deployment of the programs on loopback.
type testSystem struct {
	dir           string
	maxLease      time.Duration
	store         *standin.PartStore
	checker       *jobChecker
	gangs         *standin.Gangs
	hosts         []*host // hosts of the workers first, then those of the entries
	cancel        context.CancelFunc
	configureHost []func(settings map[string]any) // changes the settings of each host
	servers       []*http.Server
	reportClient  *http.Client // sends the runners' reports

	mu         sync.Mutex
	links      []*link
	agentLinks map[[2]string]*link // by the name of the connecting host and the address of the agent
}

// newSystem starts a system. Each of configureHost may change the settings of
// every host.
func newSystem(dir string, maxLease time.Duration, configureHost ...func(settings map[string]any)) (*testSystem, error) {
	s := &testSystem{dir: dir, maxLease: maxLease, configureHost: configureHost, store: standin.NewPartStore(), agentLinks: map[[2]string]*link{}, reportClient: &http.Client{Timeout: time.Second}}
	s.checker = newJobChecker()
	s.checker.onCrash = s.refuseRunner
	s.gangs = standin.NewGangs(gangStartTimeout, s.checker.gangSize)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.configure(1, nil); err != nil {
		return s, err
	}
	for i := range workerCount + entryCount {
		if err := s.addHost(ctx, i); err != nil {
			return s, err
		}
	}
	for _, h := range s.hosts {
		if err := h.process.start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// configure stores the operators' configuration and the list of drained failure
// domains.
func (s *testSystem) configure(version int, drained []string) error {
	config := fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","host":"h","path_prefix":"/jobs/","service":"pool","max_attempts":3,"stretch":2}]}`, version)
	txn := substrate.PartTxn{Puts: []substrate.PartRow{{Table: "op", Key: "config", Value: []byte(config)}}}
	for i := range domainCount {
		row := substrate.PartRow{Table: "op", Key: "evacuate/" + domainName(i), Value: []byte("{}")}
		if slices.Contains(drained, domainName(i)) {
			txn.Puts = append(txn.Puts, row)
		} else {
			txn.Remove = append(txn.Remove, row)
		}
	}
	_, err := s.store.Commit(txn)
	return err
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

func (s *testSystem) addHost(ctx context.Context, i int) error {
	isWorker := i < workerCount
	h := &host{name: fmt.Sprintf("worker-%d", i), domain: domainName(i % domainCount), storeClient: s.store.Client()}
	class, program := "side", "daisywall-agent"
	if !isWorker {
		h.name, class, program = fmt.Sprintf("entry-%d", i-workerCount), "edge", "daisywall-entry"
	}
	port, err := ports.Reserve(5)
	if err != nil {
		return err
	}
	portAddress := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	h.agentAddress = portAddress(0)
	storeAddress, err := s.serve(site.Store(&linkedStore{PartStoreClient: h.storeClient, linkAddress: func(a string) string { return s.peerLink(h, a) }}))
	if err != nil {
		return err
	}
	storeLink, err := s.addLink(storeAddress, h, nil)
	if err != nil {
		return err
	}
	h.settings = map[string]any{
		"node": h.name, "machine_class": class, "ip": "127.0.0.1", "zone": h.domain, "region": "r",
		"listen":         map[string]string{"front": portAddress(2), "ready": portAddress(3), "control": portAddress(4)},
		"internal_ports": []int{port, port + 1}, "heartbeat_ms": reportInterval.Milliseconds(),
		"bounds":   map[string]any{"hold_max_ms": s.maxLease.Milliseconds(), "grace_s": terminationGrace.Seconds()},
		"platform": map[string]any{"address": storeLink.address(), "row_bytes": 65536},
	}
	runnerAddress, err := ports.Address()
	if err != nil {
		return err
	}
	if isWorker {
		h.settings["app"], h.settings["service"] = runnerAddress, runnerPool
	}
	for _, configure := range s.configureHost {
		configure(h.settings)
	}
	document, err := json.Marshal(h.settings)
	if err != nil {
		return err
	}
	if h.process, err = newProcess(s.dir, h.name, program, document); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	if !isWorker {
		h.callerLink, err = s.addLink(portAddress(2), nil, nil)
		return err
	}
	return s.addRunner(ctx, h, runnerAddress, portAddress(4))
}

// runnerPool is the pool of the runners.
const runnerPool = "pool"

// addRunner adds the runner of a host. The runner reports to the agent of the
// host.
func (s *testSystem) addRunner(ctx context.Context, h *host, runnerAddress, reportAddress string) error {
	h.runnerName = "i-" + h.name
	info := substrate.RunnerInfo{
		ID: h.runnerName, Pool: runnerPool, FailureDomain: structs.FailureDomainID(h.domain), Labels: []string{"a", "r1"},
		Capacity: structs.Resources{MilliCPU: runnerCPU, MemoryMB: 8000},
	}
	handler := &deferredHandler{}
	address, err := s.serve(handler)
	if err != nil {
		return err
	}
	runnerLink, err := s.addLinkAt(runnerAddress, address, nil, nil)
	if err != nil {
		return err
	}
	h.runnerLink = runnerLink
	info.Address = runnerLink.address()
	h.runner = standin.NewTaskRunner(standin.TaskRunnerOptions{
		Info: info, MaxLease: s.maxLease, RunTime: s.checker.runTime, LongRunning: s.checker.isLongRunning, Observer: s.checker, Gangs: s.gangs,
		Crashes: s.checker.crashesAfter, CrashDowntime: time.Duration(1+len(s.hosts)%3) * time.Second,
	})
	handler.set(site.Runner(h.runner))
	if h.reportLink, err = s.addLink(reportAddress, nil, nil); err != nil {
		return err
	}
	go func() {
		tick := time.NewTicker(reportInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if !h.runner.IsCrashed() {
					if err := runnerLink.listen(); err != nil {
						s.checker.reportViolation("%v", err)
					}
					// An agent that cannot be reached receives the next report.
					_ = site.Report(ctx, s.reportClient, h.reportLink.address(), h.runner)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// refuseRunner lets the host of a crashed runner refuse connections to it. The
// runner accepts connections again before its next report.
func (s *testSystem) refuseRunner(runner string) {
	for _, h := range s.hosts {
		if h.runner != nil && h.runnerName == runner {
			h.runnerLink.refuse()
		}
	}
}

// deferredHandler passes requests to a handler that is set after its server has
// got an address.
type deferredHandler struct {
	mu      sync.Mutex
	handler http.Handler
}

func (d *deferredHandler) set(h http.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handler = h
}

// ServeHTTP implements http.Handler.
func (d *deferredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	h := d.handler
	d.mu.Unlock()
	h.ServeHTTP(w, r)
}

func (s *testSystem) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addLink puts a link in front of an address. The link is blocked while either
// of the two hosts is isolated.
func (s *testSystem) addLink(address string, connecting, upstream *host) (*link, error) {
	return s.addLinkAt("127.0.0.1:0", address, connecting, upstream)
}

// addLinkAt adds a link that listens at the given address.
func (s *testSystem) addLinkAt(listenAddress, address string, connecting, upstream *host) (*link, error) {
	l, err := newLinkAt(listenAddress, address, func() bool {
		return connecting != nil && connecting.isIsolated() || upstream != nil && upstream.isIsolated()
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links = append(s.links, l)
	return l, nil
}

// peerLink returns the address of the link from a host to an agent.
func (s *testSystem) peerLink(from *host, address string) string {
	if address == from.agentAddress {
		return address
	}
	s.mu.Lock()
	existing := s.agentLinks[[2]string{from.name, address}]
	s.mu.Unlock()
	if existing != nil {
		return existing.address()
	}
	for _, upstream := range s.hosts {
		if upstream.agentAddress != address {
			continue
		}
		l, err := s.addLink(address, from, upstream)
		if err != nil {
			s.checker.reportViolation("add link from %s to %s: %v", from.name, upstream.name, err)
			return address
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if other := s.agentLinks[[2]string{from.name, address}]; other != nil {
			return other.address()
		}
		s.agentLinks[[2]string{from.name, address}] = l
		return l.address()
	}
	return address
}

// allLinks returns the links between the programs, the store, the runners and
// the callers.
func (s *testSystem) allLinks() []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*link(nil), s.links...)
}

// close stops everything that the system has started.
func (s *testSystem) close() {
	for _, h := range s.hosts {
		h.process.signal(syscall.SIGCONT)
		h.process.stop(syscall.SIGKILL)
		h.process.output.Close()
	}
	s.cancel()
	for _, l := range s.allLinks() {
		l.close()
	}
	for _, server := range s.servers {
		server.Close()
	}
}

// linkedStore is a host's client of the store. It replaces the address of the
// leader by the address of the host's link to the leader.
type linkedStore struct {
	*standin.PartStoreClient
	linkAddress func(address string) string
}

func (s *linkedStore) rewriteLeader(rows []substrate.PartRow) []substrate.PartRow {
	rewritten := make([]substrate.PartRow, 0, len(rows))
	for _, row := range rows {
		var value map[string]any
		if row.Table == "daisywall-leader" && json.Unmarshal(row.Value, &value) == nil {
			value["address"] = s.linkAddress(fmt.Sprint(value["address"]))
			if changed, err := json.Marshal(value); err == nil {
				row.Value = changed
			}
		}
		rewritten = append(rewritten, row)
	}
	return rewritten
}

// Commit implements substrate.PartStore.
func (s *linkedStore) Commit(ctx context.Context, txn substrate.PartTxn) (int64, error) {
	version, err := s.PartStoreClient.Commit(ctx, txn)
	var conflict *substrate.VersionConflictError
	if errors.As(err, &conflict) {
		return 0, &substrate.VersionConflictError{Rows: s.rewriteLeader(conflict.Rows)}
	}
	return version, err
}

// Rows implements substrate.PartStore.
func (s *linkedStore) Rows(ctx context.Context, table, part string) ([]substrate.PartRow, int64, error) {
	rows, version, err := s.PartStoreClient.Rows(ctx, table, part)
	return s.rewriteLeader(rows), version, err
}
