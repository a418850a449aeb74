package faults

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// leaveLimit bounds the time in which a worker's runs are moved off.
const leaveLimit = 2 * time.Minute

// restartGracefully stops the agent process of a worker gracefully and starts another.
func (w *world) restartGracefully(p *process) error {
	ctx, cancel := context.WithTimeout(w.ctx, leaveLimit)
	defer cancel()
	if err := p.agent.Leave(ctx); err != nil {
		return err
	}
	p.cancel()
	p.done.Wait()
	w.boot(p.worker)
	return nil
}

func TestPlannedRestartsCutNoRunOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, planted{})
		defer w.close()
		w.exact = true
		is.NoErr(w.platform.Objects.Put(context.Background(), "input", []byte("40s")))
		is.NoErr(standin.PutSamples(context.Background(), w.platform.Objects))
		time.Sleep(10 * time.Second)
		service := w.submit("service", structs.WorkService, "watcher", standin.SampleKey("watcher"), instances)
		job := w.submit("job", structs.WorkBatch, "sleep", "input", tasks)
		is.True(eventually(time.Minute, func() bool {
			return running(w.platform.History.Events(), job)+running(w.platform.History.Events(), service) == tasks+instances
		}))
		w.mu.Lock()
		all := append([]*process{}, w.processes...)
		w.mu.Unlock()
		for _, p := range all {
			is.NoErr(w.restartGracefully(p))
			time.Sleep(10 * time.Second)
		}
		status, done := w.settled(job, settledLimit)
		is.True(done)
		is.Equal(status.Finished, int32(tasks))
		events := w.platform.History.Events()
		is.Equal(w.verdict(), nil)
		is.True(seen(events, standin.EventStopped) > 0)
		is.Equal(seen(events, standin.EventLapsed), 0)
		is.Equal(seen(events, standin.EventLost), 0)
		is.Equal(running(events, service), instances)
	})
}
