package placement

import (
	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/placement/estimate"
)

// changeLeader clears the planner's memory and the outcomes of attempts at the
// end of a leader's term. It also clears the state of the model unless the
// trace hands the model over.
func (s *simulation) changeLeader() {
	if s.trace.leaderTerm <= 0 || s.now == 0 || s.now%s.trace.leaderTerm != 0 {
		return
	}
	var handedOver estimate.State
	if s.trace.handsOverModel {
		handedOver = s.model.State(s.now)
	}
	s.model = estimate.Restore(estimate.Options{}, handedOver, s.now)
	s.plannerMemory = placement.PlannerState{}
	s.outcomes = nil
}
