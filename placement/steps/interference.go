package steps

import (
	"cmp"
	"math"
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// Interference estimates which filling tasks interfere with which services, by
// pairs of service image and filling image. It assumes that a pair either
// interferes or doesn't: interference raises the latency to a multiple of the
// target, so a few readings suffice. It keeps the log odds of each pair and
// combines the neighbours of one reading as a noisy OR, in which any single
// cause is enough. Pairs without readings get a prior from the other pairs of
// their images, see imageEffects. It is not safe for concurrent use.
type Interference struct {
	pairs      map[imagePair]float64 // log odds that the pair interferes, by its own readings and priorProbability
	fillImages map[string]struct{}   // filling images in pairs
	effects    *imageEffects         // effects of the images, nil before their first use
	changes    int                   // changes of pairs since the effects were derived
}

// maxEffectChanges is the number of changes of pairs after which the effects are
// derived anew. A large fleet changes hundreds of pairs a second.
const maxEffectChanges = 100

type imagePair struct{ service, fill string }

// NewInterference returns a model without observations.
func NewInterference() *Interference {
	return &Interference{pairs: map[imagePair]float64{}, fillImages: map[string]struct{}{}}
}

// PairOdds is the estimate, in the form that is stored, of whether the tasks of
// a filling image interfere with a service image.
type PairOdds struct {
	Service string  `json:"s"`
	Fill    string  `json:"f"`
	LogOdds float64 `json:"o"`
}

// Pairs returns the estimates of all pairs, sorted by service and filling
// image.
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

// Restore loads stored estimates over the present ones. Odds out of bounds are
// clamped.
func (i *Interference) Restore(pairs []PairOdds) {
	for _, p := range pairs {
		i.fillImages[p.Fill] = struct{}{}
		i.pairs[imagePair{p.Service, p.Fill}] = max(-maxLogOdds, min(maxLogOdds, p.LogOdds))
	}
	i.effects = nil
}

// Probabilities of the model.
const (
	priorProbability      = 0.25 // probability that a pair without observations interferes
	detectionProbability  = 0.6  // probability that a reading shows existing interference; below 1 since the services' load varies
	falseAlarmProbability = 0.06 // probability that a reading is high without interference
	maxLogOdds            = 4.0  // bound on the log odds, so that a few readings can reverse an estimate
)

// Tail latencies of a service as ratios to its latency target.
const (
	pausedInterferenceRatio   = 1.0  // ratio above which a neighbour interferes even if it is paused
	fullPaceInterferenceRatio = 1.5  // ratio above which a neighbour at full pace interferes; the service's own load reaches about 1
	noInterferenceRatio       = 0.75 // ratio below which no neighbour interferes
)

// Neighbour is an image whose filling tasks ran on the host of a service while
// a latency reading of the service was measured.
type Neighbour struct {
	Image   string
	MinPace float64 // lowest pace of its tasks during the reading, 0 to 1
	MaxPace float64 // highest pace of its tasks during the reading, 0 to 1
}

// logOdds returns the log odds of the pair by its own readings and by those of
// the other pairs of its images.
func (i *Interference) logOdds(service, fill string) float64 {
	if i.effects == nil || i.changes > maxEffectChanges {
		i.effects, i.changes = newImageEffects(i.pairs), 0
	}
	return max(-maxLogOdds, min(maxLogOdds, i.pairLogOdds(service, fill)+i.effects.of(service, fill)))
}

// pairLogOdds returns the log odds of the pair by its own readings.
func (i *Interference) pairLogOdds(service, fill string) float64 {
	if odds, stored := i.pairs[imagePair{service, fill}]; stored {
		return odds
	}
	return priorLogOdds
}

// Probability returns the probability that tasks of the filling image interfere
// with the service.
func (i *Interference) Probability(service, fill string) float64 {
	return 1 / (1 + math.Exp(-i.logOdds(service, fill)))
}

// Learn updates the estimates from one reading of a service and the neighbours
// on its host. latencyRatio is the tail latency divided by its target.
func (i *Interference) Learn(service string, latencyRatio float64, neighbours []Neighbour) {
	pace := 0.0
	for _, n := range neighbours {
		pace = max(pace, n.MaxPace)
	}
	switch {
	case latencyRatio > pausedInterferenceRatio+(fullPaceInterferenceRatio-pausedInterferenceRatio)*pace:
		i.addInterferenceEvidence(service, neighbours)
	case latencyRatio < noInterferenceRatio:
		for _, n := range neighbours {
			i.addLogOdds(service, n.Image, math.Log(1-detectionProbability*n.MinPace))
		}
	}
}

// addInterferenceEvidence raises the log odds of each neighbour after a high
// reading, by the log likelihood ratio of the reading with and without
// interference from it, given the estimates for the other neighbours.
func (i *Interference) addInterferenceEvidence(service string, neighbours []Neighbour) {
	changes := make([]float64, len(neighbours))
	for k, n := range neighbours {
		unaffected := 1 - falseAlarmProbability
		for _, other := range neighbours {
			if other.Image != n.Image {
				unaffected *= 1 - detectionProbability*other.MaxPace*i.Probability(service, other.Image)
			}
		}
		changes[k] = math.Log((1 - unaffected*(1-detectionProbability*n.MaxPace)) / (1 - unaffected))
	}
	for k, n := range neighbours {
		i.addLogOdds(service, n.Image, changes[k])
	}
}

func (i *Interference) addLogOdds(service, fill string, change float64) {
	odds := i.pairLogOdds(service, fill) + change
	i.fillImages[fill] = struct{}{}
	i.pairs[imagePair{service, fill}] = max(-maxLogOdds, min(maxLogOdds, odds))
	i.changes++
}

// suspectThreshold is the probability above which a pair counts as interfering.
const suspectThreshold = 0.5

// unprovenThreshold is the probability above which it counts as unknown whether
// a pair interferes. A low reading at full pace takes a pair below it.
const unprovenThreshold = 0.15

// IsSuspect reports whether a pair that interferes with the probability counts as
// interfering.
func IsSuspect(probability float64) bool { return probability > suspectThreshold }

// IsUnproven reports whether it counts as unknown that a pair with the
// probability does not interfere.
func IsUnproven(probability float64) bool { return probability > unprovenThreshold }

// imageEstimate is what the model says of a filling image on a worker.
type imageEstimate struct {
	probability float64 // that its tasks interfere with at least one service
	suspect     bool    // it counts as interfering with a service
	unproven    bool    // it is not known whether it interferes with some service
}

// estimateOf returns the estimate for the image. It is kept until the services of
// the worker change, since a plan needs it for each task of each demand.
func (w *Worker) estimateOf(i *Interference, image string) imageEstimate {
	if e, found := w.estimates[image]; found {
		return e
	}
	e, unaffected := imageEstimate{}, 1.0
	for service := range w.TasksByServiceImage {
		p := i.Probability(service, image)
		unaffected *= 1 - p
		e.suspect = e.suspect || IsSuspect(p)
		e.unproven = e.unproven || IsUnproven(p)
	}
	e.probability = 1 - unaffected
	if w.estimates == nil {
		w.estimates = map[string]imageEstimate{}
	}
	w.estimates[image] = e
	return e
}

// InterferenceProbability returns the probability that a task of the image
// interferes with at least one service on the worker.
func (w *Worker) InterferenceProbability(i *Interference, image string) float64 {
	return w.estimateOf(i, image).probability
}

// Suspect reports whether the image counts as interfering with a service on
// the worker.
func (w *Worker) Suspect(i *Interference, image string) bool {
	return w.estimateOf(i, image).suspect
}

// Unproven reports whether it is not known that the image does not interfere
// with the services on the worker.
func (w *Worker) Unproven(i *Interference, image string) bool {
	return w.estimateOf(i, image).unproven
}

// CanRunWithoutInterference reports whether a filling task of the demand has room
// on a worker other than the current one, where it doesn't count as interfering
// with a service. The first of d.Tasks is the task.
func CanRunWithoutInterference(workers []*Worker, d Demand, current structs.WorkerID, interference *Interference) bool {
	d.interference = interference
	return slices.ContainsFunc(workers, func(w *Worker) bool {
		return w.ID != current && !w.isQuarantined() && !w.Suspect(interference, d.Spec.Image) && d.feasible(w, d.Tasks[0])
	})
}

// nonInterferingImageShare returns the share of the observed filling images
// that don't count as interfering with any service on the worker, 1 without
// observations.
func (w *Worker) nonInterferingImageShare(i *Interference) float64 {
	if len(w.TasksByServiceImage) == 0 || len(i.fillImages) == 0 {
		return 1
	}
	if w.nonInterferingShare == nil {
		nonInterfering := 0
		for image := range i.fillImages {
			if !w.Suspect(i, image) {
				nonInterfering++
			}
		}
		share := float64(nonInterfering) / float64(len(i.fillImages))
		w.nonInterferingShare = &share
	}
	return *w.nonInterferingShare
}
