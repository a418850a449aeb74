package runtimes

import (
	"math"
	"time"
)

// StepRuns holds the run times of the finished tasks of one step. The zero value
// holds none.
type StepRuns struct {
	count float64
	mean  float64 // mean log run time on a worker of usual speed, in seconds
}

// Add adds the run time of a task on a worker of the given speed.
func (s *StepRuns) Add(took time.Duration, speed float64) {
	if took < minRunTime || took > maxRunTime {
		return
	}
	deviation := math.Log(took.Seconds()*speed) - s.mean
	s.count++
	if s.count > 1 {
		deviation = min(max(deviation, -outlierLimit), outlierLimit)
	}
	s.mean += deviation / s.count
}

// Expected returns the expected median run time of the tasks of the step that are
// not done, on a worker of usual speed. The finished ones say more about them than
// the class does.
func (s *StepRuns) Expected(e Estimate) time.Duration {
	if s.count == 0 {
		return e.Median
	}
	if e.Median <= 0 {
		return toDuration(s.mean)
	}
	expected := math.Log(max(e.Median, minRunTime).Seconds())
	share := s.count / (s.count + withinStepRatio)
	return toDuration(expected + share*(s.mean-expected))
}
