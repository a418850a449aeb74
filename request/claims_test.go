package request

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// TestKeyRepeatedAfterTheAgentForgotNeverRunsAgain repeats a key later than
// the agent remembers its request, for which the claim still stands.
func TestKeyRepeatedAfterTheAgentForgotNeverRunsAgain(t *testing.T) {
	for _, wait := range []time.Duration{time.Minute, keyRetention - time.Second, keyRetention + time.Minute, 5 * time.Hour} {
		t.Run(wait.String(), func(t *testing.T) {
			inWorld(t, 3, 8, 10*time.Millisecond, func(t *testing.T, w *world) {
				is := is.New(t)
				c := call("alert", "r1")
				c.Key = "key"
				_, err := w.router().Do(context.Background(), c)
				is.NoErr(err)
				time.Sleep(wait)
				w.refresh()
				answer, err := w.router().Do(context.Background(), c)
				is.Equal(w.history.runs()["r1"], 1)
				var unknown *structs.UnknownOutcomeError
				is.True(errors.As(err, &unknown) || isWhole(answer, "r1"))
			})
		})
	}
}
