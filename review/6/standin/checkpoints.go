package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/daisywall/daisywall/structs"
)

const (
	checkpointJob   = "00000000000000c1"
	checkpointTasks = 500
	checkpointBytes = 1000
	crashedFor      = 4500 * time.Millisecond
)

// markupCheckpoint returns the checkpoint of a run: a list of shards with their positions as XML.
func markupCheckpoint(id structs.RunID) string {
	var b strings.Builder
	for i := 0; ; i++ {
		row := fmt.Sprintf("<s><n>%d</n><p>%d</p></s>", i, 7*i+int(id.Task.Index))
		if b.Len()+len(row) > checkpointBytes {
			return b.String()
		}
		b.WriteString(row)
	}
}

// plainCheckpoint returns a checkpoint of the same length without markup.
func plainCheckpoint(structs.RunID) string { return strings.Repeat("0123456789", checkpointBytes/10) }

// playCheckpoints runs one job of many tasks that write checkpoints. The disruption is a crash of the
// runners of one rack.
func (s *system) playCheckpoints(ctx context.Context, trouble bool) (broken bool, err error) {
	time.Sleep(4 * time.Second)
	body := fmt.Sprintf(`{"spec":"price","steps":[{"count":%d,"cpu":100,"mem_mb":100,"estimate_ms":%d,"checkpointing":true}]}`, checkpointTasks, s.shape.taskTime.Milliseconds())
	if err := s.submit(ctx, checkpointJob, body); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, h := range s.workers[:rackSize] {
			s.log.printf("the runner of %s crashes", h.name)
			h.runner.Crash(false)
		}
		time.Sleep(crashedFor)
		for _, h := range s.workers[:rackSize] {
			s.log.printf("the runner of %s starts again", h.name)
			h.runner.Restart()
		}
	}
	for range 25 {
		time.Sleep(time.Second)
		_, state := s.call(ctx, 0, http.MethodGet, checkpointJob, "")
		switch {
		case strings.Contains(state, "failed"):
			s.log.printf("LOST: the job is shown as failed, and %d of its runs have ended failed", s.watcher.failures())
			return s.watcher.failures() == 0, nil
		case strings.Contains(state, "completed"):
			return false, nil
		}
	}
	return false, nil
}
