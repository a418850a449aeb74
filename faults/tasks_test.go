package faults

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// fault is brought about on cell a, whose failure domain is north.
type fault struct {
	begin func(w *world)
	lasts time.Duration // before everything is healed
	exact bool          // evicted tasks resume from the very last checkpoint
}

func runtimes(w *world, set func(f *standin.Faults)) {
	for _, r := range w.platform.Runtimes {
		set(&r.Faults)
	}
}

var taskFaults = map[string]fault{
	"nothing":               {func(*world) {}, 0, true},
	"table refuses":         {func(w *world) { w.platform.Table.Faults.Refuse(standin.Every) }, 30 * time.Second, false},
	"table silent":          {func(w *world) { w.platform.Table.Faults.Silence(standin.Every) }, 30 * time.Second, false},
	"table slow":            {func(w *world) { w.platform.Table.Faults.Delay(callTimeout*3/4, standin.Every) }, 30 * time.Second, false},
	"table too slow":        {func(w *world) { w.platform.Table.Faults.Delay(callTimeout*3/2, standin.Every) }, 10 * time.Second, false},
	"table paused":          {func(w *world) { w.platform.Table.Faults.Pause() }, 10 * time.Second, false},
	"table loses answers":   {func(w *world) { w.platform.Table.Faults.LoseAnswer(4) }, 10 * time.Second, false},
	"objects refuse":        {func(w *world) { w.platform.Objects.Faults.Refuse(standin.Every) }, 10 * time.Second, false},
	"objects silent":        {func(w *world) { w.platform.Objects.Faults.Silence(standin.Every) }, 10 * time.Second, false},
	"leader killed":         {func(w *world) { w.restart(w.leader("a")) }, 0, false},
	"leader frozen":         {func(w *world) { w.leader("a").gate.freeze() }, 40 * time.Second, false},
	"leader off the table":  {func(w *world) { w.leader("a").set(func(p *process) { p.cut = true }) }, 40 * time.Second, false},
	"leader isolated":       {func(w *world) { w.leader("a").set(func(p *process) { p.isolated = true }) }, 40 * time.Second, false},
	"agent killed":          {func(w *world) { w.restart(w.follower("a")) }, 0, false},
	"agent frozen":          {func(w *world) { w.follower("a").gate.freeze() }, 40 * time.Second, false},
	"agent isolated":        {func(w *world) { w.follower("a").set(func(p *process) { p.isolated = true }) }, 40 * time.Second, false},
	"every agent killed":    {restartAll, 0, false},
	"runtime restarts":      {func(w *world) { w.platform.Runtimes[w.follower("a").worker.ID].Restart() }, 0, false},
	"runtimes refuse":       {func(w *world) { runtimes(w, func(f *standin.Faults) { f.Refuse(standin.Every) }) }, 8 * time.Second, false},
	"runtimes silent":       {func(w *world) { runtimes(w, func(f *standin.Faults) { f.Silence(5) }) }, 8 * time.Second, false},
	"runtimes slow":         {func(w *world) { runtimes(w, func(f *standin.Faults) { f.Delay(2*time.Second, 5) }) }, 8 * time.Second, false},
	"runtimes lose answers": {func(w *world) { runtimes(w, func(f *standin.Faults) { f.LoseAnswer(4) }) }, 8 * time.Second, false},
	"messages late":         {func(w *world) { w.delay(&w.delays, 5*time.Second, 12) }, 10 * time.Second, false},
	"assignments late":      {func(w *world) { w.delay(&w.assigns, 5*time.Second, 8) }, 10 * time.Second, false},
	"domain out":            {func(w *world) { w.setDomain("north", true) }, 20 * time.Second, true},
	"agent frozen and table paused": {func(w *world) {
		w.follower("a").gate.freeze()
		w.platform.Table.Faults.Pause()
	}, 10 * time.Second, false},
	"leader killed and table silent": {func(w *world) {
		w.platform.Table.Faults.Silence(standin.Every)
		w.restart(w.leader("a"))
	}, 20 * time.Second, false},
}

func restartAll(w *world) {
	w.mu.Lock()
	all := append([]*process{}, w.processes...)
	w.mu.Unlock()
	for _, p := range all {
		w.restart(p)
	}
}

// taskSteps reports whether a job has come as far as the step on cell a.
var taskSteps = map[string]func(w *world, events []standin.Event) bool{
	"submitted": func(*world, []standin.Event) bool { return true },
	"assigning": func(w *world, _ []standin.Event) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.assigned > 0
	},
	"running": func(_ *world, events []standin.Event) bool { return seen(events, standin.EventStarted) >= 6 },
	"evicting": func(w *world, _ []standin.Event) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.asked[daisywallpb.Action_VERB_EVICT] > 0
	},
	"evicted": func(_ *world, events []standin.Event) bool { return seen(events, standin.EventStopped) > 0 },
	"ending":  func(_ *world, events []standin.Event) bool { return seen(events, standin.EventExited) > 0 },
}

func seen(events []standin.Event, kind standin.EventKind) int {
	n := 0
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

const (
	tasks        = 10
	instances    = 2
	settledLimit = 5 * time.Minute
	// worldsAtOnce bounds the processors that the tests use.
	worldsAtOnce = 4
)

func TestEveryFaultAtEveryStepOfATask(t *testing.T) {
	room := make(chan struct{}, worldsAtOnce)
	for name, f := range taskFaults {
		for step, reached := range taskSteps {
			t.Run(name+"/"+step, func(t *testing.T) {
				t.Parallel()
				room <- struct{}{}
				defer func() { <-room }()
				synctest.Test(t, func(t *testing.T) { faultAtStep(t, f, step, reached) })
			})
		}
	}
}

func faultAtStep(t *testing.T, f fault, step string, reached func(*world, []standin.Event) bool) {
	is := is.New(t)
	w := newWorld(t, planted{})
	defer w.close()
	w.exact = f.exact
	is.NoErr(w.platform.Objects.Put(context.Background(), "input", []byte("8s")))
	is.NoErr(standin.PutSamples(context.Background(), w.platform.Objects))
	time.Sleep(10 * time.Second) // leaders are elected, and ledgers are open
	service := w.submit("service", structs.WorkService, "watcher", standin.SampleKey("watcher"), instances)
	is.True(eventually(time.Minute, func() bool { return running(w.platform.History.Events(), service) == instances }))
	w.mu.Lock()
	w.assigned = 0
	w.mu.Unlock()
	before := len(w.platform.History.Events())
	job := w.submit("job", structs.WorkBatch, "sleep", "input", tasks)
	if step == "evicting" || step == "evicted" {
		is.True(eventually(time.Minute, func() bool { return running(w.platform.History.Events(), job) > 0 }))
		w.setDomain("north", true)
	}
	is.True(eventually(time.Minute, func() bool { return reached(w, w.platform.History.Events()[before:]) }))
	f.begin(w)
	time.Sleep(f.lasts)
	w.heal()
	w.setDomain("north", false)
	status, done := w.settled(job, settledLimit)
	is.Equal(w.verdict(), nil)
	is.True(done)
	is.Equal(status.Finished, int32(tasks))
	is.True(eventually(settledLimit, func() bool { return running(w.platform.History.Events(), service) == instances }))
	time.Sleep(20 * time.Second)
	is.Equal(w.verdict(), nil)
	is.Equal(running(w.platform.History.Events(), service), instances)
}
