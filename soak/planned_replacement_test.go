package soak

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// leaderOffset is the time from the begin of a series of planned replacements to the
// SIGTERM of the leader. The others are at most as long before or after it.
const leaderOffset = 1500 * time.Millisecond

// Ages of the runner's incarnation at the planned stop of its agent, if the runner is
// restarted for it. A leader counts an incarnation as young for 14.5 s.
const (
	minRunnerAge = time.Second
	maxRunnerAge = 12 * time.Second
)

// A host that stays away is without an agent for longer than the leases that a leader grants last, so that a
// longer wait of the next leader shows. Only stops of
// the first part of the period are followed by that, so that a seed does not take longer for it, and
// only of so many hosts at a time that the others have room for all tasks.
const (
	minTimeAway  = 8 * time.Second
	maxTimeAway  = 12 * time.Second
	lastLongStop = 6 * time.Second // latest SIGTERM of a host that stays away, from the first fault
	maxHostsAway = 2
)

// replaceHostsAroundLeader begins the planned replacement of the leader and of one or two
// other hosts up to leaderOffset before or after it. In one of three cases the next leader is
// replaced too. A series does not wait for the stops of earlier ones. In two of three cases it is
// postponed, so that there is time for runners to begin again before it: in one of three cases those of
// all hosts at once, otherwise each of the chosen ones in two of three cases. The last series does not end later for it.
func (f *faultInjector) replaceHostsAroundLeader() {
	var offset time.Duration
	if isPostponed, share := f.rng.IntN(3) > 0, f.rng.Float64(); isPostponed {
		offset = max(0, time.Duration(share*float64(replacementPeriod-time.Since(f.startedAt))))
	}
	isForAll := f.rng.IntN(3) == 0
	if isForAll {
		restart := f.randomRestart(offset + leaderOffset)
		for _, h := range f.system.hosts[:workerCount] {
			restart.keepsID = f.rng.IntN(2) == 0
			f.restartRunnerBefore(offset+leaderOffset, func() *host { return h }, restart)
		}
	}
	replace := func(after time.Duration, choose func() *host) {
		if restart := f.randomRestart(offset + after); !isForAll && f.rng.IntN(3) > 0 {
			f.restartRunnerBefore(offset+after, choose, restart)
		}
		f.replaceHost(offset+after, choose)
	}
	replace(leaderOffset, f.leader)
	for range 1 + f.rng.IntN(2) {
		h, after := f.randomWorker(), time.Duration(f.rng.IntN(int(2*leaderOffset.Milliseconds())))*time.Millisecond
		replace(after, func() *host { return h })
	}
	if f.rng.IntN(3) == 0 {
		f.replaceHost(offset+leaderOffset+time.Duration(200+f.rng.IntN(1300))*time.Millisecond, f.leader)
	}
}

// runnerRestart is how a runner crashes and begins again.
type runnerRestart struct {
	keepsID  bool
	isSilent bool          // until it begins again it gives no answer, instead of refusing connections
	downtime time.Duration // time from the crash to the begin of the next incarnation
	// callDelay is the delay of the calls in the time slowTime before the crash. With it, the next
	// incarnation gets calls that the agent has sent to the one that has ended.
	slowTime, callDelay time.Duration
	age                 time.Duration // time from the begin of the next incarnation to SIGTERM, 0 if there is too little time
}

func (f *faultInjector) randomMilliseconds(lowest, highest int) time.Duration {
	return time.Duration(lowest+f.rng.IntN(highest-lowest)) * time.Millisecond
}

// randomRestart returns a restart that is complete between minRunnerAge and maxRunnerAge before the
// stop of the agent, which comes after the given time. If that is too short for the drawn age, the restart
// begins at once.
func (f *faultInjector) randomRestart(untilStop time.Duration) runnerRestart {
	r := runnerRestart{keepsID: f.rng.IntN(2) == 0}
	switch f.rng.IntN(4) {
	case 0:
		r.isSilent, r.downtime = true, f.randomMilliseconds(100, 2500)
	case 1:
		r.downtime = f.randomMilliseconds(100, 2500)
	case 2:
		r.slowTime, r.callDelay = f.randomMilliseconds(300, 1000), f.randomMilliseconds(50, 300)
	default: // an agent gives up such a call, and the runner carries it out later
		r.slowTime, r.callDelay = f.randomMilliseconds(300, 1000), f.randomMilliseconds(1000, 4000)
	}
	age := minRunnerAge + time.Duration(f.rng.Float64()*float64(maxRunnerAge-minRunnerAge))
	if longest := untilStop - r.downtime - r.slowTime; longest >= minRunnerAge {
		r.age = min(age, longest)
	}
	return r
}

// restartRunnerBefore restarts the runner of the chosen host so that its next incarnation has the
// age of the restart at the stop of the agent, which comes after the given time. The restart may
// overlap with others of the same runner and with replacements of its host.
func (f *faultInjector) restartRunnerBefore(untilStop time.Duration, choose func() *host, r runnerRestart) {
	if r.age == 0 {
		return
	}
	f.activeFaults.Go(func() {
		time.Sleep(untilStop - r.age - r.downtime - r.slowTime)
		h := choose()
		if h == nil {
			return
		}
		f.record("runner of %s begins again %s before a planned stop: %+v", h.name, r.age.Round(time.Millisecond), r)
		if r.slowTime > 0 {
			h.runnerLink.setFault(linkFault{delay: r.callDelay})
			time.Sleep(r.slowTime)
			h.runnerLink.setFault(linkFault{})
		} else {
			h.runner.Crash(r.isSilent)
			if !r.isSilent {
				h.runnerLink.refuse()
			}
			time.Sleep(r.downtime)
		}
		f.restartRunnerAs(h, r.keepsID)
	})
}

// runnerBegin is the begin of an incarnation of a runner.
type runnerBegin struct {
	at      time.Time
	keepsID bool
}

// restartRunnerAs begins the next incarnation of the runner of the host under the ID that it has or
// under a new one.
func (f *faultInjector) restartRunnerAs(h *host, keepsID bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if keepsID {
		h.runner.Restart()
	} else {
		f.runnerIDs++
		h.runner.RestartAs(fmt.Sprintf("%s-%d", h.runnerName, f.runnerIDs))
	}
	f.begun[h] = runnerBegin{time.Now(), keepsID}
	f.trace = append(f.trace, time.Now().Format("05.000 ")+fmt.Sprintf("runner of %s has begun as %s", h.name, h.runner.Info().Incarnation))
}

// youngStop is a kind of a planned stop of an agent whose runner had begun again at most maxRunnerAge before.
type youngStop struct{ ofLeader, keepsID, runnerEnds, staysAway bool }

// countYoungStop counts a planned stop of the agent that begins now, and returns the age of the
// runner's incarnation, 0 if the injector has not restarted it.
func (f *faultInjector) countYoungStop(h *host, kind youngStop) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	begin := f.begun[h]
	if begin.at.IsZero() {
		return 0
	}
	age := time.Since(begin.at)
	if age <= maxRunnerAge {
		kind.keepsID = begin.keepsID
		f.youngStops[kind]++
	}
	return age
}

// describeYoungStops returns one line for each kind of stops with a young runner.
func (f *faultInjector) describeYoungStops() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines []string
	for kind, n := range f.youngStops {
		lines = append(lines, fmt.Sprintf("%d planned stops at most %s after the begin of the runner: %+v", n, maxRunnerAge, kind))
	}
	slices.Sort(lines)
	return lines
}

// replaceHost sends SIGTERM to the agent of the chosen host after the given time, and
// starts it again after its end. In half of the cases the runner ends with it, at once or up to
// 0.3 s later, and the next incarnation begins with the next agent, under either ID. In half of the cases
// the host stays away if it can. A runner that does not end with the agent ends up to 1 s after it then, when nobody
// can notice it, or goes on until its lease lapses in one of four cases.
func (f *faultInjector) replaceHost(after time.Duration, choose func() *host) {
	runnerEnds, runnerDelay := f.rng.IntN(2) == 0, time.Duration(f.rng.IntN(2)*f.rng.IntN(300))*time.Millisecond
	down := time.Duration(500+f.rng.IntN(2500)) * time.Millisecond
	keepsID := f.rng.IntN(2) == 0
	staysAway, timeAway := f.rng.IntN(2) == 0, f.randomMilliseconds(int(minTimeAway.Milliseconds()), int(maxTimeAway.Milliseconds()))
	endsAlone, aloneFor := f.rng.IntN(4) > 0, f.randomMilliseconds(0, 1000)
	f.activeFaults.Go(func() {
		time.Sleep(after)
		leader := f.leader()
		h := choose()
		if h == nil || !f.beginReplacement(h) {
			return
		}
		if staysAway = staysAway && f.beginAbsence(); staysAway {
			down = timeAway
		}
		endsAlone = endsAlone && staysAway && !runnerEnds
		age := f.countYoungStop(h, youngStop{ofLeader: h == leader, runnerEnds: runnerEnds, staysAway: staysAway})
		f.record("replace %s (leader: %v), its runner (%s after its restart) ends: %v after %s, alone: %v %s after the agent, start it again %s after its end",
			h.name, h == leader, age.Round(time.Millisecond), runnerEnds, runnerDelay, endsAlone, aloneFor, down)
		var runnerEnd sync.WaitGroup
		endRunner := func(delay time.Duration) {
			runnerEnd.Go(func() {
				time.Sleep(delay)
				h.runner.Crash(false)
				h.runnerLink.refuse()
			})
		}
		if runnerEnds {
			endRunner(runnerDelay)
		}
		sent := time.Now()
		h.process.stop(syscall.SIGTERM)
		stopTime := time.Since(sent)
		f.record("%s has ended %s after SIGTERM", h.name, stopTime.Round(time.Millisecond))
		if endsAlone {
			endRunner(aloneFor)
		}
		time.Sleep(down)
		runnerEnd.Wait()
		if runnerEnds || endsAlone {
			f.restartRunnerAs(h, keepsID)
		}
		f.start(h)
		f.endReplacement(h, stopTime, staysAway)
	})
}

// beginAbsence reports whether a host that is being replaced may stay away.
func (f *faultInjector) beginAbsence() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away >= maxHostsAway || time.Since(f.startedAt) > lastLongStop {
		return false
	}
	f.away++
	return true
}

// beginReplacement reports whether the host is not being replaced already.
func (f *faultInjector) beginReplacement(h *host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replacing[h] {
		return false
	}
	f.replacing[h] = true
	return true
}

func (f *faultInjector) endReplacement(h *host, stopTime time.Duration, wasAway bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if wasAway {
		f.away--
	}
	delete(f.replacing, h)
	f.stops++
	f.longestStop = max(f.longestStop, stopTime)
}
