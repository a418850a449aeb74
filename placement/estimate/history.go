package estimate

import "time"

// history holds who was on a worker in the recent past.
type history struct {
	entries []entry       // ordered by time
	seen    time.Duration // last time that the worker was observed
}

type entry struct {
	since     time.Duration
	residents []Resident
}

// add appends the residents from now on and drops what ended before oldest.
func (h *history) add(now time.Duration, residents []Resident, oldest time.Duration) {
	if n := len(h.entries); n > 0 && equal(h.entries[n-1].residents, residents) {
		return
	}
	drop := 0
	for drop+1 < len(h.entries) && h.entries[drop+1].since <= oldest {
		drop++
	}
	h.entries = append(h.entries[:0:0], h.entries[drop:]...)
	h.entries = append(h.entries, entry{since: now, residents: append([]Resident(nil), residents...)})
}

func equal(a, b []Resident) bool {
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

// neighbour is the mean number of runs of a class beside a service over a
// window, counted by their share of processor time.
type neighbour struct {
	class string
	count float64
}

// neighbours returns who was beside the run between from and to, in order of
// first appearance. known is false when the history does not reach back far
// enough.
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
				list = count(list, r.Class, part*r.Share)
			}
		}
	}
	return list, true
}

func count(list []neighbour, class string, amount float64) []neighbour {
	for i := range list {
		if list[i].class == class {
			list[i].count += amount
			return list
		}
	}
	return append(list, neighbour{class, amount})
}
