package estimate

import "time"

// history holds the runs of a worker over the recent past.
type history struct {
	entries      []historyEntry // sorted by time
	lastObserved time.Duration  // time of the last observation of the worker
}

// historyEntry holds the residents of a worker, which are its runs, from since
// until the next entry.
type historyEntry struct {
	since     time.Duration
	residents []Resident
}

// add appends an entry if the residents have changed, and drops entries that
// ended before oldest.
func (h *history) add(now time.Duration, residents []Resident, oldest time.Duration) {
	if n := len(h.entries); n > 0 && equalResidents(h.entries[n-1].residents, residents) {
		return
	}
	drop := 0
	for drop+1 < len(h.entries) && h.entries[drop+1].since <= oldest {
		drop++
	}
	h.entries = append(h.entries[:0:0], h.entries[drop:]...)
	h.entries = append(h.entries, historyEntry{since: now, residents: append([]Resident(nil), residents...)})
}

func equalResidents(a, b []Resident) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// neighbour is the mean number of runs of a class on a service's worker over a
// window, weighted by their processor share.
type neighbour struct {
	class string
	count float64
}

// neighbours returns the other runs on the worker between from and to by class,
// in order of first appearance. known is false if the history does not reach
// back to from.
func (h *history) neighbours(run Resident, from, to time.Duration) (list []neighbour, known bool) {
	if len(h.entries) == 0 || h.entries[0].since > from || to <= from {
		return nil, false
	}
	for i := range h.entries {
		e := &h.entries[i]
		end := to
		if i+1 < len(h.entries) {
			end = min(end, h.entries[i+1].since)
		}
		overlap := end - max(e.since, from)
		if overlap <= 0 {
			continue
		}
		part := float64(overlap) / float64(to-from)
		for _, r := range e.residents {
			if r.Attempt != run.Attempt {
				list = addCount(list, r.Class, part*r.Share)
			}
		}
	}
	return list, true
}

// addCount adds the amount to the count of the class in the list.
func addCount(list []neighbour, class string, amount float64) []neighbour {
	for i := range list {
		if list[i].class == class {
			list[i].count += amount
			return list
		}
	}
	return append(list, neighbour{class, amount})
}
