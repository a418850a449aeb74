package steps

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Parameters of a fleet of many images, of which some press and some are
// sensitive. They follow the users' large deployment.
const (
	worldServices = 16
	worldFills    = 30
	worldTried    = 5 // pairs of each filling image with readings
)

// newTriedWorld returns a model with readings of some pairs, and the truth
// about all.
func newTriedWorld(seed uint64) (i *Interference, interferes func(service, fill int) bool, tried map[[2]int]bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	pressing, sensitive := make([]bool, worldFills), make([]bool, worldServices)
	for k := range pressing {
		pressing[k] = rng.Float64() < 0.5
	}
	for k := range sensitive {
		sensitive[k] = rng.Float64() < 0.5
	}
	interferes = func(service, fill int) bool { return sensitive[service] && pressing[fill] }
	i, tried = NewInterference(), map[[2]int]bool{}
	for fill := range worldFills {
		for _, service := range rng.Perm(worldServices)[:worldTried] {
			tried[[2]int{service, fill}] = true
			ratio := 0.5
			if interferes(service, fill) {
				ratio = 8
			}
			for range 3 {
				i.Learn(serviceImage(service), ratio, []Neighbour{{Image: fillImage(fill), MinPace: 1, MaxPace: 1}})
			}
		}
	}
	return i, interferes, tried
}

func serviceImage(k int) string { return fmt.Sprintf("service-%d", k) }
func fillImage(k int) string    { return fmt.Sprintf("fill-%d", k) }

func TestUntriedPairsAreEstimatedFromTheOtherPairsOfTheirImages(t *testing.T) {
	is := is.New(t)
	var sum [2]float64
	var count [2]int
	for seed := range uint64(10) {
		i, interferes, tried := newTriedWorld(seed)
		for service := range worldServices {
			for fill := range worldFills {
				if tried[[2]int{service, fill}] {
					continue
				}
				p, k := i.Probability(serviceImage(service), fillImage(fill)), 0
				if interferes(service, fill) {
					k = 1
				}
				is.True(p <= suspectThreshold+1e-9) // only readings of a pair make it count as interfering
				sum[k], count[k] = sum[k]+p, count[k]+1
			}
		}
	}
	harmless, interfering := sum[0]/float64(count[0]), sum[1]/float64(count[1])
	t.Logf("mean probability of untried pairs: %.2f if they interfere, %.2f if not", interfering, harmless)
	is.True(harmless < priorProbability)
	is.True(interfering > priorProbability)
}
