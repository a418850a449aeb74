package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// latencyTarget is the latency target of the simulated services.
const latencyTarget = 18 * time.Millisecond

// Prefixes of the IDs of simulated jobs.
const (
	servicePrefix = "service-"
	noisyPrefix   = "noisy-" // filling tasks that interfere with the services
	calmPrefix    = "calm-"  // filling tasks that don't

	lastingNoisyJob = noisyPrefix + "lasting"
)

// simulatedLatency computes the latency of the services of a fleet from their
// load and from the real paces of the filling tasks beside them.
type simulatedLatency struct {
	fleet    *simulatedFleet
	rng      *rand.Rand
	scenario latencyScenario

	mu       sync.Mutex
	samples  map[structs.RunID][]latencySample // of the last reading window
	periods  map[structs.RunID]*overTargetPeriod
	longest  time.Duration // longest period of any service
	overTime time.Duration // time over target because of filling tasks, of all services
	work     time.Duration // work of the filling tasks, as time at full pace
}

type latencySample struct {
	at    time.Time
	ratio float64
}

// overTargetPeriod is a period in which a service is over its target because of
// filling tasks, without a gap as long as a reading window.
type overTargetPeriod struct{ since, last time.Time }

const (
	sampleInterval     = 20 * time.Millisecond
	sampledWindow      = 500 * time.Millisecond // period that one reading covers
	loadPeriod         = 10 * time.Second
	readingErrorSpread = 0.12 // largest relative error of a reading
)

// latencyScenario describes the services and the filling tasks of a fleet.
type latencyScenario struct {
	meanLoad   float64       // latency without filling tasks as a ratio to the target
	loadSwing  float64       // amplitude of the load as a share of its mean
	noisyRatio float64       // growth of the ratio by one noisy task at full pace
	width      int32         // number of tasks of each filling job
	images     int           // number of images of the noisy tasks, and of the calm ones
	pollDelay  time.Duration // longest delay of the answer with the readings
	// lastingNoisyTask adds a noisy task that runs until the end to each host.
	lastingNoisyTask bool
	// everySecond is called with the number of each second. It may be nil.
	everySecond func(c *colocatedFleet, second int)
}

// run samples the latencies until stop is closed.
func (s *simulatedLatency) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(sampleInterval):
			for _, h := range s.fleet.hosts {
				s.sampleHost(h)
			}
		}
	}
}

func (s *simulatedLatency) load(now time.Time) float64 {
	phase := 2 * math.Pi * now.Sub(s.fleet.start).Seconds() / loadPeriod.Seconds()
	return s.scenario.meanLoad * (1 + s.scenario.loadSwing*math.Sin(phase))
}

func (s *simulatedLatency) sampleHost(h *simulatedHost) {
	now := time.Now()
	paces := h.runner.Paces()
	working, interference := false, 0.0
	s.mu.Lock()
	defer s.mu.Unlock()
	for run, pace := range paces {
		switch job := string(run.Task.Job); {
		case strings.HasPrefix(job, servicePrefix):
			continue
		case strings.HasPrefix(job, noisyPrefix):
			interference += s.scenario.noisyRatio * float64(pace) / 100
		}
		working = working || pace > 0
		s.work += sampleInterval * time.Duration(pace) / 100
	}
	load := s.load(now)
	for run := range paces {
		if !strings.HasPrefix(string(run.Task.Job), servicePrefix) {
			continue
		}
		ratio := load * (1 + interference)
		kept := s.samples[run]
		for len(kept) > 0 && now.Sub(kept[0].at) > sampledWindow {
			kept = kept[1:]
		}
		s.samples[run] = append(kept, latencySample{at: now, ratio: ratio})
		if ratio > 1 && load <= 1 && working {
			s.extendPeriod(run, now)
		}
	}
}

func (s *simulatedLatency) extendPeriod(run structs.RunID, now time.Time) {
	period := s.periods[run]
	if period == nil || now.Sub(period.last) > sampledWindow {
		period = &overTargetPeriod{since: now}
		s.periods[run] = period
	}
	period.last = now
	s.longest = max(s.longest, now.Sub(period.since))
	s.overTime += sampleInterval
}

// reading returns the highest latency of the last window in milliseconds, with
// a random error.
func (s *simulatedLatency) reading(_ *simulatedHost, run structs.RunID) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	worst := 0.0
	for _, sample := range s.samples[run] {
		worst = max(worst, sample.ratio)
	}
	roughness := 1 + readingErrorSpread*(2*s.rng.Float64()-1)
	return int64(math.Round(worst * roughness * float64(latencyTarget.Milliseconds())))
}

// randomDelay returns a random delay of up to limit.
func (s *simulatedLatency) randomDelay(rng *rand.Rand, limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(rng.Int64N(int64(limit) + 1))
}

// colocatedFleet is a fleet whose hosts run services while filling tasks
// arrive.
type colocatedFleet struct {
	*simulatedFleet
	latency *simulatedLatency
	entry   *Entry
}

// submitServices submits one service task for each host.
func (c *colocatedFleet) submitServices() error {
	return c.submit(c.entry, serviceJob(len(c.hosts)))
}

// serviceJob returns a job of one service task for each of the hosts.
func serviceJob(hosts int) *structs.StepJob {
	j := testJob(servicePrefix+"web", int32(hosts))
	step := &j.Steps[0]
	step.LongRunning, step.LatencyTarget, step.Image, step.MaxPerWorker = true, latencyTarget, "web", 1
	return j
}

// submitLastingNoisyTasks submits one noisy task that runs until the end for
// each host.
func (c *colocatedFleet) submitLastingNoisyTasks() error {
	j := testJob(lastingNoisyJob, int32(len(c.hosts)))
	step := &j.Steps[0]
	step.LongRunning, step.Fills, step.Image, step.MaxPerWorker = true, true, lastingNoisyJob, 1
	return c.submit(c.entry, j)
}

// submitFill submits a job of filling tasks.
func (c *colocatedFleet) submitFill(prefix string, number int, scenario latencyScenario) error {
	j := testJob(fmt.Sprintf("%s%d", prefix, number), scenario.width)
	step := &j.Steps[0]
	step.Fills, step.Image = true, fmt.Sprintf("%s%d", prefix, number%scenario.images)
	return c.submit(c.entry, j)
}

// A service counts as over its target only if it would be within it without filling tasks.
func TestFillingTasksDontKeepAServiceOverItsTarget(t *testing.T) {
	strong := latencyScenario{meanLoad: 0.5, loadSwing: 0.5, noisyRatio: 9, width: 1, images: 5}
	withFaults := func(everySecond func(c *colocatedFleet, second int)) latencyScenario {
		s := strong
		s.everySecond = everySecond
		return s
	}
	cases := []struct {
		name     string
		scenario latencyScenario
	}{
		{"strong interference", strong},
		{"slight interference", latencyScenario{meanLoad: 0.62, loadSwing: 0.5, noisyRatio: 0.35, width: 1, images: 5}},
		{"strong interference beside a paused suspect", latencyScenario{meanLoad: 0.6, loadSwing: 0.3, noisyRatio: 9, lastingNoisyTask: true, width: 1, images: 1000}},
		{"wide jobs of unknown images", latencyScenario{meanLoad: 0.5, loadSwing: 0.5, noisyRatio: 9, width: 6, images: 1000}},
		{"readings are delayed", latencyScenario{meanLoad: 0.5, loadSwing: 0.5, noisyRatio: 9, pollDelay: 200 * time.Millisecond, width: 1, images: 5}},
		{"pace calls are delayed", withFaults(func(c *colocatedFleet, second int) {
			for _, h := range c.hosts {
				h.runner.SetPaceCallDelay(time.Duration(second%4) * 100 * time.Millisecond)
			}
		})},
		{"pace calls are unanswered and carried out late", withFaults(func(c *colocatedFleet, second int) {
			for _, h := range c.hosts {
				h.runner.WithholdPaceReplies(second % 3)
			}
		})},
		{"sessions are replaced", withFaults(func(c *colocatedFleet, second int) {
			if second%3 == 0 {
				c.hosts[second/3%len(c.hosts)].dropSession()
			}
		})},
		{"leaders are replaced", withFaults(func(c *colocatedFleet, second int) {
			leader := c.leaderHost()
			if second%8 == 4 && leader != nil {
				leader.killAgent()
				leader.startAgent()
			}
		})},
		{"the leader is unreachable", withFaults(func(c *colocatedFleet, second int) {
			leader := c.leaderHost()
			if second%12 == 4 && leader != nil {
				leader.setPartitioned(true)
				time.AfterFunc(6*time.Second, func() { leader.setPartitioned(false) })
			}
		})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(latencySeeds) {
				latency := playColocatedFleet(t, seed, c.scenario)
				t.Logf("seed %d: longest %s, over target %s, work %s", seed, latency.longest, latency.overTime, latency.work)
				if limit := (Timing{}).withDefaults().ViolationLimit; latency.longest > limit {
					t.Errorf("seed %d: filling tasks kept a service over its target for %s, the limit is %s", seed, latency.longest, limit)
				}
			}
		})
	}
}

// Parameters of playColocatedFleet.
const (
	playSeconds    = 30
	fillsPerSecond = 4
	fillRunTime    = 8 * time.Second
	latencySeeds   = 2 // number of seeds of each scenario
)

// playColocatedFleet plays services beside a stream of filling tasks for
// playSeconds seconds.
func playColocatedFleet(t *testing.T, seed uint64, scenario latencyScenario) *simulatedLatency {
	t.Helper()
	var latency *simulatedLatency
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 3)
		defer f.close()
		rng := rand.New(rand.NewPCG(seed, 1))
		latency = &simulatedLatency{
			fleet: f, rng: rand.New(rand.NewPCG(seed, 2)), scenario: scenario,
			samples: map[structs.RunID][]latencySample{}, periods: map[structs.RunID]*overTargetPeriod{},
		}
		f.reading.set(latency.reading)
		pollDelays := rand.New(rand.NewPCG(seed, 3))
		f.beforePoll.set(func(*simulatedHost) { time.Sleep(latency.randomDelay(pollDelays, scenario.pollDelay)) })
		f.runTime.set(func(r structs.RunID) time.Duration { return fillRunTime })
		f.longRunning.set(func(r structs.RunID) bool {
			return strings.HasPrefix(string(r.Task.Job), servicePrefix) || r.Task.Job == lastingNoisyJob
		})
		c := &colocatedFleet{simulatedFleet: f, latency: latency, entry: f.newEntry()}
		defer c.entry.Close()
		f.waitReady()
		if err := c.submitServices(); err != nil {
			t.Fatal(err)
		}
		if scenario.lastingNoisyTask {
			if err := c.submitLastingNoisyTasks(); err != nil {
				t.Fatal(err)
			}
		}
		stop := make(chan struct{})
		defer close(stop)
		go latency.run(stop)
		for number := range playSeconds * fillsPerSecond {
			if scenario.everySecond != nil && number%fillsPerSecond == 0 {
				scenario.everySecond(c, number/fillsPerSecond)
			}
			prefix := calmPrefix
			if rng.IntN(2) == 0 {
				prefix = noisyPrefix
			}
			go func() { _ = c.submitFill(prefix, number, scenario) }() // refused while there is no leader
			time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second / fillsPerSecond))))
		}
	})
	return latency
}
