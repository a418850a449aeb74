package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisywall/daisywall/standin/crowd"
)

// Limits of the hosts that face a crowd, and how long it stays. No check
// depends on the time.
const (
	crowdMemoryMB       = 256
	crowdMaxDescriptors = 400
	crowdPeriod         = 6 * time.Second
)

// Limits of the bodies of an entry's API and of an announcement at an agent.
const (
	maxRequestBytes      = 4 << 20
	maxJobBytes          = 16 << 20
	maxAnnouncementBytes = 64 << 10
)

func TestCrowdThatSendsNothingToAnEntry(t *testing.T) {
	runCrowd(t, 600, entryAddress, crowd.WaitUntilClosed)
}

func TestCrowdWithHeadsOfShortLinesAtAnEntry(t *testing.T) {
	head := "POST /v1/teams/jabuka/requests/slot-check HTTP/1.1\r\nHost: h\r\n" + crowd.LengthField(100) + crowd.ShortLines(65000) + "\r\n"
	runCrowd(t, 300, entryAddress, func(conn net.Conn) { crowd.SendAndWait(conn, head) })
}

func TestCrowdWithRequestsThatLackTheirLastByte(t *testing.T) {
	runBodyCrowd(t, 100, "/v1/teams/jabuka/requests/slot-check", strings.Repeat(" ", maxRequestBytes-1), maxRequestBytes)
}

func TestCrowdWithLargeRequests(t *testing.T) {
	body := `{"delivery":"` + strings.Repeat("x", maxRequestBytes-20) + `"}`
	runBodyCrowd(t, 50, "/v1/teams/jabuka/requests/slot-check", body, len(body))
}

func TestCrowdWithJobsThatLackTheirLastByte(t *testing.T) {
	runBodyCrowd(t, 40, "/v1/teams/jabuka/jobs", strings.Repeat(" ", maxJobBytes-1), maxJobBytes)
}

func TestCrowdWithJobsOfLargeInput(t *testing.T) {
	body := `{"class":"pricing","input":{"work_ms":100,"contracts":["` + strings.Repeat("x", maxJobBytes-100) + `"]}}`
	runBodyCrowd(t, 40, "/v1/teams/jabuka/jobs", body, len(body))
}

func TestCrowdAtTheLocalAddressOfAnAgent(t *testing.T) {
	request := postHead("/v1/targets/x", maxAnnouncementBytes) + strings.Repeat(" ", maxAnnouncementBytes-1)
	request = strings.Replace(request, "POST", "PUT", 1)
	runCrowd(t, 600, func(c *cluster) string { return c.localAddresses[0] }, func(conn net.Conn) { crowd.SendAndWait(conn, request) })
}

func runBodyCrowd(t *testing.T, members int, path, body string, declared int) {
	request := postHead(path, declared) + body
	runCrowd(t, members, entryAddress, func(conn net.Conn) { crowd.SendAndWait(conn, request) })
}

func postHead(path string, length int) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + crowd.LengthField(length) + "\r\n"
}

func entryAddress(c *cluster) string { return strings.TrimPrefix(c.entryURLs[0], "http://") }

// runCrowd sends a crowd of clients that don't behave to an address of a
// cluster on small hosts. It checks that no process exits, that each stays within
// its memory and its descriptors, and that an ordinary request is answered while
// the crowd stays and after it has gone.
func runCrowd(t *testing.T, memberCount int, target func(*cluster) string, behave func(net.Conn)) {
	t.Helper()
	limits := jsonObject{"memory_mb": crowdMemoryMB, "max_descriptors": crowdMaxDescriptors}
	c := newClusterWith(t, clusterOptions{slots: 8, evacuateMS: 30_000, limits: limits})
	processes := append([]*process{}, c.agents...)
	processes = append(processes, c.entries...)
	ctx, cancel := context.WithTimeout(t.Context(), crowdPeriod)
	defer cancel()
	descriptors := make([]int, len(processes))
	var background sync.WaitGroup
	background.Go(func() { crowd.Run(ctx, memberCount, target(c), behave) })
	background.Go(func() {
		for ctx.Err() == nil {
			for i, p := range processes {
				descriptors[i] = max(descriptors[i], crowd.DescriptorCount(p.cmd.Process.Pid))
			}
			time.Sleep(pollInterval)
		}
	})
	time.Sleep(crowdPeriod / 2) // the crowd assembles
	c.waitForOrdinaryAnswer("beside the crowd")
	background.Wait()
	c.waitForOrdinaryAnswer("after the crowd")
	for i, p := range processes {
		select {
		case <-p.done:
			t.Errorf("%s has exited: %v", p.name, p.err)
			continue
		default:
		}
		peakMB, err := crowd.PeakMemoryMB(p.cmd.Process.Pid)
		if err != nil {
			t.Error(err)
		}
		t.Logf("%s: %d MB, %d descriptors at the peak", p.name, peakMB, descriptors[i])
		if peakMB > crowdMemoryMB || descriptors[i] > crowdMaxDescriptors {
			t.Errorf("%s had %d of %d MB and %d of %d descriptors at the peak", p.name, peakMB, crowdMemoryMB, descriptors[i], crowdMaxDescriptors)
		}
	}
}

// waitForOrdinaryAnswer sends small requests on new connections until one is
// answered.
func (c *cluster) waitForOrdinaryAnswer(when string) {
	c.t.Helper()
	client := &http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	eventually(c.t, "an ordinary request "+when, func() (bool, string) {
		response, err := client.Post(c.entryURLs[0]+"/v1/teams/jabuka/requests/slot-check", "application/json", strings.NewReader(`{"delivery":"HR-2041"}`))
		if err != nil {
			return false, err.Error()
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode == http.StatusOK, fmt.Sprint(response.StatusCode)
	})
}
