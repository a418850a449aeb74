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
	overheadRound   = 2 * time.Second // one measurement of one path
	overheadRounds  = 3               // pairs of measurements
	overheadService = 50              // service time of the targets in milliseconds
	overheadSlots   = 512
	latencyMaxUS    = 60_000_000
)

// BenchmarkOverhead measures what entry and agent add to a request: the same
// callers go straight to the same targets and through an entry, in turns.
//
//	go test -run '^$' -bench Overhead -benchtime 1x ./e2e
func BenchmarkOverhead(b *testing.B) {
	c := newClusterWith(b, clusterOptions{slots: overheadSlots, serviceTimeMS: overheadService})
	c.liftLimits("jabuka")
	var direct []string
	for _, target := range c.targets {
		if target.team == "jabuka" {
			direct = append(direct, "http://"+target.address+"/v1/slot-check")
		}
	}
	through := []string{c.urls[0] + "/v1/teams/jabuka/requests/slot-check"}
	for _, callers := range []int{1, 64, 512} {
		b.Run(strconv.Itoa(callers), func(b *testing.B) {
			straight, routed := newHistogram(), newHistogram()
			entry, agents := 0.0, 0.0 // processor time while requests were routed
			for range b.N {
				for range overheadRounds {
					load(b, direct, callers, straight)
					entry, agents = entry-cpuSeconds(b, c.entries[0]), agents-c.agentSeconds(b)
					load(b, through, callers, routed)
					entry, agents = entry+cpuSeconds(b, c.entries[0]), agents+c.agentSeconds(b)
				}
			}
			b.ReportMetric(1000*entry/float64(routed.TotalCount()), "entry-cpu-ms/request")
			b.ReportMetric(1000*agents/float64(routed.TotalCount()), "agent-cpu-ms/request")
			b.ReportMetric(ms(straight, 50), "direct-p50-ms")
			b.ReportMetric(ms(straight, 99), "direct-p99-ms")
			b.ReportMetric(ms(routed, 50), "routed-p50-ms")
			b.ReportMetric(ms(routed, 99), "routed-p99-ms")
			b.ReportMetric(ms(routed, 50)-ms(straight, 50), "added-p50-ms")
			b.ReportMetric(ms(routed, 99)-ms(straight, 99), "added-p99-ms")
			b.ReportMetric(float64(routed.TotalCount()), "requests")
		})
	}
	b.Logf("resident memory: entry %d MB, agent %d MB", residentMB(b, c.entries[0]), residentMB(b, c.agents[0]))
	b.Logf("idle resident memory: entry %d MB", residentMB(b, c.entries[1]))
}

// agentSeconds sums up the processor time of all agents.
func (c *cluster) agentSeconds(b *testing.B) float64 {
	total := 0.0
	for _, a := range c.agents {
		total += cpuSeconds(b, a)
	}
	return total
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, latencyMaxUS, 3) }

func ms(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// liftLimits applies the team's configuration without rate and concurrency
// limits that the load would meet.
func (c *cluster) liftLimits(team structs.TeamID) {
	c.t.Helper()
	document, err := os.ReadFile("../examples/" + string(team) + "/config.json")
	if err != nil {
		c.t.Fatal(err)
	}
	place, err := config.DecodeTeam(document)
	if err != nil {
		c.t.Fatal(err)
	}
	place.Limits = structs.TeamLimits{RequestsPerSecond: 100_000, Concurrency: 10_000}
	var revision int64
	eventually(c.t, "lift limits", func() (bool, string) {
		current, err := c.client(0).Config(context.Background())
		if err != nil {
			return false, err.Error()
		}
		revision, err = c.client(0).ApplyConfig(context.Background(), current.Revision, client.ConfigChange{Put: []structs.TeamConfig{place}})
		return err == nil, fmt.Sprint(err)
	})
	eventually(c.t, "limits in force", func() (bool, string) {
		status, err := c.client(0).ConfigStatus(context.Background())
		return err == nil && status.Entry >= revision, fmt.Sprint(status, err)
	})
}

// load sends requests from each caller, one after the other, for one round.
func load(b *testing.B, urls []string, callers int, into *hdrhistogram.Histogram) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport}
	end := time.Now().Add(overheadRound)
	var mu sync.Mutex
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			own := newHistogram()
			for i := 0; time.Now().Before(end); i++ {
				took, err := post(httpClient, urls[caller%len(urls)], fmt.Sprintf("%d-%d", caller, i))
				if err != nil {
					b.Error(err)
					return
				}
				if i > 0 { // the first request of a caller connects
					_ = own.RecordValue(took.Microseconds())
				}
			}
			mu.Lock()
			defer mu.Unlock()
			into.Merge(own)
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
	begun := time.Now()
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return time.Since(begun), err
}

// residentMB reads the resident memory of a process.
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
