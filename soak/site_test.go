package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
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

// Sizes of a site.
const (
	workerHosts = 4
	entryHosts  = 2
	taskCPU     = 500 // thousandths of a processor
	runnerCPU   = 4000
	reportEvery = 200 * time.Millisecond
	grace       = 6 * time.Second // from SIGTERM to SIGKILL
	gangWait    = 3 * time.Second
	domains     = 3
)

// host is a host with one program, and for workers a runner.
type host struct {
	name, domain string
	peer         string // address of its agent
	process      *process
	store        *standin.PartStoreClient
	runner       *standin.TaskRunner // nil for an entry
	front        *link               // of an entry
	settings     map[string]any

	mu  sync.Mutex
	cut bool
}

func (h *host) setCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = cut
}

func (h *host) isCut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut
}

// testSite is a deployment on loopback.
type testSite struct {
	dir     string
	holdMax time.Duration
	store   *standin.PartStore
	checker *witness
	gangs   *standin.Gangs
	hosts   []*host // workers, then entries
	stop    context.CancelFunc
	servers []*http.Server
	clients *http.Client // of the runners' reports

	mu    sync.Mutex
	links []*link
	peers map[[2]string]*link // by host and the address behind
}

func newSite(dir string, holdMax time.Duration) (*testSite, error) {
	s := &testSite{dir: dir, holdMax: holdMax, store: standin.NewPartStore(), peers: map[[2]string]*link{}, clients: &http.Client{Timeout: time.Second}}
	s.checker = newWitness()
	s.gangs = standin.NewGangs(gangWait, s.checker.gangSize)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if err := s.configure(1, nil); err != nil {
		return s, err
	}
	for i := range workerHosts + entryHosts {
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

// configure writes the operators' rows.
func (s *testSite) configure(version int, drained []string) error {
	config := fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","host":"h","path_prefix":"/jobs/","service":"pool","max_attempts":3,"stretch":2}]}`, version)
	txn := substrate.PartTxn{Puts: []substrate.PartRow{{Table: "op", Key: "config", Value: []byte(config)}}}
	for i := range domains {
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

func (s *testSite) addHost(ctx context.Context, i int) error {
	worker := i < workerHosts
	h := &host{name: fmt.Sprintf("worker-%d", i), domain: domainName(i % domains), store: s.store.Client()}
	class, program := "side", "daisywall-agent"
	if !worker {
		h.name, class, program = fmt.Sprintf("entry-%d", i-workerHosts), "edge", "daisywall-entry"
	}
	port, err := ports.Reserve(5)
	if err != nil {
		return err
	}
	at := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	h.peer = at(0)
	storeAddress, err := s.serve(site.Store(&relayedStore{PartStoreClient: h.store, relay: func(a string) string { return s.peerLink(h, a) }}))
	if err != nil {
		return err
	}
	storeLink, err := s.addLink(storeAddress, h, nil)
	if err != nil {
		return err
	}
	h.settings = map[string]any{
		"node": h.name, "machine_class": class, "ip": "127.0.0.1", "zone": h.domain, "region": "r",
		"listen":         map[string]string{"front": at(2), "ready": at(3), "control": at(4)},
		"internal_ports": []int{port, port + 1}, "heartbeat_ms": reportEvery.Milliseconds(),
		"bounds":   map[string]any{"hold_max_ms": s.holdMax.Milliseconds(), "grace_s": grace.Seconds()},
		"platform": map[string]any{"address": storeLink.address(), "row_bytes": 65536},
	}
	document, err := json.Marshal(h.settings)
	if err != nil {
		return err
	}
	if h.process, err = newProcess(s.dir, h.name, program, document); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	if !worker {
		h.front, err = s.addLink(at(2), nil, nil)
		return err
	}
	return s.addRunner(ctx, h, at(4))
}

// addRunner adds the runner of a host, which reports to the host's agent.
func (s *testSite) addRunner(ctx context.Context, h *host, reports string) error {
	info := substrate.RunnerInfo{
		ID: "i-" + h.name, Pool: "pool", FailureDomain: structs.FailureDomainID(h.domain), Labels: []string{"a", "r1"},
		Capacity: structs.Resources{MilliCPU: runnerCPU, MemoryMB: 8000},
	}
	runner := &lateHandler{}
	address, err := s.serve(runner)
	if err != nil {
		return err
	}
	toRunner, err := s.addLink(address, nil, nil)
	if err != nil {
		return err
	}
	info.Address = toRunner.address()
	h.runner = standin.NewTaskRunner(standin.TaskRunnerOptions{
		Info: info, HoldMax: s.holdMax, RunTime: runTime, Observer: s.checker, Gangs: s.gangs,
	})
	runner.set(site.Runner(h.runner))
	toAgent, err := s.addLink(reports, nil, nil)
	if err != nil {
		return err
	}
	go func() {
		tick := time.NewTicker(reportEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if !h.runner.Away() {
					// An agent that is away hears the next report.
					_ = site.Report(ctx, s.clients, toAgent.address(), h.runner)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// lateHandler is a handler that is known only after its address is.
type lateHandler struct {
	mu sync.Mutex
	h  http.Handler
}

func (l *lateHandler) set(h http.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h = h
}

// ServeHTTP implements http.Handler.
func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	h := l.h
	l.mu.Unlock()
	h.ServeHTTP(w, r)
}

// runTime is 0.1 to 0.9 s, the same for each run of a task.
func runTime(r structs.TaskRun) time.Duration {
	h := fnv.New32a()
	fmt.Fprint(h, r.Task)
	return time.Duration(100+h.Sum32()%800) * time.Millisecond
}

func (s *testSite) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addLink puts a link in front of an address. A cut of either host blocks it.
func (s *testSite) addLink(to string, from, behind *host) (*link, error) {
	l, err := newLink(to, func() bool { return from != nil && from.isCut() || behind != nil && behind.isCut() })
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links = append(s.links, l)
	return l, nil
}

// peerLink returns the address at which a host reaches an agent.
func (s *testSite) peerLink(from *host, address string) string {
	if address == from.peer {
		return address
	}
	s.mu.Lock()
	known := s.peers[[2]string{from.name, address}]
	s.mu.Unlock()
	if known != nil {
		return known.address()
	}
	for _, behind := range s.hosts {
		if behind.peer != address {
			continue
		}
		l, err := s.addLink(address, from, behind)
		if err != nil {
			s.checker.fault("no link from %s to %s: %v", from.name, behind.name, err)
			return address
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if other := s.peers[[2]string{from.name, address}]; other != nil {
			return other.address()
		}
		s.peers[[2]string{from.name, address}] = l
		return l.address()
	}
	return address
}

// allLinks returns the links between the programs, the store, the runners and
// the callers.
func (s *testSite) allLinks() []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*link(nil), s.links...)
}

// close ends everything that the site has started.
func (s *testSite) close() {
	for _, h := range s.hosts {
		h.process.signal(syscall.SIGCONT)
		h.process.end(syscall.SIGKILL)
		h.process.output.Close()
	}
	s.stop()
	for _, l := range s.allLinks() {
		l.close()
	}
	for _, server := range s.servers {
		server.Close()
	}
}

// relayedStore is the store as one host sees it: the leader's address is that of
// the link to it.
type relayedStore struct {
	*standin.PartStoreClient
	relay func(address string) string
}

func (s *relayedStore) rewrite(rows []substrate.PartRow) []substrate.PartRow {
	rewritten := make([]substrate.PartRow, 0, len(rows))
	for _, row := range rows {
		var value map[string]any
		if row.Table == "daisywall-leader" && json.Unmarshal(row.Value, &value) == nil {
			value["address"] = s.relay(fmt.Sprint(value["address"]))
			if changed, err := json.Marshal(value); err == nil {
				row.Value = changed
			}
		}
		rewritten = append(rewritten, row)
	}
	return rewritten
}

// Commit implements substrate.PartStore.
func (s *relayedStore) Commit(ctx context.Context, txn substrate.PartTxn) (int64, error) {
	version, err := s.PartStoreClient.Commit(ctx, txn)
	var conflict *substrate.VersionConflictError
	if errors.As(err, &conflict) {
		return 0, &substrate.VersionConflictError{Rows: s.rewrite(conflict.Rows)}
	}
	return version, err
}

// Rows implements substrate.PartStore.
func (s *relayedStore) Rows(ctx context.Context, table, part string) ([]substrate.PartRow, int64, error) {
	rows, version, err := s.PartStoreClient.Rows(ctx, table, part)
	return s.rewrite(rows), version, err
}
