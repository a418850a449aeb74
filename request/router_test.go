package request

import (
	"context"
	"errors"
	"testing"

	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func TestEveryRequestKindGetsACompleteAnswer(t *testing.T) {
	for _, kind := range []string{"alert", "lookup", "match"} {
		t.Run(kind, func(t *testing.T) {
			inSimulatedCluster(t, 3, 8, 10*time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
				is := is.New(t)
				a, err := cluster.newRouter().Do(context.Background(), newCall(kind, "r1"))
				is.NoErr(err)
				is.True(isCompleteAnswer(a, "r1"))
				is.Equal(cluster.history.executionCounts()["r1"], 1)
			})
		})
	}
}

func TestUnknownKindIsNotFound(t *testing.T) {
	inSimulatedCluster(t, 1, 8, time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
		_, err := cluster.newRouter().Do(context.Background(), newCall("nothing", "r1"))
		var missing *structs.NotFoundError
		is.New(t).True(errors.As(err, &missing))
	})
}
