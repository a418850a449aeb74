package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/daisywall/daisywall/standin"
)

// faults is a random series of faults. Each ends by itself; they overlap.
type faults struct {
	site    *testSite
	rng     *rand.Rand
	begun   time.Time
	version int
	ending  sync.WaitGroup

	mu    sync.Mutex
	trace []string
}

func (f *faults) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// play begins faults for a while.
func (f *faults) play(d time.Duration) {
	for time.Since(f.begun) < d {
		f.act()
		time.Sleep(time.Duration(f.rng.IntN(600)) * time.Millisecond)
	}
}

// after ends a fault.
func (f *faults) after(d time.Duration, end func()) {
	f.ending.Go(func() {
		time.Sleep(d)
		end()
	})
}

func (f *faults) host() *host   { return f.site.hosts[f.rng.IntN(len(f.site.hosts))] }
func (f *faults) worker() *host { return f.site.hosts[f.rng.IntN(workerHosts)] }

func (f *faults) span() time.Duration {
	return time.Duration(100+f.rng.IntN(int(longestFault.Milliseconds())-100)) * time.Millisecond
}

// act begins one fault.
func (f *faults) act() {
	actions := []func(){
		f.kill, f.kill, f.pause, f.terminate, f.reload, f.spoilLink, f.spoilLink, f.resetLink,
		f.cutHost, f.spoilStore, f.spoilStore, f.loseHistory, f.crashRunner, f.restartRunner, f.leaveUnanswered, f.drainRunner, f.reconfigure,
	}
	actions[f.rng.IntN(len(actions))]()
}

// start starts a program again. It was started once, so that it can be.
func (f *faults) start(h *host) {
	if err := h.process.start(); err != nil {
		f.site.checker.fault("%v", err)
	}
}

func (f *faults) kill() {
	h, down := f.host(), time.Duration(f.rng.IntN(1500))*time.Millisecond
	f.note("kill %s, start after %s", h.name, down)
	f.ending.Go(func() {
		h.process.end(syscall.SIGKILL)
		time.Sleep(down)
		f.start(h)
	})
}

func (f *faults) terminate() {
	h := f.host()
	f.note("terminate %s", h.name)
	f.ending.Go(func() {
		h.process.end(syscall.SIGTERM)
		f.start(h)
	})
}

func (f *faults) pause() {
	h, d := f.host(), f.span()
	f.note("pause %s for %s", h.name, d)
	h.process.signal(syscall.SIGSTOP)
	f.after(d, func() { h.process.signal(syscall.SIGCONT) })
}

// reload changes the settings file, with a field that is not known.
func (f *faults) reload() {
	h := f.host()
	f.note("reload %s", h.name)
	changed := map[string]any{"new_field": f.rng.IntN(100)}
	for k, v := range h.settings {
		changed[k] = v
	}
	document, err := json.Marshal(changed)
	if err == nil {
		err = h.process.configure(document)
	}
	if err != nil {
		f.site.checker.fault("settings of %s: %v", h.name, err)
	}
	h.process.signal(syscall.SIGHUP)
}

func (f *faults) link() *link {
	links := f.site.allLinks()
	return links[f.rng.IntN(len(links))]
}

func (f *faults) spoilLink() {
	l, d := f.link(), f.span()
	var fault linkFault
	switch f.rng.IntN(4) {
	case 0:
		fault.delay = time.Duration(20+f.rng.IntN(300)) * time.Millisecond
	case 1:
		fault.cut[forth] = true
	case 2:
		fault.cut[back] = true
	default:
		fault.cut = [2]bool{true, true}
	}
	f.note("link to %s for %s: %+v", l.to, d, fault)
	l.set(fault)
	f.after(d, func() { l.set(linkFault{}) })
}

func (f *faults) resetLink() {
	l, silent := f.link(), f.rng.IntN(2) == 0
	f.note("connections to %s end, silently: %v", l.to, silent)
	if silent {
		l.silenceAll()
	} else {
		l.resetAll()
	}
}

func (f *faults) cutHost() {
	h, d := f.host(), f.span()
	f.note("cut %s off for %s", h.name, d)
	h.setCut(true)
	f.after(d, func() { h.setCut(false) })
}

func (f *faults) spoilStore() {
	modes := []standin.StoreMode{standin.StoreRefuses, standin.StoreSilent, standin.StoreLoses, standin.StoreLate}
	mode, d := modes[f.rng.IntN(len(modes))], f.span()
	hosts := []*host{f.host()}
	if f.rng.IntN(3) == 0 {
		hosts = f.site.hosts
	}
	f.note("store in mode %d for %d hosts (%s) for %s", mode, len(hosts), hosts[0].name, d)
	for _, h := range hosts {
		h.store.Set(mode)
	}
	f.after(d, func() {
		for _, h := range hosts {
			h.store.Set(standin.StoreServes)
		}
	})
}

func (f *faults) loseHistory() {
	f.note("store forgets its history")
	f.site.store.LoseHistory()
}

func (f *faults) crashRunner() {
	h, d, dark := f.worker(), f.span(), f.rng.IntN(2) == 0
	f.note("runner of %s crashes for %s, silently: %v", h.name, d, dark)
	h.runner.Crash(dark)
	f.after(d, h.runner.Restart)
}

func (f *faults) restartRunner() {
	h := f.worker()
	f.note("runner of %s restarts", h.name)
	h.runner.Restart()
}

func (f *faults) leaveUnanswered() {
	h, n := f.worker(), 1+f.rng.IntN(3)
	f.note("runner of %s leaves %d starts unanswered", h.name, n)
	h.runner.LeaveUnanswered(n)
}

func (f *faults) drainRunner() {
	h, d := f.worker(), f.span()
	f.note("runner of %s drains for %s", h.name, d)
	h.runner.SetDraining(true)
	f.after(d, func() {
		h.runner.Restart()
		h.runner.SetDraining(false)
	})
}

// reconfigure changes the configuration, sometimes with a failure domain out.
func (f *faults) reconfigure() {
	f.version++
	var drained []string
	if f.rng.IntN(2) == 0 {
		drained = append(drained, domainName(f.rng.IntN(domains)))
	}
	f.note("configuration %d, drained %v", f.version+1, drained)
	if err := f.site.configure(f.version+1, drained); err != nil {
		f.site.checker.fault("configure: %v", err)
	}
}

// heal ends all faults.
func (f *faults) heal() {
	f.ending.Wait()
	f.note("heal")
	for _, h := range f.site.hosts {
		h.setCut(false)
		h.store.Set(standin.StoreServes)
		h.process.signal(syscall.SIGCONT)
		f.start(h)
		if h.runner == nil {
			continue
		}
		h.runner.LeaveUnanswered(0)
		if h.runner.Away() {
			h.runner.Restart()
		}
	}
	for _, l := range f.site.allLinks() {
		l.set(linkFault{})
	}
	if err := f.site.configure(f.version+2, nil); err != nil {
		f.site.checker.fault("configure: %v", err)
	}
}
