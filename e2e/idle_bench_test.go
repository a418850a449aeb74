package e2e

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	idleSettle = 10 * time.Second
	idlePeriod = 30 * time.Second
	// ticksPerSecond is the number of clock ticks per second, the unit of
	// processor times in /proc on Linux.
	ticksPerSecond = 100
)

// BenchmarkIdle measures the processor time and the memory that the daemons of
// an idle cluster use. The measured agent leads a cell of one worker.
//
//	go test -run '^$' -bench Idle -benchtime 1x ./e2e
func BenchmarkIdle(b *testing.B) {
	c := newClusterWith(b, clusterOptions{slots: 8})
	time.Sleep(idleSettle)
	for range b.N {
		agent, entry := cpuSeconds(b, c.agents[0]), cpuSeconds(b, c.entries[0])
		time.Sleep(idlePeriod)
		seconds := idlePeriod.Seconds()
		b.ReportMetric(100*(cpuSeconds(b, c.agents[0])-agent)/seconds, "agent-cpu-%")
		b.ReportMetric(100*(cpuSeconds(b, c.entries[0])-entry)/seconds, "entry-cpu-%")
		b.ReportMetric(float64(residentMB(b, c.agents[0])), "agent-MB")
		b.ReportMetric(float64(residentMB(b, c.entries[0])), "entry-MB")
	}
}

// cpuSeconds returns the processor time that a process has used.
func cpuSeconds(b *testing.B, p *process) float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	// The name in parentheses may contain spaces. User and system time are the
	// 14th and 15th fields.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	total := 0.0
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			b.Fatal(err)
		}
		total += ticks / ticksPerSecond
	}
	return total
}
