package request

import (
	"context"
	"errors"
	"testing"

	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func TestAnswersEveryKindWhole(t *testing.T) {
	for _, kind := range []string{"alert", "lookup", "match"} {
		t.Run(kind, func(t *testing.T) {
			inWorld(t, 3, 8, 10*time.Millisecond, func(t *testing.T, w *world) {
				is := is.New(t)
				a, err := w.router().Do(context.Background(), call(kind, "r1"))
				is.NoErr(err)
				is.True(isWhole(a, "r1"))
				is.Equal(w.history.runs()["r1"], 1)
			})
		})
	}
}

func TestUnknownKindIsNotFound(t *testing.T) {
	inWorld(t, 1, 8, time.Millisecond, func(t *testing.T, w *world) {
		_, err := w.router().Do(context.Background(), call("nothing", "r1"))
		var missing *structs.NotFoundError
		is.New(t).True(errors.As(err, &missing))
	})
}
