package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/command"
	"github.com/daisywall/daisywall/standin/ports"
)

// waitLimit bounds every wait on a condition; it is far above what any needs.
const waitLimit = 60 * time.Second

// pollEvery is how often a condition is looked at.
const pollEvery = 20 * time.Millisecond

var binaries string // folder of the built programs

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "daisywall-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := ports.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// process is one running daemon.
type process struct {
	name string
	cmd  *exec.Cmd
	out  *safeBuffer
	done chan struct{}
	err  error
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func start(t testing.TB, program, name string, settings any) *process {
	t.Helper()
	document, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(file, document, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaries, program), file), out: &safeBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", p.name, tail(p.out.String()))
		}
	})
	return p
}

func tail(s string) string {
	const keep = 4000
	if len(s) > keep {
		return "…" + s[len(s)-keep:]
	}
	return s
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once, also when it is frozen.
func (p *process) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate asks for a graceful shutdown and waits for it.
func (p *process) terminate(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil {
			t.Fatalf("%s: graceful shutdown failed: %v", p.name, p.err)
		}
	case <-time.After(waitLimit):
		t.Fatalf("%s did not stop", p.name)
	}
}

// eventually waits until the condition holds. The condition says what it saw.
func eventually(t testing.TB, what string, condition func() (bool, string)) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		ok, saw := condition()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: last saw %s", what, saw)
		}
		time.Sleep(pollEvery)
	}
}

type object = map[string]any

// domains are the failure domains of the test cluster.
var domains = []string{"kordun", "banovina", "zagorje", "podravina"}

// targetSpec is one sample target of the test cluster.
type targetSpec struct {
	id, team, address string
	kinds             []string
	worker            int
}

// cluster is a whole system of processes on loopback.
type cluster struct {
	t         testing.TB
	platform  string
	control   string
	standin   *process
	agents    []*process
	entries   []*process
	urls      []string // of the entries
	locals    []string // local addresses of the agents
	settings  []object // of the agents
	entrySets []object
	targets   []targetSpec
	relays    []*relay // before the agents, if asked for
}

// clusterOptions differ from test to test. Zero fields take defaults.
type clusterOptions struct {
	slots         int // of each target
	serviceTimeMS int // of each target
	evacuateMS    int // of each agent
	relays        bool
	perDomain     int // agents in each failure domain, 1 by default
}

// newCluster starts a stand-in, two entries and an agent in each failure
// domain, applies the sample configuration and waits until every target is
// known to every entry.
func newCluster(t testing.TB) *cluster {
	return newClusterWith(t, clusterOptions{slots: 8, evacuateMS: 30_000})
}

func newClusterWith(t testing.TB, o clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: freeAddress(t), control: freeAddress(t)}
	capacity := object{"milli_cpu": 16000, "memory_mb": 60000, "accelerators": 2}
	var workers, targets []object
	hosts := slices.Repeat(domains, max(1, o.perDomain))
	for i, domain := range hosts {
		worker := "worker-" + domain
		if i >= len(domains) {
			worker = fmt.Sprintf("worker-%s-%d", domain, i/len(domains)+1)
		}
		local := freeAddress(t)
		c.locals = append(c.locals, local)
		workers = append(workers, object{"worker": worker, "capacity": capacity})
		peer := freeAddress(t)
		advertised := peer
		if o.relays {
			c.relays = append(c.relays, newRelay(t, peer))
			advertised = c.relays[i].address()
		}
		c.settings = append(c.settings, object{
			"worker": worker, "failure_domain": domain, "rack": fmt.Sprintf("rack-%d", i/len(domains)+1),
			"local_address": local, "peer_address": peer, "advertise_address": advertised,
			"platform": object{"address": c.platform}, "capacity": capacity, "evacuate_ms": o.evacuateMS,
		})
		if i >= len(domains) {
			continue // one host of each failure domain runs targets
		}
		for _, spec := range []targetSpec{
			{id: "contract-" + domain, team: "jabuka", kinds: []string{"slot-check", "grower-payment"}, worker: i},
			{id: "alert-" + domain, team: "graz", kinds: []string{"alert", "sighting"}, worker: i},
		} {
			spec.address = freeAddress(t)
			c.targets = append(c.targets, spec)
			targets = append(targets, object{
				"target": spec.id, "team": spec.team, "kinds": spec.kinds, "address": spec.address, "agent": local,
				"slots": o.slots, "connections": max(4*o.slots, 60), "service_time_ms": o.serviceTimeMS,
			})
		}
	}
	c.standin = start(t, "daisywall-standin", "standin", object{
		"address": c.platform, "control_address": c.control, "workers": workers, "targets": targets,
	})
	for i := range hosts {
		c.agents = append(c.agents, c.startAgent(i))
	}
	for i := range 2 {
		httpAddress := freeAddress(t)
		c.urls = append(c.urls, "http://"+httpAddress)
		c.entrySets = append(c.entrySets, object{
			"entry": fmt.Sprintf("entry-%d", i+1), "failure_domain": domains[i],
			"http_address": httpAddress, "peer_address": freeAddress(t),
			"platform": object{"address": c.platform}, "drain_ms": 300,
		})
		c.entries = append(c.entries, c.startEntry(i))
	}
	c.applyConfig()
	c.waitForTargets(len(c.targets))
	c.waitForConfig()
	return c
}

// waitForConfig waits until the committed configuration is in force at every
// entry.
func (c *cluster) waitForConfig() {
	c.t.Helper()
	for entry := range c.entries {
		eventually(c.t, fmt.Sprintf("entry %d has the configuration", entry), func() (bool, string) {
			status, err := c.client(entry).ConfigStatus(context.Background())
			return err == nil && status.Committed > 0 && status.Entry == status.Committed, fmt.Sprintf("%+v, %v", status, err)
		})
	}
}

func (c *cluster) startAgent(i int) *process {
	return start(c.t, "daisywall-agent", fmt.Sprint(c.settings[i]["worker"]), c.settings[i])
}

func (c *cluster) startEntry(i int) *process {
	return start(c.t, "daisywall-entry", fmt.Sprint(c.entrySets[i]["entry"]), c.entrySets[i])
}

func (c *cluster) client(entry int) *client.Client {
	return client.New(c.urls[entry], "tester", &http.Client{Timeout: waitLimit})
}

// run runs the command line against the first entry and returns what it
// printed.
func (c *cluster) run(args ...string) (string, int) {
	var out, errs bytes.Buffer
	env := command.Env{Context: context.Background(), In: strings.NewReader(""), Out: &out, Err: &errs}
	code := command.Run(env, append([]string{"--entry", c.urls[0], "--operator", "tester", "--timeout", waitLimit.String()}, args...))
	return out.String() + errs.String(), code
}

func (c *cluster) applyConfig() {
	c.t.Helper()
	for _, file := range []string{"../examples/jabuka/config.json", "../examples/graz/config.json"} {
		eventually(c.t, "apply "+file, func() (bool, string) {
			out, code := c.run("config", "apply", file)
			return code == command.ExitOK, out
		})
	}
}

func (c *cluster) waitForTargets(n int) {
	c.t.Helper()
	for entry := range c.entries {
		eventually(c.t, fmt.Sprintf("entry %d knows %d targets", entry, n), func() (bool, string) {
			targets, err := c.client(entry).Targets(context.Background())
			return err == nil && len(targets) == n, fmt.Sprintf("%d targets, %v", len(targets), err)
		})
	}
}
