package soak

import (
	"fmt"
	"testing"
)

// regressions are the seeds that failed once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{10, "a stop of an agent waited for the rest of a report on a connection that had gone silent"},
	{13, "a stop of an agent waited two minutes for the handshake of a peer that had gone silent"},
	{20, "a new session ordered a start whose assignment was not stored yet, and it ran twice under one number; " +
		"a start that reached the runner's next incarnation was taken for lost, and ran twice"},
	{28, "a reload after the services had stopped, but before the process had, ended it"},
	{439, "fault of the harness: an answer that was delayed on its way was taken for a step back"},
	{44, "a reload while packages were being initialized ended the process"},
}

func TestSeedsThatFailedBefore(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			t.Parallel()
			play(t, r.seed)
		})
	}
}
