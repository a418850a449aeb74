package placement

import "github.com/daisywall/daisywall/structs"

// searchResult is the result of the search for a worker for one task.
type searchResult struct {
	ranked   []scoredNode // the best workers, the best first, at most MaxAlternatives+1
	rejected []Rejection
}

// scoredNode is a worker that passed all filters.
type scoredNode struct {
	node  int     // index of the node
	total float64 // weighted sum of the scores
}

// search filters and scores workers until it has scored MaxCandidates. The
// result is valid until the next search of the cycle.
func (r *cycle) search(c *candidate) searchResult {
	result := searchResult{ranked: r.rankedBuffer[:0]}
	scoredCount := 0
	offset := 0
	if len(r.openNodes) > 0 {
		offset = searchOffset(c.task.ID, len(r.openNodes))
	}
	for i := range r.openNodes {
		at := offset + i
		if at >= len(r.openNodes) {
			at -= len(r.openNodes)
		}
		n := &r.nodes[r.openNodes[at]]
		if f, reason := r.reject(c, n); f != nil {
			result.countRejection(f.name(), reason, n.worker.ID)
			continue
		}
		result.insertRanked(scoredNode{n.index, r.score(c, n)}, 1+r.options.MaxAlternatives)
		scoredCount++
		if scoredCount >= r.options.MaxCandidates {
			break
		}
	}
	if scoredCount == 0 {
		r.countClosedNodes(&result)
	}
	r.rankedBuffer = result.ranked
	return result
}

// insertRanked inserts the worker into the ranking, which holds at most limit
// workers.
func (s *searchResult) insertRanked(x scoredNode, limit int) {
	at := len(s.ranked)
	for at > 0 && x.ranksBefore(s.ranked[at-1]) {
		at--
	}
	if at >= limit {
		return
	}
	if len(s.ranked) < limit {
		s.ranked = append(s.ranked, scoredNode{})
	}
	copy(s.ranked[at+1:], s.ranked[at:])
	s.ranked[at] = x
}

// ranksBefore reports whether x ranks before o. Of equal scores, the worker
// that is first in the snapshot wins.
func (x scoredNode) ranksBefore(o scoredNode) bool {
	return x.total > o.total || (x.total == o.total && x.node < o.node)
}

// reject returns the first filter that rejects the node and its reason, or nil
// if none does.
func (r *cycle) reject(c *candidate, n *node) (filter, structs.Reason) {
	for _, f := range filters {
		if reason := f.filter(r, c, n); reason != "" {
			return f, reason
		}
	}
	return nil, ""
}

// countClosedNodes adds the workers on which no task may start to the
// rejections.
func (r *cycle) countClosedNodes(result *searchResult) {
	for i := range r.nodes {
		if n := &r.nodes[i]; n.closedReason != "" {
			result.countRejection(availabilityFilter{}.name(), n.closedReason, n.worker.ID)
		}
	}
}

// score returns the weighted sum of all scorers.
func (r *cycle) score(c *candidate, n *node) float64 {
	total := 0.0
	for _, s := range scorers {
		total += s.weight * s.score(r, c, n)
	}
	return total
}

// countRejection counts one more worker rejected by the filter for the reason.
func (s *searchResult) countRejection(filter string, reason structs.Reason, example structs.WorkerID) {
	for i := range s.rejected {
		x := &s.rejected[i]
		if x.Filter == filter && x.Reason == reason {
			x.Workers++
			return
		}
	}
	s.rejected = append(s.rejected, Rejection{Filter: filter, Reason: reason, Workers: 1, Example: example})
}

// alternatives returns the workers that rank after the best one, each with the
// name of the scorer that decided against it.
func (s *searchResult) alternatives(r *cycle, c *candidate) []Alternative {
	if len(s.ranked) < 2 {
		return nil
	}
	best := &r.nodes[s.ranked[0].node]
	list := make([]Alternative, 0, len(s.ranked)-1)
	for _, x := range s.ranked[1:] {
		n := &r.nodes[x.node]
		list = append(list, Alternative{Worker: n.worker.ID, Score: x.total, DecidingScorer: r.decidingScorer(c, best, n), Harm: r.harm(c, n)})
	}
	return list
}

// decidingScorer returns the name of the scorer with the largest difference in
// favour of the winner, or "order" if no scorer prefers it.
func (r *cycle) decidingScorer(c *candidate, winner, loser *node) string {
	name, most := "order", 0.0
	for _, s := range scorers {
		if d := s.weight * (s.score(r, c, winner) - s.score(r, c, loser)); d > most {
			name, most = s.name(), d
		}
	}
	return name
}
