package steps

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(done float64) Progress {
	return Progress{Observed: 500 * time.Millisecond, Done: done, Left: 1 - done, Restarts: done}
}

// Load: one of four tasks of a second is on a worker that is six times slower.
func TestRunOnASlowWorkerIsAStraggler(t *testing.T) {
	is := is.New(t)
	is.Equal(Stragglers([]Progress{at(0.5), at(0.08), at(0.45), at(0.52)}), []int{1})
}

func TestUnevenRunsAreNoStragglers(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Stragglers([]Progress{at(0.5), at(0.25), at(0.45), at(0.9)})), 0)
	is.Equal(len(Stragglers([]Progress{at(0.5), at(0.05)})), 0) // too few to tell
}

// What is left takes less time on the slow worker than all of it elsewhere.
func TestRunThatIsNearlyDoneGoesOn(t *testing.T) {
	is := is.New(t)
	nearly := Progress{Observed: 5 * time.Second, Done: 0.9, Left: 0.1, Restarts: 0.9}
	is.Equal(len(Stragglers([]Progress{at(0.5), nearly, at(0.45), at(0.52)})), 0)
	nearly.Left, nearly.Done, nearly.Restarts = 0.9, 0.1, 0.1
	is.Equal(Stragglers([]Progress{at(0.5), nearly, at(0.45), at(0.52)}), []int{1})
}
