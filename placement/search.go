package placement

import (
	"sort"

	"github.com/daisywall/daisywall/structs"
)

// search is the result of looking for a worker for one task.
type search struct {
	best      int // number of the node, -1 for none
	bestScore float64
	scored    []scored
	rejected  []Rejection
}

type scored struct {
	node  int
	total float64
}

// search filters and scores workers until it has seen enough candidates.
func (r *round) search(c *candidate) search {
	result := search{best: -1}
	if len(r.active) == 0 {
		r.rejectClosed(c, &result)
		return result
	}
	offset := startOffset(c.task.ID, len(r.active))
	for i := range r.active {
		at := offset + i
		if at >= len(r.active) {
			at -= len(r.active)
		}
		n := &r.nodes[r.active[at]]
		if f, reason := r.reject(c, n); f != nil {
			result.count(f.name(), reason, n.worker.ID)
			continue
		}
		total := r.score(c, n)
		result.scored = append(result.scored, scored{n.index, total})
		if result.best < 0 || total > result.bestScore || (total == result.bestScore && n.index < result.best) {
			result.best, result.bestScore = n.index, total
		}
		if len(result.scored) >= r.options.MaxCandidates {
			break
		}
	}
	if result.best < 0 {
		r.rejectClosed(c, &result)
	}
	return result
}

// reject returns the first filter that rejects the node and its reason.
func (r *round) reject(c *candidate, n *node) (filter, structs.Reason) {
	for _, f := range filters {
		if reason := f.filter(r, c, n); reason != "" {
			return f, reason
		}
	}
	return nil, ""
}

// rejectClosed counts the workers that take no work at all.
func (r *round) rejectClosed(_ *candidate, result *search) {
	for i := range r.nodes {
		if n := &r.nodes[i]; n.gate != "" {
			result.count(gateFilter{}.name(), n.gate, n.worker.ID)
		}
	}
}

func (r *round) score(c *candidate, n *node) float64 {
	total := 0.0
	for _, s := range scorers {
		total += s.weight * s.score(r, c, n)
	}
	return total
}

func (s *search) count(filter string, reason structs.Reason, example structs.WorkerID) {
	for i := range s.rejected {
		x := &s.rejected[i]
		if x.Filter == filter && x.Reason == reason {
			x.Workers++
			return
		}
	}
	s.rejected = append(s.rejected, Rejection{Filter: filter, Reason: reason, Workers: 1, Example: example})
}

// rejections returns how many workers each filter rejected.
func (s *search) rejections() []Rejection { return s.rejected }

// alternatives returns the best workers that lost and the score that decided
// against each.
func (s *search) alternatives(r *round, c *candidate) []Alternative {
	sort.SliceStable(s.scored, func(i, j int) bool {
		a, b := s.scored[i], s.scored[j]
		return a.total > b.total || (a.total == b.total && a.node < b.node)
	})
	var list []Alternative
	best := &r.nodes[s.best]
	for _, x := range s.scored {
		if x.node == s.best {
			continue
		}
		if len(list) >= r.options.MaxAlternatives {
			break
		}
		n := &r.nodes[x.node]
		list = append(list, Alternative{Worker: n.worker.ID, Score: x.total, Lost: r.decider(c, best, n), Harm: r.harm(c, n)})
	}
	return list
}

// decider names the scorer that speaks most for the winner against the loser.
func (r *round) decider(c *candidate, winner, loser *node) string {
	name, most := "order", 0.0
	for _, s := range scorers {
		if d := s.weight * (s.score(r, c, winner) - s.score(r, c, loser)); d > most {
			name, most = s.name(), d
		}
	}
	return name
}
