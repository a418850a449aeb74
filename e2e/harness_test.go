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

// waitLimit bounds every wait for a condition, far above the expected time.
const waitLimit = 60 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

var binaries string // folder that contains the built programs

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

// process is one process of a program.
type process struct {
	name   string
	cmd    *exec.Cmd
	output *lockedBuffer
	done   chan struct{}
	err    error
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *lockedBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *lockedBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func startProcess(t testing.TB, program, name string, settings any) *process {
	t.Helper()
	document, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(file, document, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaries, program), file), output: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
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
			t.Logf("output of %s:\n%s", p.name, tail(p.output.String()))
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

// kill ends the process at once, even if the process is frozen.
func (p *process) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate sends SIGTERM and waits until the process has exited without error.
func (p *process) terminate(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil {
			t.Fatalf("%s: graceful shutdown failed: %v", p.name, p.err)
		}
	case <-time.After(waitLimit):
		t.Fatalf("%s did not stop after SIGTERM", p.name)
	}
}

// eventually waits until the condition holds. The condition also returns a
// description of the observed state.
func eventually(t testing.TB, what string, condition func() (bool, string)) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		ok, observed := condition()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: last observed %s", what, observed)
		}
		time.Sleep(pollInterval)
	}
}

type jsonObject = map[string]any

// domains are the failure domains of the test cluster.
var domains = []string{"kordun", "banovina", "zagorje", "podravina"}

// targetSpec is one sample target of the test cluster.
type targetSpec struct {
	id, team, address string
	kinds             []string
	worker            int
}

// cluster is a cluster of real processes on loopback.
type cluster struct {
	t               testing.TB
	platformAddress string
	controlAddress  string
	standin         *process
	agents          []*process
	entries         []*process
	entryURLs       []string     // base URLs of the entries
	localAddresses  []string     // local addresses of the agents
	agentSettings   []jsonObject // settings of the agents
	entrySettings   []jsonObject
	targets         []targetSpec
	relays          []*relay // relays in front of the agents, empty unless clusterOptions.relays is set
}

// clusterOptions are the options of a test cluster. Zero fields have defaults.
type clusterOptions struct {
	slots           int // number of request slots of each target
	serviceTimeMS   int // service time of each target
	evacuateMS      int // longest time that a stopping agent waits for its tasks to move
	relays          bool
	agentsPerDomain int        // number of agents in each failure domain, 1 by default
	limits          jsonObject // limits of the hosts, nil for none
}

// newCluster starts a stand-in, two entries and agentsPerDomain agents in each
// failure domain. It applies the sample configuration and waits until every
// entry uses this configuration and has registered every target.
func newCluster(t testing.TB) *cluster {
	return newClusterWith(t, clusterOptions{slots: 8, evacuateMS: 30_000})
}

func newClusterWith(t testing.TB, o clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t, platformAddress: freeAddress(t), controlAddress: freeAddress(t)}
	capacity := jsonObject{"milli_cpu": 16000, "memory_mb": 60000, "accelerators": 2}
	var workers, targets []jsonObject
	hosts := slices.Repeat(domains, max(1, o.agentsPerDomain))
	for i, domain := range hosts {
		worker := "worker-" + domain
		if i >= len(domains) {
			worker = fmt.Sprintf("worker-%s-%d", domain, i/len(domains)+1)
		}
		localAddress := freeAddress(t)
		c.localAddresses = append(c.localAddresses, localAddress)
		workers = append(workers, jsonObject{"worker": worker, "capacity": capacity})
		peerAddress := freeAddress(t)
		advertisedAddress := peerAddress
		if o.relays {
			c.relays = append(c.relays, newRelay(t, peerAddress))
			advertisedAddress = c.relays[i].address()
		}
		c.agentSettings = append(c.agentSettings, jsonObject{
			"worker": worker, "failure_domain": domain, "rack": fmt.Sprintf("rack-%d", i/len(domains)+1),
			"local_address": localAddress, "peer_address": peerAddress, "advertise_address": advertisedAddress,
			"platform": jsonObject{"address": c.platformAddress}, "capacity": capacity, "evacuate_ms": o.evacuateMS,
		})
		if o.limits != nil {
			c.agentSettings[i]["limits"] = o.limits
		}
		if i >= len(domains) {
			continue // only the first worker of each failure domain runs targets
		}
		for _, spec := range []targetSpec{
			{id: "contract-" + domain, team: "jabuka", kinds: []string{"slot-check", "grower-payment"}, worker: i},
			{id: "alert-" + domain, team: "graz", kinds: []string{"alert", "sighting"}, worker: i},
		} {
			spec.address = freeAddress(t)
			c.targets = append(c.targets, spec)
			targets = append(targets, jsonObject{
				"target": spec.id, "team": spec.team, "kinds": spec.kinds, "address": spec.address, "agent": localAddress,
				"slots": o.slots, "connections": max(4*o.slots, 60), "service_time_ms": o.serviceTimeMS,
			})
		}
	}
	c.standin = startProcess(t, "daisywall-standin", "standin", jsonObject{
		"address": c.platformAddress, "control_address": c.controlAddress, "workers": workers, "targets": targets,
	})
	for i := range hosts {
		c.agents = append(c.agents, c.startAgent(i))
	}
	for i := range 2 {
		httpAddress := freeAddress(t)
		c.entryURLs = append(c.entryURLs, "http://"+httpAddress)
		c.entrySettings = append(c.entrySettings, jsonObject{
			"entry": fmt.Sprintf("entry-%d", i+1), "failure_domain": domains[i],
			"http_address": httpAddress, "peer_address": freeAddress(t),
			"platform": jsonObject{"address": c.platformAddress}, "drain_ms": 300,
		})
		if o.limits != nil {
			c.entrySettings[i]["limits"] = o.limits
		}
		c.entries = append(c.entries, c.startEntry(i))
	}
	c.applyConfig()
	c.waitForTargets(len(c.targets))
	c.waitForConfig()
	return c
}

// waitForConfig waits until every entry uses the committed configuration.
func (c *cluster) waitForConfig() {
	c.t.Helper()
	for entry := range c.entries {
		eventually(c.t, fmt.Sprintf("entry %d uses the committed configuration", entry), func() (bool, string) {
			status, err := c.client(entry).ConfigStatus(context.Background())
			return err == nil && status.Committed > 0 && status.Entry == status.Committed, fmt.Sprintf("%+v, %v", status, err)
		})
	}
}

func (c *cluster) startAgent(i int) *process {
	return startProcess(c.t, "daisywall-agent", fmt.Sprint(c.agentSettings[i]["worker"]), c.agentSettings[i])
}

func (c *cluster) startEntry(i int) *process {
	return startProcess(c.t, "daisywall-entry", fmt.Sprint(c.entrySettings[i]["entry"]), c.entrySettings[i])
}

func (c *cluster) client(entry int) *client.Client {
	return client.New(c.entryURLs[entry], "tester", &http.Client{Timeout: waitLimit})
}

// runCommand runs the command line against the first entry and returns its
// output and exit code.
func (c *cluster) runCommand(args ...string) (string, int) {
	var out, errs bytes.Buffer
	env := command.Env{Context: context.Background(), In: strings.NewReader(""), Out: &out, Err: &errs}
	code := command.Run(env, append([]string{"--entry", c.entryURLs[0], "--operator", "tester", "--timeout", waitLimit.String()}, args...))
	return out.String() + errs.String(), code
}

func (c *cluster) applyConfig() {
	c.t.Helper()
	for _, file := range []string{"../examples/jabuka/config.json", "../examples/graz/config.json"} {
		eventually(c.t, "apply "+file, func() (bool, string) {
			out, code := c.runCommand("config", "apply", file)
			return code == command.ExitOK, out
		})
	}
}

func (c *cluster) waitForTargets(n int) {
	c.t.Helper()
	for entry := range c.entries {
		eventually(c.t, fmt.Sprintf("entry %d has %d targets", entry, n), func() (bool, string) {
			targets, err := c.client(entry).Targets(context.Background())
			return err == nil && len(targets) == n, fmt.Sprintf("%d targets, %v", len(targets), err)
		})
	}
}
