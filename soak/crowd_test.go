package soak

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Limits of the hosts that face a crowd, as their settings state them.
const (
	crowdMemoryMB       = 96
	crowdMaxDescriptors = 400
)

// Times of a crowd. No check depends on them.
const (
	crowdPeriod      = 6 * time.Second        // how long a crowd stays
	reconnectPause   = 200 * time.Millisecond // from the end of a member's connection to its next one
	samplePause      = 20 * time.Millisecond  // between two counts of a process's descriptors
	crowdAnswerLimit = 60 * time.Second       // after which a request counts as never answered
)

// runCrowd sends a crowd of clients that don't behave to an address of a system.
// Each member opens one connection after another; behave uses one until it is
// closed. The test checks that no process exits, that each stays within the
// memory and the descriptors that its settings state, and that ordinary
// requests are answered while the crowd stays and after it has gone.
func runCrowd(t *testing.T, members int, target func(*testSystem) string, behave func(net.Conn)) {
	t.Helper()
	runCrowdFor(t, crowdPeriod, members, target, behave)
}

// runCrowdFor is runCrowd with a crowd that stays for the given time.
func runCrowdFor(t *testing.T, period time.Duration, members int, target func(*testSystem) string, behave func(net.Conn)) {
	t.Helper()
	s := newSmallSystem(t)
	callers := newCallers(s)
	if !callers.waitForFirstAccepted(firstJobLimit) {
		t.Fatal("no job was accepted at the start")
	}
	peaks := s.watchDescriptors(t)
	ctx, cancel := context.WithTimeout(t.Context(), period)
	defer cancel()
	var crowd sync.WaitGroup
	for range members {
		crowd.Go(func() { runMember(ctx, target(s), behave) })
	}
	// The first half of the period lets the crowd assemble.
	time.Sleep(period / 2)
	if !answersOrdinaryRequest(s) {
		t.Error("no ordinary request was answered beside the crowd")
	}
	crowd.Wait()
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

// callerAddress returns the address at which the first entry serves callers.
func callerAddress(s *testSystem) string { return listenAddress(s.hosts[workerCount], "front") }

func listenAddress(h *host, server string) string {
	return h.settings["listen"].(map[string]string)[server]
}

func randomJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// runMember opens one connection after another until ctx ends.
func runMember(ctx context.Context, address string, behave func(net.Conn)) {
	var dialer net.Dialer
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", address); err == nil {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			behave(conn)
			stop()
			conn.Close()
		}
		select {
		case <-time.After(reconnectPause):
		case <-ctx.Done():
		}
	}
}

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
		time.Sleep(reconnectPause)
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
		peakMB, err := peakMemoryMB(pid)
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
				peaks[h.name] = max(peaks[h.name], descriptorCount(h.process.pid()))
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

func descriptorCount(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0 // the process has exited, which is reported elsewhere
	}
	return len(entries)
}

// peakMemoryMB returns the largest resident memory that a process has had.
func peakMemoryMB(pid int) (int, error) {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes / 1024, err
		}
	}
	return 0, fmt.Errorf("VmHWM of process %d: %w", pid, fs.ErrNotExist)
}

// sendAndWait writes the text and waits until the connection is closed.
func sendAndWait(conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err == nil {
		waitUntilClosed(conn)
	}
}

// waitUntilClosed reads and drops what arrives until the connection is closed.
func waitUntilClosed(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// sendInPieces writes the text in pieces with a pause between them. It returns
// an error once the connection is closed.
func sendInPieces(conn net.Conn, text string, size int, pause time.Duration) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return nil
}

// repeatUntilClosed writes the text again and again.
func repeatUntilClosed(conn net.Conn, text string, pause time.Duration) {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(pause)
	}
}
