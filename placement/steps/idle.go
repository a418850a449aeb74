package steps

import "github.com/daisywall/daisywall/structs"

// maxIdlePoolUse is the share of a pool's processors that may be in use for a
// job without a run to disturb services. The platform's rule for idle jobs ends
// at a half; the rest allows for tasks that end meanwhile.
const maxIdlePoolUse = 0.6

// KeepIdleWherePoolIsFree clears IsIdle of the demands whose pool is busy. It
// answers the load at the end of a day: few services are left, a job's image
// interferes with one on each host, and nothing else would ever start it.
func KeepIdleWherePoolIsFree(workers []*Worker, demands []Demand) {
	use := map[structs.PoolID]float64{}
	for i := range demands {
		d := &demands[i]
		if !d.IsIdle {
			continue
		}
		if _, known := use[d.Pool]; !known {
			use[d.Pool] = poolUse(workers, d.Pool)
		}
		d.IsIdle = use[d.Pool] <= maxIdlePoolUse
	}
}

// poolUse returns the share of the pool's processors that is reserved. The rule for
// idle jobs does not count what filling tasks use.
func poolUse(workers []*Worker, pool structs.PoolID) float64 {
	var used, capacity int64
	for _, w := range workers {
		if w.Pool == pool {
			used += w.Reserved.MilliCPU
			capacity += w.Capacity.MilliCPU
		}
	}
	return float64(used) / float64(max(1, capacity))
}
