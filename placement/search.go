package placement

import "github.com/daisywall/daisywall/structs"

// search is the result of looking for a worker for one task.
type search struct {
	ranked   []scored // the best workers, best first, a few only
	rejected []Rejection
}

type scored struct {
	node  int
	total float64
}

// search filters and scores workers until it has seen enough candidates. The
// result is valid until the next search of the round.
func (r *round) search(c *candidate) search {
	result := search{ranked: r.ranked[:0]}
	seen := 0
	offset := 0
	if len(r.active) > 0 {
		offset = startOffset(c.task.ID, len(r.active))
	}
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
		result.rank(scored{n.index, r.score(c, n)}, 1+r.options.MaxAlternatives)
		seen++
		if seen >= r.options.MaxCandidates {
			break
		}
	}
	if seen == 0 {
		r.rejectClosed(&result)
	}
	r.ranked = result.ranked
	return result
}

// rank enters the worker among the best, which are at most limit.
func (s *search) rank(x scored, limit int) {
	at := len(s.ranked)
	for at > 0 && x.beats(s.ranked[at-1]) {
		at--
	}
	if at >= limit {
		return
	}
	if len(s.ranked) < limit {
		s.ranked = append(s.ranked, scored{})
	}
	copy(s.ranked[at+1:], s.ranked[at:])
	s.ranked[at] = x
}

// beats reports whether x is the better choice; equal scores go to the worker
// that is first in the snapshot.
func (x scored) beats(o scored) bool {
	return x.total > o.total || (x.total == o.total && x.node < o.node)
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
func (r *round) rejectClosed(result *search) {
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

// alternatives returns the best workers that lost and the score that decided
// against each.
func (s *search) alternatives(r *round, c *candidate) []Alternative {
	if len(s.ranked) < 2 {
		return nil
	}
	best := &r.nodes[s.ranked[0].node]
	list := make([]Alternative, 0, len(s.ranked)-1)
	for _, x := range s.ranked[1:] {
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
