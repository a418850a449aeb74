package placement

import (
	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/placement/estimate"
)

// changeLeader loses what the planner remembers at the end of a term, and what
// the model has learned unless it is handed over.
func (w *world) changeLeader() {
	if w.trace.term <= 0 || w.now == 0 || w.now%w.trace.term != 0 {
		return
	}
	var learned estimate.State
	if w.trace.handover {
		learned = w.model.State(w.now)
	}
	w.model = estimate.Restore(estimate.Options{}, learned, w.now)
	w.memory = placement.Memory{}
	w.outcomes = nil
}
