package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/substrate"
)

// Limits by which a report about the host's runner is judged. Another writer may send
// one that is valid and not true, in which the runner would be out of reach or all of
// its own reports would be outdated.
const (
	maxSequenceGap    = 10_000                 // reports of an incarnation that may be missing before one, about three hours
	confirmingReports = 3                      // reports in a row that confirm each other
	confirmationSpan  = 900 * time.Millisecond // shortest time from the first to the last of them; delayed reports may arrive together
	// confirmingIntervals is the same time in intervals of reports while the accepted runner may
	// live. It has room for two of the runner's own reports, either of which takes back the doubt.
	confirmingIntervals = 2.5
	answerValidity      = time.Second // how long after its answer to a poll the runner counts as alive
)

// claim is what a report says of the host's runner, compared with the last one that was
// accepted.
type claim int

const (
	claimCurrent  claim = iota // the next report of the current incarnation, or the first of one that may have replaced it
	claimDelayed               // an earlier report of the current incarnation
	claimChanged               // the current incarnation at another address, in another pool or domain, or far ahead in its sequence
	claimReplaced              // a later incarnation, although the current one answers
	claimEarlier               // an earlier incarnation
)

// String returns the claim as text for log lines.
func (c claim) String() string {
	return [...]string{"current", "delayed", "changed", "replaced", "earlier incarnation"}[c]
}

// doubtfulReports are the last reports in a row that contradict the accepted one and
// agree with each other.
type doubtfulReports struct {
	last  substrate.RunnerInfo
	count int
	first bootclock.Time // when the first one arrived
}

// isSameRunner reports whether two reports agree in what stays the same in the life of an
// incarnation.
func isSameRunner(a, b substrate.RunnerInfo) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Pool == b.Pool && a.FailureDomain == b.FailureDomain
}

// classify compares a report with the last one that was accepted. The caller holds mu.
func (h *host) classify(info substrate.RunnerInfo) claim {
	current := h.info
	switch {
	case current.Incarnation == "":
		return claimCurrent
	case info.Incarnation == current.Incarnation:
		switch {
		case info.Sequence <= current.Sequence:
			return claimDelayed
		case info.Sequence-current.Sequence > maxSequenceGap || !isSameRunner(info, current):
			return claimChanged
		}
		return claimCurrent
	case !info.StartedAt.After(current.StartedAt):
		return claimEarlier
	case h.isRunnerAnswering() && !current.Draining && !h.leaving:
		return claimReplaced
	default:
		return claimCurrent
	}
}

// isRunnerAnswering reports whether the current incarnation has just answered a poll. The
// caller holds mu.
func (h *host) isRunnerAnswering() bool {
	return !h.runnerGone && h.runs.incarnation == h.info.Incarnation && h.runs.failingFrom == 0 &&
		h.runs.listedAt != 0 && h.o.Clock().Sub(h.runs.listedAt) < answerValidity
}

// isConfirmed records a report that contradicts the accepted one, and reports whether it is
// to be believed: the reports before it agree, and none that agrees with the accepted one
// has come since. A claim that the accepted incarnation is no longer there is not, however often
// it is repeated, while that incarnation answers. The caller holds mu.
func (h *host) isConfirmed(info substrate.RunnerInfo, c claim) bool {
	d, now := &h.doubtful, h.o.Clock()
	if d.count == 0 || !isSameRunner(info, d.last) || info.Sequence <= d.last.Sequence || info.Sequence-d.last.Sequence > maxSequenceGap {
		*d = doubtfulReports{first: now}
	}
	d.last = info
	d.count++
	h.metrics.count(h.metrics.doubtfulReports, c.String())
	if d.count == 1 {
		h.o.Log.Info("doubtful report of a runner", zap.String("claim", c.String()), zap.String("runner", info.ID), zap.Int64("sequence", info.Sequence),
			zap.Int64("accepted_sequence", h.info.Sequence), zap.Time("born", info.StartedAt), zap.Time("accepted_born", h.info.StartedAt),
			zap.String("address", info.Address), zap.String("pool", string(info.Pool)), zap.String("domain", string(info.FailureDomain)))
	}
	isRefuted := h.isRunnerAnswering() && (c == claimEarlier || c == claimReplaced || info.Address != h.info.Address)
	return d.count >= confirmingReports && now.Sub(d.first) >= h.confirmationTime() && !isRefuted
}

// confirmationTime returns how long reports have to agree with each other. The caller holds mu.
func (h *host) confirmationTime() time.Duration {
	if h.runnerGone {
		return confirmationSpan
	}
	return max(confirmationSpan, time.Duration(confirmingIntervals*float64(h.o.RunnerReportInterval)))
}

// acceptReplacement accepts the report of a later incarnation that was doubted because the
// current one answered. The caller holds mu.
func (h *host) acceptReplacement() {
	if d := h.doubtful; d.count > 0 && d.last.StartedAt.After(h.info.StartedAt) {
		h.accept(d.last, claimReplaced)
	}
}
