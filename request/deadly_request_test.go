package request

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRequestThatEndsItsTargetsReachesOnlyAFew(t *testing.T) {
	for name, c := range map[string]struct {
		kind, key string
		most      int
	}{
		"idempotent": {"lookup", "", maxAttempts}, "hedged": {"match", "", maxAttempts},
		"not idempotent": {"alert", "", 1}, "not idempotent, with a key": {"alert", "key", 1},
	} {
		t.Run(name, func(t *testing.T) {
			inSimulatedCluster(t, 8, 8, time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
				is := is.New(t)
				r := cluster.newRouter()
				call := newCall(c.kind, deadlyRequest)
				call.Key = c.key
				_, err := r.Do(context.Background(), call)
				is.True(err != nil)
				time.Sleep(time.Minute)
				reached := cluster.history.executionCounts()[deadlyRequest]
				is.True(reached >= 1)
				is.True(reached <= c.most)
			})
		})
	}
}
