package steps

import (
	"cmp"
	"math"
	"slices"
)

// Interference learns which filling tasks disturb which services, by pairs of
// images. A pair either disturbs or hardly does: a disturbed service is over
// its target by a multiple, so that a few readings tell. It holds for each pair
// the odds that it disturbs, and treats the causes of one reading as a noisy
// or: any one is enough.
type Interference struct {
	pairs map[imagePair]float64 // logarithm of the odds
	fills map[string]struct{}   // filling images of the pairs
}

type imagePair struct{ service, fill string }

// NewInterference returns a model that has learned nothing.
func NewInterference() *Interference {
	return &Interference{pairs: map[imagePair]float64{}, fills: map[string]struct{}{}}
}

// PairOdds is what is known of one pair, for storing.
type PairOdds struct {
	Service string  `json:"s"`
	Fill    string  `json:"f"`
	LogOdds float64 `json:"o"`
}

// Pairs returns all that was learned, in a fixed order.
func (i *Interference) Pairs() []PairOdds {
	pairs := make([]PairOdds, 0, len(i.pairs))
	for pair, odds := range i.pairs {
		pairs = append(pairs, PairOdds{Service: pair.service, Fill: pair.fill, LogOdds: odds})
	}
	slices.SortFunc(pairs, func(a, b PairOdds) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fill, b.Fill))
	})
	return pairs
}

// Adopt takes over what was learned before. Odds out of bounds are moved to
// the nearest bound.
func (i *Interference) Adopt(pairs []PairOdds) {
	for _, p := range pairs {
		i.fills[p.Fill] = struct{}{}
		i.pairs[imagePair{p.Service, p.Fill}] = max(-maxLogOdds, min(maxLogOdds, p.LogOdds))
	}
}

// Chances of the model.
const (
	priorChance = 0.25 // that an untried pair disturbs
	showChance  = 0.6  // that one reading shows it; the services' load swings
	strayChance = 0.06 // that a reading is high without a cause
	maxLogOdds  = 4.0  // so that a change of mind takes a few readings
)

// Readings of a service, as shares of its latency target.
const (
	strainSlow  = 1.0  // above, something disturbs it although it is slowed down
	strainShows = 1.5  // the same at full pace; its own load alone takes it to about 1
	strainClear = 0.75 // below, nothing does
)

// Neighbour is a filling image beside a service during a reading.
type Neighbour struct {
	Image string
	Least float64 // least pace of its tasks during the reading, 0 to 1
	Most  float64 // highest pace
}

func (i *Interference) logOdds(service, fill string) float64 {
	if odds, found := i.pairs[imagePair{service, fill}]; found {
		return odds
	}
	return math.Log(priorChance / (1 - priorChance))
}

// Chance returns the chance that tasks of the filling image disturb the service.
func (i *Interference) Chance(service, fill string) float64 {
	return 1 / (1 + math.Exp(-i.logOdds(service, fill)))
}

// Learn takes in a reading of a service beside its neighbours.
func (i *Interference) Learn(service string, strain float64, neighbours []Neighbour) {
	pace := 0.0
	for _, n := range neighbours {
		pace = max(pace, n.Most)
	}
	switch {
	case strain > strainSlow+(strainShows-strainSlow)*pace:
		i.blame(service, neighbours)
	case strain < strainClear:
		for _, n := range neighbours {
			i.add(service, n.Image, math.Log(1-showChance*n.Least))
		}
	}
}

// blame weighs for each neighbour how likely the reading is with and without
// it, given what is known of the others.
func (i *Interference) blame(service string, neighbours []Neighbour) {
	steps := make([]float64, len(neighbours))
	for k, n := range neighbours {
		calm := 1 - strayChance
		for _, other := range neighbours {
			if other.Image != n.Image {
				calm *= 1 - showChance*other.Most*i.Chance(service, other.Image)
			}
		}
		steps[k] = math.Log((1 - calm*(1-showChance*n.Most)) / (1 - calm))
	}
	for k, n := range neighbours {
		i.add(service, n.Image, steps[k])
	}
}

func (i *Interference) add(service, fill string, step float64) {
	odds := i.logOdds(service, fill) + step
	i.fills[fill] = struct{}{}
	i.pairs[imagePair{service, fill}] = max(-maxLogOdds, min(maxLogOdds, odds))
}

// suspectChance is the chance from which a pair is taken to disturb.
const suspectChance = 0.5

// Harm returns the chance that a task of the image disturbs a service of the
// worker.
func (w *Worker) Harm(i *Interference, image string) float64 {
	calm := 1.0
	for service := range w.Serving {
		calm *= 1 - i.Chance(service, image)
	}
	return 1 - calm
}

// Suspect reports whether tasks of the image are taken to disturb a service of
// the worker.
func (w *Worker) Suspect(i *Interference, image string) bool {
	for service := range w.Serving {
		if i.Chance(service, image) > suspectChance {
			return true
		}
	}
	return false
}

// openness returns the share of the known filling images that disturb no
// service of the worker.
func (w *Worker) openness(i *Interference) float64 {
	if len(w.Serving) == 0 {
		return 1
	}
	images, open := 0, 0
	for image := range i.fills {
		images++
		if !w.Suspect(i, image) {
			open++
		}
	}
	if images == 0 {
		return 1
	}
	return float64(open) / float64(images)
}
