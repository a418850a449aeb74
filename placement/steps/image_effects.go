package steps

import "math"

// effectPseudoPairs is the weight of priorProbability in the share of an image's
// pairs that interfere, as a number of pairs.
const effectPseudoPairs = 2.0

// priorLogOdds are the log odds of priorProbability.
var priorLogOdds = logit(priorProbability)

// imageEffects holds, for each image, by how much the log odds of its pairs
// differ from priorLogOdds: some filling images interfere with many services,
// and some services with many filling images. It answers the load of a fleet
// with many images, in which most pairs are never tried within a job's
// objective.
type imageEffects struct {
	services map[string]float64
	fills    map[string]float64
}

// newImageEffects derives the effects from the log odds of the tried pairs. A
// pair counts the more, the more its readings have changed its estimate.
func newImageEffects(pairs map[imagePair]float64) *imageEffects {
	services, fills := map[string]*pairShare{}, map[string]*pairShare{}
	for pair, odds := range pairs {
		shareOf(services, pair.service).add(odds)
		shareOf(fills, pair.fill).add(odds)
	}
	e := &imageEffects{services: make(map[string]float64, len(services)), fills: make(map[string]float64, len(fills))}
	for image, share := range services {
		e.services[image] = share.effect()
	}
	for image, share := range fills {
		e.fills[image] = share.effect()
	}
	return e
}

// of returns the effect of both images on the log odds of their pair. The
// effects alone never make a pair count as interfering: only its own readings
// do.
func (e *imageEffects) of(service, fill string) float64 {
	return min(e.services[service]+e.fills[fill], -priorLogOdds)
}

// pairShare is the share of an image's tried pairs that interfere.
type pairShare struct{ interfering, tried float64 }

func shareOf(shares map[string]*pairShare, image string) *pairShare {
	share, found := shares[image]
	if !found {
		share = &pairShare{}
		shares[image] = share
	}
	return share
}

func (s *pairShare) add(odds float64) {
	certainty := math.Abs(math.Tanh((odds - priorLogOdds) / 2))
	s.tried += certainty
	if odds > 0 {
		s.interfering += certainty
	}
}

// effect returns the log odds of the share, with effectPseudoPairs pairs of
// priorProbability added, less priorLogOdds.
func (s *pairShare) effect() float64 {
	return logit((s.interfering+effectPseudoPairs*priorProbability)/(s.tried+effectPseudoPairs)) - priorLogOdds
}

func logit(p float64) float64 { return math.Log(p / (1 - p)) }
