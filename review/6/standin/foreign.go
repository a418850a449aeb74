package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	jobID     = "00000000000000a1"
	taskTime  = 20 * time.Second
	taskCount = 16
	// otherService is in no configuration.
	otherService = "other-svc"
	watchedFor   = 12 * time.Second
)

// playOtherRunner runs one job of long tasks. On one machine, a second runner, of a service that the
// configuration does not name, reports to the agent as often as the first one, half an interval after
// it. The disruption is a kill of the agent on that machine, which is started again at once.
func (s *system) playOtherRunner(ctx context.Context, trouble, other bool) (broken bool, err error) {
	time.Sleep(4 * time.Second)
	body := fmt.Sprintf(`{"spec":"price","steps":[{"count":%d,"cpu":1000,"mem_mb":100,"estimate_ms":%d}]}`, taskCount, taskTime.Milliseconds())
	if err := s.submit(ctx, jobID, body); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	h := s.workers[1]
	<-h.reported
	time.Sleep(heartbeat / 2)
	if other {
		if _, err := s.addRunner(ctx, h, "i-other", otherService); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * heartbeat)
	if trouble {
		<-h.reported
		s.kill(h)
		time.Sleep(restartDelay)
		if err := s.start(h); err != nil {
			return false, err
		}
	}
	time.Sleep(watchedFor)
	s.call(ctx, 0, http.MethodGet, jobID, "")
	return s.watcher.report(taskCount), nil
}
