package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/structs"
)

const (
	overheadRoundTime = 2 * time.Second // duration of one measurement of one path
	overheadRounds    = 3               // number of measurements of each path
	overheadServiceMS = 50              // service time of the targets in milliseconds
	overheadSlots     = 512
	latencyMaxUS      = 60_000_000
)

// BenchmarkOverhead measures the latency that an entry and an agent add to a
// request. The same callers send requests alternately straight to the targets
// and through an entry to the same targets.
//
//	go test -run '^$' -bench Overhead -benchtime 1x ./e2e
func BenchmarkOverhead(b *testing.B) {
	c := newClusterWith(b, clusterOptions{slots: overheadSlots, serviceTimeMS: overheadServiceMS})
	c.liftLimits("jabuka")
	var directURLs []string
	for _, target := range c.targets {
		if target.team == "jabuka" {
			directURLs = append(directURLs, "http://"+target.address+"/v1/slot-check")
		}
	}
	entryURLs := []string{c.entryURLs[0] + "/v1/teams/jabuka/requests/slot-check"}
	for _, callers := range []int{1, 64, 512} {
		b.Run(strconv.Itoa(callers), func(b *testing.B) {
			directLatency, routedLatency := newHistogram(), newHistogram()
			entrySeconds, agentSeconds := 0.0, 0.0 // processor time that entries and agents used while requests were routed
			for range b.N {
				for range overheadRounds {
					sendLoad(b, directURLs, callers, directLatency)
					entrySeconds, agentSeconds = entrySeconds-cpuSeconds(b, c.entries[0]), agentSeconds-c.agentSeconds(b)
					sendLoad(b, entryURLs, callers, routedLatency)
					entrySeconds, agentSeconds = entrySeconds+cpuSeconds(b, c.entries[0]), agentSeconds+c.agentSeconds(b)
				}
			}
			b.ReportMetric(1000*entrySeconds/float64(routedLatency.TotalCount()), "entry-cpu-ms/request")
			b.ReportMetric(1000*agentSeconds/float64(routedLatency.TotalCount()), "agent-cpu-ms/request")
			b.ReportMetric(quantileMS(directLatency, 50), "direct-p50-ms")
			b.ReportMetric(quantileMS(directLatency, 99), "direct-p99-ms")
			b.ReportMetric(quantileMS(routedLatency, 50), "routed-p50-ms")
			b.ReportMetric(quantileMS(routedLatency, 99), "routed-p99-ms")
			b.ReportMetric(quantileMS(routedLatency, 50)-quantileMS(directLatency, 50), "added-p50-ms")
			b.ReportMetric(quantileMS(routedLatency, 99)-quantileMS(directLatency, 99), "added-p99-ms")
			b.ReportMetric(float64(routedLatency.TotalCount()), "requests")
		})
	}
	b.Logf("resident memory: entry %d MB, agent %d MB", residentMB(b, c.entries[0]), residentMB(b, c.agents[0]))
	b.Logf("idle resident memory: entry %d MB", residentMB(b, c.entries[1]))
}

// agentSeconds returns the processor time that all agents have used.
func (c *cluster) agentSeconds(b *testing.B) float64 {
	total := 0.0
	for _, a := range c.agents {
		total += cpuSeconds(b, a)
	}
	return total
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, latencyMaxUS, 3) }

func quantileMS(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// liftLimits applies the team's configuration with rate and concurrency limits
// above the load.
func (c *cluster) liftLimits(team structs.TeamID) {
	c.t.Helper()
	document, err := os.ReadFile("../examples/" + string(team) + "/config.json")
	if err != nil {
		c.t.Fatal(err)
	}
	teamConfig, err := config.DecodeTeam(document)
	if err != nil {
		c.t.Fatal(err)
	}
	teamConfig.Limits = structs.TeamLimits{RequestsPerSecond: 100_000, Concurrency: 10_000}
	var revision int64
	eventually(c.t, "lift limits", func() (bool, string) {
		current, err := c.client(0).Config(context.Background())
		if err != nil {
			return false, err.Error()
		}
		revision, err = c.client(0).ApplyConfig(context.Background(), current.Revision, client.ConfigChange{Put: []structs.TeamConfig{teamConfig}})
		return err == nil, fmt.Sprint(err)
	})
	eventually(c.t, "limits in force", func() (bool, string) {
		status, err := c.client(0).ConfigStatus(context.Background())
		return err == nil && status.Entry >= revision, fmt.Sprint(status, err)
	})
}

// sendLoad sends requests for one round. Each caller sends one request after
// the other.
func sendLoad(b *testing.B, urls []string, callers int, latencies *hdrhistogram.Histogram) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport}
	end := time.Now().Add(overheadRoundTime)
	var mu sync.Mutex
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			callerLatencies := newHistogram()
			for i := 0; time.Now().Before(end); i++ {
				latency, err := post(httpClient, urls[caller%len(urls)], fmt.Sprintf("%d-%d", caller, i))
				if err != nil {
					b.Error(err)
					return
				}
				if i > 0 { // the first request of a caller includes the time to connect
					_ = callerLatencies.RecordValue(latency.Microseconds())
				}
			}
			mu.Lock()
			defer mu.Unlock()
			latencies.Merge(callerLatencies)
		})
	}
	group.Wait()
}

func post(httpClient *http.Client, url, id string) (time.Duration, error) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"delivery":"HR-1"}`)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Request-Id", id)
	started := time.Now()
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return time.Since(started), err
}

// residentMB returns the resident memory of a process.
func residentMB(b *testing.B, p *process) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				b.Fatal(err)
			}
			return kb / 1024
		}
	}
	return 0
}
