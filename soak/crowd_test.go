package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/daisywall/daisywall/standin/crowd"
	"github.com/daisywall/daisywall/structs"
)

// Limits of the hosts that face a crowd, as their settings state them.
const (
	crowdMemoryMB       = 96
	crowdMaxDescriptors = 400
)

// Times of a crowd. No check depends on them.
const (
	crowdPeriod      = 6 * time.Second       // how long a crowd stays
	samplePause      = 20 * time.Millisecond // between two counts of a process's descriptors
	crowdAnswerLimit = 60 * time.Second      // after which a request counts as never answered
)

// runCrowd sends a crowd of clients that don't behave to an address of a system.
// Each member opens one connection after another; behave uses one until it is
// closed. The test checks that no process exits, that each stays within the
// memory and the descriptors that its settings state, and that ordinary
// requests are answered while the crowd stays and after it has gone.
func runCrowd(t *testing.T, members int, target func(*testSystem) string, behave func(net.Conn)) {
	t.Helper()
	runCrowdFor(t, crowdPeriod, members, func(s *testSystem) []string { return []string{target(s)} }, behave)
}

// runCrowdFor is runCrowd with a crowd at each of several addresses that stays
// for the given time.
func runCrowdFor(t *testing.T, period time.Duration, memberCount int, targets func(*testSystem) []string, behave func(net.Conn)) {
	t.Helper()
	s := newSmallSystem(t)
	callers := newCallers(s)
	if !callers.waitForFirstAccepted(firstJobLimit) {
		t.Fatal("no job was accepted at the start")
	}
	peaks := s.watchDescriptors(t)
	ctx, cancel := context.WithTimeout(t.Context(), period)
	defer cancel()
	var members sync.WaitGroup
	for _, address := range targets(s) {
		members.Go(func() { crowd.Run(ctx, memberCount, address, behave) })
	}
	// The first half of the period lets the crowd assemble.
	time.Sleep(period / 2)
	if !answersOrdinaryRequest(s) {
		t.Error("no ordinary request was answered beside the crowd")
	}
	members.Wait()
	if !answersOrdinaryRequest(s) {
		t.Error("no ordinary request was answered after the crowd")
	}
	s.checkProcesses(t, peaks())
}

// newSmallSystem starts a system whose hosts have little memory and few
// descriptors. The test closes it.
func newSmallSystem(t *testing.T) *testSystem {
	t.Helper()
	s, err := newSystem(t.TempDir(), 10*time.Second, smallHost)
	t.Cleanup(s.close)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func smallHost(settings map[string]any) {
	settings["limits"] = map[string]any{"memory_mb": crowdMemoryMB, "max_fds": crowdMaxDescriptors}
}

// allCallerAddresses returns the addresses at which the entries serve callers.
func allCallerAddresses(s *testSystem) []string {
	var addresses []string
	for _, h := range s.hosts[workerCount:] {
		addresses = append(addresses, listenAddress(h, "front"))
	}
	return addresses
}

// callerAddress returns the address at which the first entry serves callers.
func callerAddress(s *testSystem) string { return listenAddress(s.hosts[workerCount], "front") }

func listenAddress(h *host, server string) string {
	return h.settings["listen"].(map[string]string)[server]
}

func randomJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answersOrdinaryRequest reports whether the entry accepts a job of an ordinary
// caller, which repeats its requests on new connections.
func answersOrdinaryRequest(s *testSystem) bool {
	c := newCallers(s)
	defer c.client.CloseIdleConnections()
	for started := time.Now(); time.Since(started) < crowdAnswerLimit; {
		j := &submittedJob{id: structs.JobID(randomJobID()), tasksPerStep: []int{1}}
		s.checker.addJob(j)
		if status, _ := c.call(context.Background(), 0, "POST", j.id, j.body()); status == 200 {
			return true
		}
		time.Sleep(crowd.ReconnectPause)
	}
	return false
}

// checkProcesses checks that every process still runs and has stayed within its
// host.
func (s *testSystem) checkProcesses(t *testing.T, descriptorPeaks map[string]int) {
	t.Helper()
	for _, h := range s.hosts {
		for _, violation := range h.process.exitViolations() {
			t.Error(violation)
		}
		pid := h.process.pid()
		if pid == 0 {
			t.Errorf("%s does not run", h.name)
			continue
		}
		peakMB, err := crowd.PeakMemoryMB(pid)
		if err != nil {
			t.Error(err)
		}
		t.Logf("%s: %d MB, %d descriptors at the peak", h.name, peakMB, descriptorPeaks[h.name])
		if peakMB > crowdMemoryMB {
			t.Errorf("%s had %d MB at the peak, its host has %d", h.name, peakMB, crowdMemoryMB)
		}
		if n := descriptorPeaks[h.name]; n > crowdMaxDescriptors {
			t.Errorf("%s had %d descriptors at the peak, its host has %d", h.name, n, crowdMaxDescriptors)
		}
	}
}

// watchDescriptors counts the descriptors of each process until the returned
// function is called, which returns the peaks by host.
func (s *testSystem) watchDescriptors(t *testing.T) func() map[string]int {
	peaks := map[string]int{}
	ctx, cancel := context.WithCancel(t.Context())
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for ctx.Err() == nil {
			for _, h := range s.hosts {
				peaks[h.name] = max(peaks[h.name], crowd.DescriptorCount(h.process.pid()))
			}
			time.Sleep(samplePause)
		}
	})
	return func() map[string]int {
		cancel()
		watcher.Wait()
		return peaks
	}
}
