package steps

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func halfSecondRun(done float64) Progress {
	return Progress{Observed: 500 * time.Millisecond, Done: done, Left: 1 - done, RedoneOnRestart: done}
}

// One of four tasks that take a second runs on a worker that is six times
// slower.
func TestRunOnASlowWorkerIsAStraggler(t *testing.T) {
	is := is.New(t)
	is.Equal(Stragglers([]Progress{halfSecondRun(0.5), halfSecondRun(0.08), halfSecondRun(0.45), halfSecondRun(0.52)}), []int{1})
}

func TestModeratelySlowRunsAreNotStragglers(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Stragglers([]Progress{halfSecondRun(0.5), halfSecondRun(0.25), halfSecondRun(0.45), halfSecondRun(0.9)})), 0)
	is.Equal(len(Stragglers([]Progress{halfSecondRun(0.5), halfSecondRun(0.05)})), 0) // too few runs for a median
}

// A slow run is not restarted when its remaining work takes less time than all
// of the work on another worker.
func TestNearlyFinishedSlowRunIsNotRestarted(t *testing.T) {
	is := is.New(t)
	nearly := Progress{Observed: 5 * time.Second, Done: 0.9, Left: 0.1, RedoneOnRestart: 0.9}
	is.Equal(len(Stragglers([]Progress{halfSecondRun(0.5), nearly, halfSecondRun(0.45), halfSecondRun(0.52)})), 0)
	nearly.Left, nearly.Done, nearly.RedoneOnRestart = 0.9, 0.1, 0.1
	is.Equal(Stragglers([]Progress{halfSecondRun(0.5), nearly, halfSecondRun(0.45), halfSecondRun(0.52)}), []int{1})
}
