package fleet

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/substrate"
)

const (
	identityReadPause  = time.Second // shortest time between two reads of the settings
	refusalLogInterval = time.Minute // time after which the same refusal is logged again
)

// identityCheck compares reports with what the settings of the host say of its runner. Unlike
// a report, the settings have one writer only. They may change without a signal.
type identityCheck struct {
	o       Options
	metrics *metrics

	mu       sync.Mutex
	identity substrate.RunnerIdentity
	readAt   bootclock.Time // last read of the settings, 0 before the first
	logged   refusal        // last refusal that was logged
	loggedAt bootclock.Time
}

// refusal identifies the refused reports of one writer for one reason.
type refusal struct{ runner, reason string }

// check returns *substrate.ForeignReportError for a report that is not of the host's runner.
func (c *identityCheck) check(info substrate.RunnerInfo) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.o.RunnerIdentity == nil {
		return nil
	}
	err := c.identity.Check(info)
	if now := c.o.Clock(); c.readAt == 0 || err != nil && now.Sub(c.readAt) >= identityReadPause {
		c.readAt = now
		c.read()
		err = c.identity.Check(info)
	}
	var foreign *substrate.ForeignReportError
	if errors.As(err, &foreign) {
		c.recordRefusal(info.ID, foreign.Field, err)
	}
	return err
}

// read reads the settings. The last valid ones hold if that fails. The caller holds mu.
func (c *identityCheck) read() {
	identity, err := c.o.RunnerIdentity()
	switch {
	case err != nil:
		c.o.Log.Warn("settings of the host's runner cannot be read", zap.Error(err))
	case identity != c.identity:
		c.o.Log.Info("settings of the host's runner", zap.String("address", identity.Address), zap.String("pool", string(identity.Pool)),
			zap.String("address_before", c.identity.Address), zap.String("pool_before", string(c.identity.Pool)))
		c.identity = identity
	}
}

// refuse records that a report was refused for the reason.
func (c *identityCheck) refuse(runner, reason string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordRefusal(runner, reason, err)
}

// recordRefusal counts the refusal, and logs it unless it repeats the last one. The caller holds mu.
func (c *identityCheck) recordRefusal(runner, reason string, err error) {
	c.metrics.count(c.metrics.refusedReports, reason)
	now, r := c.o.Clock(), refusal{runner: runner, reason: reason}
	if r == c.logged && now.Sub(c.loggedAt) < refusalLogInterval {
		return
	}
	c.logged, c.loggedAt = r, now
	c.o.Log.Warn("report of a runner refused", zap.String("runner", runner), zap.String("reason", reason), zap.Error(err))
}
