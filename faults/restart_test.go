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

// leaveLimit bounds the time until the runs of a leaving worker have moved to
// other workers.
const leaveLimit = 2 * time.Minute

// restartGracefully stops the agent process of a worker gracefully and starts a
// new one.
func (c *simCluster) restartGracefully(p *process) error {
	ctx, cancel := context.WithTimeout(c.ctx, leaveLimit)
	defer cancel()
	if err := p.agent.Drain(ctx); err != nil {
		return err
	}
	p.cancel()
	p.done.Wait()
	c.startProcess(p.worker)
	return nil
}

func TestGracefulRestartsCutOffNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newSimCluster(t, injectedBugs{})
		defer c.close()
		c.exactCheckpoints = true
		is.NoErr(c.platform.Objects.Put(context.Background(), "input", []byte("40s")))
		is.NoErr(standin.PutSamples(context.Background(), c.platform.Objects))
		time.Sleep(10 * time.Second)
		service := c.submit("service", structs.WorkService, "watcher", standin.SampleKey("watcher"), instanceCount)
		job := c.submit("job", structs.WorkBatch, "sleep", "input", taskCount)
		is.True(eventually(time.Minute, func() bool {
			return countRunning(c.platform.History.Events(), job)+countRunning(c.platform.History.Events(), service) == taskCount+instanceCount
		}))
		c.mu.Lock()
		all := append([]*process{}, c.processes...)
		c.mu.Unlock()
		for _, p := range all {
			is.NoErr(c.restartGracefully(p))
			time.Sleep(10 * time.Second)
		}
		status, done := c.waitForJob(job, completionLimit)
		is.True(done)
		is.Equal(status.Finished, int32(taskCount))
		events := c.platform.History.Events()
		is.Equal(c.violations(), nil)
		is.True(countEvents(events, standin.EventStopped) > 0)
		is.Equal(countEvents(events, standin.EventLapsed), 0)
		is.Equal(countEvents(events, standin.EventLost), 0)
		is.Equal(countRunning(events, service), instanceCount)
	})
}
