package soak

import (
	"fmt"
	"testing"
)

// regressions are the seeds that have failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{10, "an agent that stopped waited for the rest of a report on a silent connection"},
	{13, "an agent that stopped waited two minutes for the handshake of a silent peer"},
	{20, "a new session ordered a start whose assignment was not stored yet, and the task ran twice under one number; " +
		"a start that reached the runner's next incarnation was considered lost, and the task ran twice"},
	{28, "a reload after the services had stopped, but before the process had exited, ended the process"},
	{439, "fault of the test harness: an answer that was delayed on its way was reported as a violation, as if the job had left its final state"},
	{7032, "a poll of a session acknowledged an end of the runner's next incarnation that had not been listed, and the task ran again"},
	{44, "a reload while packages were being initialized ended the process"},
}

func TestSeedsThatFailedBefore(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, r.seed, seedOptions{})
		})
	}
}
